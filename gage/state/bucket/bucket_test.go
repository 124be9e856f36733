package bucket_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage/state/bucket"
)

func TestTakeWaitAndSetLimits(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	b := bucket.New(start, 10, 4)
	assert.Equal(t, b.Take(start, 1), 0)
	wait, ok := b.Wait(start)
	assert.Assert(t, ok)
	assert.Equal(t, wait, 100*time.Millisecond)

	assert.Equal(t, b.Take(start.Add(time.Hour), 9), 4)
	assert.Equal(t, b.Take(start, 1), 0, "a time before the last refill adds no tokens")

	later := start.Add(time.Hour + 300*time.Millisecond)
	b.SetLimits(later, 10, 2)
	assert.Equal(t, b.Take(later, 9), 2)

	b.SetLimits(later, 0, 0)
	_, ok = b.Wait(later.Add(time.Hour))
	assert.Assert(t, !ok)
}
