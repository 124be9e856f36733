package spool_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagewind/greengagewind/gage/transport/spool"
)

// Many long bodies were buffered at a time, each up to its own limit, and took all of a
// node's memory. Together they take at most the reserved share, and what was read of each
// is its beginning.
func TestBodiesTogetherStayWithinTheMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 128 << 10
		memory := rapid.Int64Range(1, 4<<20).Draw(t, "memory")
		s := spool.New(memory)
		var held []int64
		total := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(held) > 0 && rapid.Bool().Draw(t, "release") {
				s.Release(held[0])
				total -= held[0]
				held = held[1:]
				continue
			}
			body := strings.Repeat("x", rapid.IntRange(0, 2*limit).Draw(t, "length"))
			rest := strings.NewReader(body)
			text, isComplete, reserved, err := s.Read(rest, limit)
			assert.NilError(t, err)
			assert.Assert(t, len(text) <= limit && int64(len(text)) <= spool.FreeBytes+reserved)
			assert.Equal(t, len(text)+rest.Len(), len(body))
			assert.Equal(t, isComplete, len(text) == len(body) && rest.Len() == 0 && len(text) < limit && isBelowStep(len(text), reserved))
			held, total = append(held, reserved), total+reserved
			assert.Assert(t, total <= memory, "%d of %d", total, memory)
		}
	})
}

// isBelowStep reports whether a body of n bytes ended before what was reserved for it was
// full: the end of one that fills it is not known yet.
func isBelowStep(n int, reserved int64) bool { return int64(n) < spool.FreeBytes+reserved }

func TestFailedBodyKeepsItsReservation(t *testing.T) {
	s := spool.New(1 << 20)
	broken := io.MultiReader(strings.NewReader(strings.Repeat("x", 20<<10)), iotest.ErrReader(errors.New("reset")))
	_, isComplete, reserved, err := s.Read(broken, 128<<10)
	assert.ErrorContains(t, err, "reset")
	assert.Assert(t, !isComplete && reserved > 0)
	s.Release(reserved)
}
