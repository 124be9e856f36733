package rumor_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/gossip"
	"github.com/greengagewind/greengagewind/gage/protocol/rumor"
	"github.com/greengagewind/greengagewind/gage/protocol/wire"
	"github.com/greengagewind/greengagewind/gage/testing/fleet"
)

// sampled is how many VMs stand for one whose messages are weighed.
const sampled = 7

// packetBytes is the length of the IP and UDP headers.
const packetBytes = 28

// scale is a fleet whose messages are weighed.
type scale struct {
	*fleet.Fleet
	Messages int
	Bytes    int
	// Kinds counts the bytes by kind.
	Kinds map[gossip.Kind]int
	// weighed are the VMs whose messages are weighed.
	weighed map[string]bool
	last    time.Time
	since   int
	// Peak is the highest rate over one second, in bytes a node.
	Peak float64
}

func newScale(b *testing.B, n int) *scale {
	b.Helper()
	s := &scale{Fleet: fleet.New(1), Kinds: make(map[gossip.Kind]int), weighed: make(map[string]bool)}
	for i := range n {
		s.weighed[fleet.VMName(i)] = i%sampled == 0
		m := fleet.NumberedMember(i)
		m.OperatorAddress = "10.100.100.100:7003"
		m.Targets = targets(i, gage.TargetServing)
		s.Start(m)
	}
	s.MergeAll()
	s.Run(5 * time.Second)
	s.OnSend = s.weigh
	s.last = s.Now
	for vm, ok := range s.weighed {
		if !ok {
			delete(s.weighed, vm)
		}
	}
	return s
}

func targets(i int, phase gage.TargetPhase) []gage.TargetRecord {
	return []gage.TargetRecord{{
		Name: fmt.Sprintf("target-%04d", i), Service: fmt.Sprintf("service-%03d", i%240), Phase: phase,
		Incarnation: 1_800_000_000_000, CapacityHint: 150, ColdUntil: 1_800_000_000_000,
	}}
}

func (s *scale) weigh(from *fleet.VM, send gossip.Envelope) {
	if !s.weighed[from.Member.VM] {
		return
	}
	packet, err := proto.Marshal(rumor.ToWire(send.Message))
	w := &wire.GossipMessage{}
	if err != nil || proto.Unmarshal(packet, w) != nil {
		panic("a message cannot be coded")
	}
	rumor.FromWire(w)
	s.Messages++
	s.Bytes += len(packet) + packetBytes
	s.Kinds[send.Message.Kind] += len(packet) + packetBytes
	s.since += len(packet) + packetBytes
	if s.Now.Sub(s.last) >= time.Second {
		s.Peak = max(s.Peak, float64(s.since)/float64(len(s.weighed))/s.Now.Sub(s.last).Seconds())
		s.last, s.since = s.Now, 0
	}
}

var sizes = []int{60, 300, 1000, 2800}

// BenchmarkSteady measures a fleet in which nothing changes.
func BenchmarkSteady(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			s := newScale(b, n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			const span = 10 * time.Second
			for b.Loop() {
				s.Run(span)
			}
			seconds := float64(b.N) * span.Seconds()
			nodes := float64(n) * seconds
			b.ReportMetric(float64(s.Bytes)/float64(len(s.weighed))/seconds, "B/s/node")
			b.ReportMetric(float64(s.Messages)/float64(len(s.weighed))/seconds, "msg/s/node")
			b.ReportMetric(b.Elapsed().Seconds()*1e6/nodes, "cpu-us/s/node")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n)/1024, "table-KiB/node")
			runtime.KeepAlive(s)
		})
	}
}

// BenchmarkSpread measures how long one drained target takes to be known
// everywhere.
func BenchmarkSpread(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newScale(b, n)
			total, longest := time.Duration(0), time.Duration(0)
			bytes := 0
			for i := 0; b.Loop(); i++ {
				s.Bytes = 0
				took := s.drainOne(b, i%n)
				total += took
				longest = max(longest, took)
				bytes += s.Bytes
				s.Run(5 * time.Second)
			}
			b.ReportMetric(total.Seconds()/float64(b.N), "s/spread")
			b.ReportMetric(longest.Seconds(), "s/slowest")
			b.ReportMetric(float64(bytes)/float64(b.N)/float64(len(s.weighed)), "B/node")
		})
	}
}

func (s *scale) drainOne(b *testing.B, i int) time.Duration {
	b.Helper()
	v := s.VMs[fleet.VMName(i)]
	s.Send(v, v.Core.SetTargets(s.Now, targets(i, gage.TargetDraining)))
	took, ok := s.RunUntil(time.Minute, func() bool { return s.knows(v.Core.Table.Self()) })
	assert.Assert(b, ok, s.Disagreement())
	return took
}

func (s *scale) knows(m gage.Member) bool {
	for _, v := range s.VMs {
		if e, ok := v.Core.Table.Get(m.VM); !ok || e.Member.Version < m.Version {
			return false
		}
	}
	return true
}

// BenchmarkZoneLost measures a zone that fails as a whole and comes back with
// new processes.
func BenchmarkZoneLost(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newScale(b, n)
			lost := s.zone("zone03")
			for b.Loop() {
				for _, v := range lost {
					v.Down = true
				}
				s.settle(b, "lost")
				for _, v := range lost {
					s.Start(v.Core.Table.Self(), contacts(n)...)
				}
				s.settle(b, "back")
			}
		})
	}
}

// contacts are as many nodes as 15 zones have rendezvous records.
func contacts(n int) []string {
	const records = 45
	var names []string
	for i := range records {
		names = append(names, fleet.VMName(i*n/records))
	}
	return names
}

// settle waits until all agree and reports how long that took and what it cost.
func (s *scale) settle(b *testing.B, phase string) {
	b.Helper()
	s.spent(time.Second)
	took, ok := s.RunUntil(5*time.Minute, s.agreed)
	assert.Assert(b, ok, s.Disagreement())
	b.ReportMetric(took.Seconds(), phase+"-s")
	b.ReportMetric(s.Peak, phase+"-peak-B/s/node")
	b.ReportMetric(s.spent(took), phase+"-B/s/node")
}

// agreed looks once a second only, since it looks at every table.
func (s *scale) agreed() bool {
	return s.Now.UnixMilli()%1000 < fleet.StepDuration.Milliseconds() && s.Converged()
}

// spent is the average of bytes sent by a node in a span.
func (s *scale) spent(took time.Duration) float64 {
	bytes := float64(s.Bytes) / float64(len(s.weighed)) / took.Seconds()
	s.Bytes, s.Peak = 0, 0
	return bytes
}

func (s *scale) zone(zone string) []*fleet.VM {
	var out []*fleet.VM
	for _, name := range s.Names {
		if s.VMs[name].Member.Zone == zone {
			out = append(out, s.VMs[name])
		}
	}
	return out
}

// partedFor is long enough for the far side to be declared dead.
const partedFor = 90 * time.Second

// BenchmarkRegionParted measures a region that is cut off and comes back.
func BenchmarkRegionParted(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newScale(b, n)
			for b.Loop() {
				s.Partitioned = func(a, b gage.Member) bool { return (a.Region == "region1") != (b.Region == "region1") }
				s.spent(time.Second)
				s.Run(partedFor)
				b.ReportMetric(s.Peak, "parted-peak-B/s/node")
				b.ReportMetric(s.spent(partedFor), "parted-B/s/node")
				s.Partitioned = nil
				s.settle(b, "joined")
			}
		})
	}
}
