package gossip_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/testing/fleet"
)

// convergedFleet returns a fleet of n VMs whose tables all agree.
func convergedFleet(t *testing.T, n int, seed uint64) *fleet.Fleet {
	t.Helper()
	f := fleet.New(seed)
	f.StartVMs(n)
	_, ok := f.RunUntil(time.Minute, f.Converged)
	assert.Assert(t, ok, f.Disagreement())
	return f
}

func TestNodesJoinThroughASeed(t *testing.T) {
	convergedFleet(t, 18, 1)
}

func TestCrashedNodeIsDeclaredDead(t *testing.T) {
	f := convergedFleet(t, 18, 2)
	f.VMs[fleet.VMName(3)].Down = true
	elapsed, ok := f.RunUntil(time.Minute, f.Converged)
	assert.Assert(t, ok, f.Disagreement())
	t.Logf("declared dead by all nodes after %s", elapsed)
}

func TestRestartedProcessReplacesEarlierOne(t *testing.T) {
	f := convergedFleet(t, 18, 3)
	f.VMs[fleet.VMName(3)].Down = true
	f.Run(time.Second)
	f.Start(fleet.NumberedMember(3), fleet.VMName(7))
	elapsed, ok := f.RunUntil(20*time.Second, f.Converged)
	assert.Assert(t, ok, f.Disagreement())
	t.Logf("replaced on all nodes after %s", elapsed)
}

func TestTargetChangeReachesAllNodesWithinSeconds(t *testing.T) {
	f := convergedFleet(t, 18, 4)
	draining := []gage.TargetRecord{{Name: "search-1", Service: "search", Phase: gage.TargetDraining}}
	v := f.VMs[fleet.VMName(5)]
	f.Send(v, v.Core.SetTargets(f.Now, draining))
	elapsed, ok := f.RunUntil(3*time.Second, f.Converged)
	assert.Assert(t, ok, f.Disagreement())
	t.Logf("known to all nodes after %s", elapsed)
}

// The node is partitioned off until it suspects others, and then frozen for
// longer than the suspicion timeout. When it resumes, it must not declare the
// suspects dead, because it could not receive their refutations.
func TestThawedNodeDeclaresNoNodeDead(t *testing.T) {
	f := convergedFleet(t, 18, 5)
	frozen := f.VMs[fleet.VMName(2)]
	f.Partitioned = func(a, b gage.Member) bool { return a.VM == fleet.VMName(2) || b.VM == fleet.VMName(2) }
	f.Run(3 * time.Second)
	assert.Assert(t, len(frozen.Core.Table.Suspects(f.Now)) > 0)
	frozen.Frozen = true
	f.Run(time.Minute)
	f.Partitioned = nil
	f.Resume(frozen)
	elapsed, ok := f.RunUntil(time.Minute, f.Converged)
	assert.Assert(t, ok, f.Disagreement())
	assert.Equal(t, frozen.Core.Stats.Deaths, uint64(0))
	t.Logf("alive again on all nodes after %s", elapsed)
}

// A process whose VM's clock was set back starts with an earlier start time than
// the previous process of the VM. It must still replace that process.
func TestEarlierStartTimeIsRaisedAfterClockSetBack(t *testing.T) {
	f := convergedFleet(t, 18, 7)
	oldStartedAt := f.VMs[fleet.VMName(4)].Core.Table.Self().StartedAt
	f.Now = f.Now.Add(-time.Hour)
	v := f.Start(fleet.NumberedMember(4), fleet.VMName(9))
	f.Now = f.Now.Add(time.Hour)
	_, ok := f.RunUntil(20*time.Second, f.Converged)
	assert.Assert(t, ok, f.Disagreement())
	assert.Assert(t, v.Core.Table.Self().StartedAt > oldStartedAt)
}

// While a process is frozen, another process starts with the same VM name. After
// it resumes, the frozen process must learn that it is superseded.
func TestFrozenProcessIsSuperseded(t *testing.T) {
	f := convergedFleet(t, 18, 8)
	old := f.VMs[fleet.VMName(4)]
	f.Run(5 * time.Second)
	f.Start(fleet.NumberedMember(4), fleet.VMName(9))
	f.Run(10 * time.Second)
	for range 20 {
		f.Now = f.Now.Add(fleet.StepDuration)
		for _, s := range old.Core.Tick(f.Now) {
			for _, reply := range f.VMs[s.Address].Core.Receive(f.Now, s.Message) {
				old.Core.Receive(f.Now, reply.Message)
			}
		}
	}
	assert.Assert(t, old.Core.Superseded)
}

func TestLeaveReachesAllNodesWithinSeconds(t *testing.T) {
	f := convergedFleet(t, 18, 9)
	v := f.VMs[fleet.VMName(4)]
	f.Send(v, v.Core.Leave(f.Now))
	elapsed, ok := f.RunUntil(3*time.Second, func() bool {
		for _, name := range f.Names {
			if e, _ := f.VMs[name].Core.Table.Get(fleet.VMName(4)); e.Member.Phase != gage.MemberLeft {
				return false
			}
		}
		return true
	})
	assert.Assert(t, ok)
	t.Logf("known to all nodes after %s", elapsed)
}

func TestPartitionedRegionsRejoinWithoutStore(t *testing.T) {
	f := convergedFleet(t, 20, 6)
	f.Partitioned = func(a, b gage.Member) bool { return (a.Region == "region0") != (b.Region == "region0") }
	f.Run(5 * time.Minute)
	e, _ := f.VMs[fleet.VMName(1)].Core.Table.Get(fleet.VMName(0))
	assert.Equal(t, e.Member.Phase, gage.MemberDead)
	f.Partitioned = nil
	elapsed, ok := f.RunUntil(time.Minute, f.Converged)
	assert.Assert(t, ok, f.Disagreement())
	t.Logf("regions rejoined after %s", elapsed)
}
