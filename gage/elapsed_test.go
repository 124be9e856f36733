package gage_test

import (
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
)

// setTimeOfDay returns t with its time of day moved by whole seconds and the same reading
// of the monotonic clock, as after a suspension or a step of the clock.
func setTimeOfDay(t time.Time, seconds int64) time.Time {
	// The first word of a time.Time with a monotonic reading holds the seconds of the
	// time of day from bit 30 on.
	const secondsShift = 30
	wall := (*uint64)(unsafe.Pointer(&t))
	*wall = uint64(int64(*wall) + seconds<<secondsShift)
	return t
}

func TestElapsedTakesTheClockThatShowsMore(t *testing.T) {
	past := time.Now()
	now := past.Add(2 * time.Second)
	assert.Equal(t, gage.Elapsed(now, past), 2*time.Second)
	suspended := setTimeOfDay(now, 10)
	assert.Equal(t, suspended.Sub(past), 2*time.Second, "the monotonic clock stood still")
	assert.Equal(t, gage.Elapsed(suspended, past), 12*time.Second)
	setBack := setTimeOfDay(now, -10)
	assert.Equal(t, gage.Elapsed(setBack, past), 2*time.Second)

	end := past.Add(5 * time.Second)
	assert.Assert(t, gage.HasTimeLeft(now, end))
	assert.Assert(t, !gage.HasTimeLeft(suspended, end))
	assert.Assert(t, gage.HasTimeLeft(setBack, end))
	assert.Assert(t, !gage.HasTimeLeft(setTimeOfDay(end, -10), end))
}
