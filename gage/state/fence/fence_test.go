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

func TestLeaseExpiry(t *testing.T) {
	fiveMembers := members(5)
	lease := fence.Lease{Members: fiveMembers}
	for _, m := range fiveMembers {
		lease.Confirm(m, start)
	}
	assert.Assert(t, lease.ExpiresAt().IsZero(), "the store was never read")

	lease.ConfirmByStore(start)
	lease.Confirm(fiveMembers[0], start.Add(time.Second))
	lease.Confirm(fiveMembers[1], start.Add(2*time.Second))
	assert.Equal(t, lease.ExpiresAt(), start.Add(fence.LeaseDuration), "two of five are no majority")
	lease.Confirm(gage.Process{VM: "vm2", StartedAt: 11}, start.Add(time.Second))
	assert.Equal(t, lease.ExpiresAt(), start.Add(fence.LeaseDuration), "a restarted member does not count")
	lease.Confirm(fiveMembers[2], start.Add(time.Second))
	assert.Equal(t, lease.ExpiresAt(), start.Add(time.Second+fence.LeaseDuration))

	lease.HasPending, lease.PendingMembers = true, members(8)[5:]
	assert.Equal(t, lease.ExpiresAt(), start.Add(fence.LeaseDuration), "a majority of both sets is needed")
	lease.ReplaceMembers(fiveMembers)
	for _, m := range fiveMembers {
		lease.Confirm(m, start.Add(2*fence.MaxStoreReadAge))
	}
	assert.Equal(t, lease.ExpiresAt(), start.Add(fence.MaxStoreReadAge), "the store was read too long ago")
}

func TestTakeoverReadiness(t *testing.T) {
	fiveMembers := members(5)
	wait := fence.LeaseDuration + fence.DriftMargin
	takeover := fence.BeginTakeover(start, fiveMembers, wait)
	takeover.MarkNotified(start, fiveMembers[0], fiveMembers[0])
	takeover.MarkNotified(start, fiveMembers[0], fiveMembers[0])
	takeover.MarkNotified(start, fiveMembers[1], gage.Process{VM: "vm1", StartedAt: 9})
	takeover.MarkNotified(start, fiveMembers[1], fiveMembers[2])
	takeover.MarkNotified(start, gage.Process{VM: "other"}, gage.Process{VM: "other"})
	assert.Assert(t, !takeover.Ready(start.Add(time.Minute)), "only one of five members was notified")
	takeover.MarkNotified(start.Add(time.Minute), fiveMembers[1], gage.Process{VM: "vm1", StartedAt: 12})
	takeover.MarkNotified(start.Add(time.Minute), fiveMembers[2], fiveMembers[2])
	assert.Assert(t, !takeover.Ready(start.Add(time.Minute+fence.LeaseDuration)))
	assert.Assert(t, takeover.Ready(start.Add(time.Minute+wait)))

	unnotifiedTakeover := fence.BeginTakeover(start, fiveMembers, wait)
	assert.Assert(t, unnotifiedTakeover.Ready(start.Add(fence.MaxStoreReadAge+fence.StoreDriftMargin)))
}

// Whichever members are notified: if the others are enough to renew the lease
// of the earlier holder, the takeover must not be ready.
func TestNotifiedMembersBlockEveryMajority(t *testing.T) {
	for count := range 6 {
		list := members(count)
		for notified := range 1 << count {
			takeover := fence.BeginTakeover(start, list, 0)
			lease := fence.Lease{Members: list}
			lease.ConfirmByStore(start)
			for i, m := range list {
				if notified&(1<<i) != 0 {
					takeover.MarkNotified(start, m, m)
				} else {
					lease.Confirm(m, start.Add(time.Minute))
				}
			}
			isRenewed := !lease.MajorityAt().IsZero()
			assert.Assert(t, !isRenewed || !takeover.Ready(start), "%d members, notified %b", count, notified)
		}
	}
}
