package fence_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/fence"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func members(count int) []gage.Process {
	var list []gage.Process
	for i := range count {
		list = append(list, gage.Process{VM: fmt.Sprintf("vm%d", i), StartedAt: 10})
	}
	return list
}

func TestStanding(t *testing.T) {
	five := members(5)
	s := fence.Lease{Members: five}
	for _, m := range five {
		s.Confirm(m, start)
	}
	assert.Assert(t, s.ExpiresAt().IsZero(), "the store was never read")

	s.ConfirmByStore(start)
	s.Confirm(five[0], start.Add(time.Second))
	s.Confirm(five[1], start.Add(2*time.Second))
	assert.Equal(t, s.ExpiresAt(), start.Add(fence.LeaseDuration), "two of five are no majority")
	s.Confirm(gage.Process{VM: "vm2", StartedAt: 11}, start.Add(time.Second))
	assert.Equal(t, s.ExpiresAt(), start.Add(fence.LeaseDuration), "a restarted member does not count")
	s.Confirm(five[2], start.Add(time.Second))
	assert.Equal(t, s.ExpiresAt(), start.Add(time.Second+fence.LeaseDuration))

	s.HasPending, s.PendingMembers = true, members(8)[5:]
	assert.Equal(t, s.ExpiresAt(), start.Add(fence.LeaseDuration), "a majority of both sets is needed")
	s.ReplaceMembers(five)
	for _, m := range five {
		s.Confirm(m, start.Add(2*fence.MaxStoreReadAge))
	}
	assert.Equal(t, s.ExpiresAt(), start.Add(fence.MaxStoreReadAge), "the store was read too long ago")
}

func TestTakeover(t *testing.T) {
	five := members(5)
	wait := fence.LeaseDuration + fence.DriftMargin
	takeover := fence.BeginTakeover(start, five, wait)
	takeover.MarkNotified(start, five[0], five[0])
	takeover.MarkNotified(start, five[0], five[0])
	takeover.MarkNotified(start, five[1], gage.Process{VM: "vm1", StartedAt: 9})
	takeover.MarkNotified(start, five[1], five[2])
	takeover.MarkNotified(start, gage.Process{VM: "other"}, gage.Process{VM: "other"})
	assert.Assert(t, !takeover.Ready(start.Add(time.Minute)), "one of five was told")
	takeover.MarkNotified(start.Add(time.Minute), five[1], gage.Process{VM: "vm1", StartedAt: 12})
	takeover.MarkNotified(start.Add(time.Minute), five[2], five[2])
	assert.Assert(t, !takeover.Ready(start.Add(time.Minute+fence.LeaseDuration)))
	assert.Assert(t, takeover.Ready(start.Add(time.Minute+wait)))

	lost := fence.BeginTakeover(start, five, wait)
	assert.Assert(t, lost.Ready(start.Add(fence.MaxStoreReadAge+fence.StoreDriftMargin)))
}

// Every majority that could carry the old holder meets the told members.
func TestToldMeetsEveryMajority(t *testing.T) {
	for count := range 6 {
		list := members(count)
		for told := range 1 << count {
			takeover := fence.BeginTakeover(start, list, 0)
			standing := fence.Lease{Members: list}
			standing.ConfirmByStore(start)
			for i, m := range list {
				if told&(1<<i) != 0 {
					takeover.MarkNotified(start, m, m)
				} else {
					standing.Confirm(m, start.Add(time.Minute))
				}
			}
			carried := !standing.MajorityAt().IsZero()
			assert.Assert(t, !carried || !takeover.Ready(start), "count %d told %b", count, told)
		}
	}
}
