package gossip_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/testing/fleet"
)

const (
	fuzzVMCount = 8
	// convergenceTimeout is the maximum time until all tables agree after the
	// faults have ended.
	convergenceTimeout = 2 * time.Minute
)

// fuzzedFleet is a fleet under random faults.
type fuzzedFleet struct {
	*fleet.Fleet
	// incarnations holds the last incarnation of each VM.
	incarnations map[string]uint64
}

func (f *fuzzedFleet) drawVM(t *rapid.T) *fleet.VM {
	return f.VMs[fleet.VMName(rapid.IntRange(0, fuzzVMCount-1).Draw(t, "VM"))]
}

func (f *fuzzedFleet) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"Pass": func(t *rapid.T) {
			f.Run(time.Duration(rapid.IntRange(1, 200).Draw(t, "Steps")) * fleet.StepDuration)
		},
		"Lose": func(t *rapid.T) {
			f.LossRate = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "Loss")
			f.DuplicateRate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "Repeat")
			f.MaxDelay = time.Duration(rapid.SampledFrom([]int{20, 300, 5000}).Draw(t, "DelayMillis")) * time.Millisecond
		},
		"Kill": func(t *rapid.T) { f.drawVM(t).Down = true },
		"Restart": func(t *rapid.T) {
			v := f.drawVM(t)
			f.Start(v.Member, f.seeds()...)
		},
		"Freeze": func(t *rapid.T) { f.drawVM(t).Frozen = true },
		"Thaw":   func(t *rapid.T) { f.Resume(f.drawVM(t)) },
		"Cut": func(t *rapid.T) {
			zone := f.drawVM(t).Member.Zone
			f.Partitioned = func(a, b gage.Member) bool { return (a.Zone == zone) != (b.Zone == zone) }
		},
		"Heal": func(*rapid.T) { f.Partitioned = nil },
		"Drain": func(t *rapid.T) {
			v := f.drawVM(t)
			if !v.Down && !v.Frozen {
				f.Send(v, v.Core.SetTargets(f.Now, []gage.TargetRecord{{Name: "x", Phase: gage.TargetDraining}}))
			}
		},
		"": f.checkSelf,
	}
}

// checkSelf runs after every action. It checks that the incarnation of each VM
// never decreases, and that each process considers itself alive.
func (f *fuzzedFleet) checkSelf(t *rapid.T) {
	for _, name := range f.Names {
		self := f.VMs[name].Core.Table.Self()
		assert.Equal(t, self.Phase, gage.MemberAlive)
		assert.Assert(t, self.Incarnation >= f.incarnations[name], name)
		f.incarnations[name] = self.Incarnation
	}
}

// ensureSeedRuns starts a seed if none is running. Nodes that could reach no
// other node since they started know only the addresses of the seeds.
func (f *fuzzedFleet) ensureSeedRuns() {
	for _, name := range f.seeds() {
		if !f.VMs[name].Down {
			return
		}
	}
	f.Start(f.VMs[fleet.VMName(0)].Member, f.seeds()...)
}

func (f *fuzzedFleet) seeds() []string {
	return []string{fleet.VMName(0), fleet.VMName(1), fleet.VMName(2)}
}

// The tables of all running nodes must agree within convergenceTimeout after crashes,
// restarts, freezes, partitions and lost, repeated and delayed messages.
func TestFleetConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fuzzedFleet{
			Fleet:        fleet.New(rapid.Uint64().Draw(t, "Seed")),
			incarnations: make(map[string]uint64),
		}
		f.StartVMs(fuzzVMCount)
		f.Run(10 * time.Second)
		t.Repeat(f.actions())
		f.LossRate, f.DuplicateRate, f.MaxDelay, f.Partitioned = 0, 0, 20*time.Millisecond, nil
		for _, name := range f.Names {
			if f.VMs[name].Frozen {
				f.Resume(f.VMs[name])
			}
		}
		f.ensureSeedRuns()
		_, ok := f.RunUntil(convergenceTimeout, f.Converged)
		assert.Assert(t, ok, f.Disagreement())
		for _, name := range f.Names {
			assert.Assert(t, f.VMs[name].Down || !f.VMs[name].Core.Superseded, name)
		}
	})
}
