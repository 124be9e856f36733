package gate_test

import (
	"testing"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/gate"
	"github.com/greengagewind/greengagewind/gage/state/shed"
)

func newEntry(id uint64) shed.Entry {
	workspaces := []string{"north", "south", "west", "east"}
	return shed.Entry{ID: id, Rank: 2, Route: "dates", Workspace: workspaces[id%4], ShedOrder: uint32(id * 2654435761)}
}

func BenchmarkArriveRelease(b *testing.B) {
	g := gate.New(epoch, gate.Options{Policy: gage.PolicyAdaptive, CapacityHint: 100})
	now, id := epoch, uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now = now.Add(time.Millisecond)
		e := newEntry(id)
		g.Arrive(now, e)
		g.Release(now, gate.Completion{Entry: e, Latency: 20 * time.Millisecond})
	}
}

// BenchmarkArriveAtFullQueue measures the most expensive case: each arrival finds
// the queue full, and each release admits the next call from it.
func BenchmarkArriveAtFullQueue(b *testing.B) {
	g := gate.New(epoch, gate.Options{Policy: gage.PolicyAdaptive, MaxConcurrency: 10})
	id := uint64(0)
	for range 600 {
		id++
		g.Arrive(epoch, newEntry(id))
	}
	b.ReportAllocs()
	for b.Loop() {
		id += 2
		g.Arrive(epoch, newEntry(id))
		g.Arrive(epoch, newEntry(id+1))
		g.Release(epoch, gate.Completion{Entry: newEntry(id), Latency: 20 * time.Millisecond})
	}
}
