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

// Only the messages of every sampleInterval-th VM are measured.
const sampleInterval = 7

// packetHeaderBytes is the length of the IP and UDP headers of a packet.
const packetHeaderBytes = 28

// measuredFleet is a simulated fleet that counts the messages that a sample of its
// VMs sends, and their bytes including packet headers.
type measuredFleet struct {
	*fleet.Fleet
	Messages int
	Bytes    int
	// BytesByKind counts the bytes by kind of message.
	BytesByKind map[gossip.Kind]int
	// sampled holds the VMs whose messages are measured.
	sampled map[string]bool
	// windowBytes counts the bytes sent since windowStart. A window lasts at
	// least one second.
	windowStart time.Time
	windowBytes int
	// Peak is the highest rate in any window, in bytes per second and node.
	Peak float64
}

func newMeasuredFleet(b *testing.B, n int) *measuredFleet {
	b.Helper()
	s := &measuredFleet{Fleet: fleet.New(1), BytesByKind: make(map[gossip.Kind]int), sampled: make(map[string]bool)}
	for i := range n {
		s.sampled[fleet.VMName(i)] = i%sampleInterval == 0
		m := fleet.NumberedMember(i)
		m.OperatorAddress = "10.100.100.100:7003"
		m.Targets = targets(i, gage.TargetServing)
		s.Start(m)
	}
	s.MergeAll()
	s.Run(5 * time.Second)
	s.OnSend = s.measure
	s.windowStart = s.Now
	for vm, isSampled := range s.sampled {
		if !isSampled {
			delete(s.sampled, vm)
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

func (s *measuredFleet) measure(from *fleet.VM, send gossip.Envelope) {
	if !s.sampled[from.Member.VM] {
		return
	}
	packet, err := proto.Marshal(rumor.ToWire(send.Message))
	w := &wire.GossipMessage{}
	if err != nil || proto.Unmarshal(packet, w) != nil {
		panic("a message cannot be encoded or decoded")
	}
	rumor.FromWire(w)
	s.Messages++
	s.Bytes += len(packet) + packetHeaderBytes
	s.BytesByKind[send.Message.Kind] += len(packet) + packetHeaderBytes
	s.windowBytes += len(packet) + packetHeaderBytes
	if s.Now.Sub(s.windowStart) >= time.Second {
		s.Peak = max(s.Peak, float64(s.windowBytes)/float64(len(s.sampled))/s.Now.Sub(s.windowStart).Seconds())
		s.windowStart, s.windowBytes = s.Now, 0
	}
}

// fleetSizes are the numbers of VMs of the measured fleets.
var fleetSizes = []int{60, 300, 1000, 2800}

// BenchmarkSteady measures the gossip traffic of a fleet without changes.
func BenchmarkSteady(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			s := newMeasuredFleet(b, n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			const span = 10 * time.Second
			for b.Loop() {
				s.Run(span)
			}
			simulatedSeconds := float64(b.N) * span.Seconds()
			nodeSeconds := float64(n) * simulatedSeconds
			b.ReportMetric(float64(s.Bytes)/float64(len(s.sampled))/simulatedSeconds, "B/s/node")
			b.ReportMetric(float64(s.Messages)/float64(len(s.sampled))/simulatedSeconds, "msg/s/node")
			b.ReportMetric(b.Elapsed().Seconds()*1e6/nodeSeconds, "cpu-us/s/node")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n)/1024, "table-KiB/node")
			runtime.KeepAlive(s)
		})
	}
}

// BenchmarkTargetDrain measures how long it takes until all nodes know that a
// target is draining.
func BenchmarkTargetDrain(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newMeasuredFleet(b, n)
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
			b.ReportMetric(float64(bytes)/float64(b.N)/float64(len(s.sampled)), "B/node")
		})
	}
}

func (s *measuredFleet) drainOne(b *testing.B, i int) time.Duration {
	b.Helper()
	v := s.VMs[fleet.VMName(i)]
	s.Send(v, v.Core.SetTargets(s.Now, targets(i, gage.TargetDraining)))
	took, ok := s.RunUntil(time.Minute, func() bool { return s.allTablesHold(v.Core.Table.Self()) })
	assert.Assert(b, ok, s.Disagreement())
	return took
}

// allTablesHold reports whether the membership table of every node holds m.VM at
// m.Version or a newer version.
func (s *measuredFleet) allTablesHold(m gage.Member) bool {
	for _, v := range s.VMs {
		if e, ok := v.Core.Table.Get(m.VM); !ok || e.Member.Version < m.Version {
			return false
		}
	}
	return true
}

// BenchmarkZoneFailure measures the failure of all VMs of a zone, and their
// restart with new processes.
func BenchmarkZoneFailure(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newMeasuredFleet(b, n)
			lost := s.vmsInZone("zone03")
			for b.Loop() {
				for _, v := range lost {
					v.Down = true
				}
				s.awaitConvergence(b, "lost")
				for _, v := range lost {
					s.Start(v.Core.Table.Self(), seedNames(n)...)
				}
				s.awaitConvergence(b, "back")
			}
		})
	}
}

// seedNames returns the names of 45 VMs, as many as there are rendezvous records
// in a fleet of 15 zones.
func seedNames(n int) []string {
	const records = 45
	var names []string
	for i := range records {
		names = append(names, fleet.VMName(i*n/records))
	}
	return names
}

// awaitConvergence runs the fleet until all membership tables are equal. It reports
// the time, the mean rate and the peak rate as metrics whose names begin with phase.
func (s *measuredFleet) awaitConvergence(b *testing.B, phase string) {
	b.Helper()
	s.takeByteRate(time.Second)
	took, ok := s.RunUntil(5*time.Minute, s.convergedThisSecond)
	assert.Assert(b, ok, s.Disagreement())
	b.ReportMetric(took.Seconds(), phase+"-s")
	b.ReportMetric(s.Peak, phase+"-peak-B/s/node")
	b.ReportMetric(s.takeByteRate(took), phase+"-B/s/node")
}

// convergedThisSecond reports whether the fleet has converged. It compares the tables
// only once a simulated second, as this is slow, and otherwise returns false.
func (s *measuredFleet) convergedThisSecond() bool {
	return s.Now.UnixMilli()%1000 < fleet.StepDuration.Milliseconds() && s.Converged()
}

// takeByteRate returns the mean bytes per second and node over span, and resets
// Bytes and Peak.
func (s *measuredFleet) takeByteRate(span time.Duration) float64 {
	byteRate := float64(s.Bytes) / float64(len(s.sampled)) / span.Seconds()
	s.Bytes, s.Peak = 0, 0
	return byteRate
}

func (s *measuredFleet) vmsInZone(zone string) []*fleet.VM {
	var out []*fleet.VM
	for _, name := range s.Names {
		if s.VMs[name].Member.Zone == zone {
			out = append(out, s.VMs[name])
		}
	}
	return out
}

// partitionDuration is long enough that each side declares the other dead.
const partitionDuration = 90 * time.Second

// BenchmarkRegionPartition measures a network partition between a region and the
// rest of the fleet, and the convergence after it.
func BenchmarkRegionPartition(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newMeasuredFleet(b, n)
			for b.Loop() {
				s.Partitioned = func(a, b gage.Member) bool { return (a.Region == "region1") != (b.Region == "region1") }
				s.takeByteRate(time.Second)
				s.Run(partitionDuration)
				b.ReportMetric(s.Peak, "parted-peak-B/s/node")
				b.ReportMetric(s.takeByteRate(partitionDuration), "parted-B/s/node")
				s.Partitioned = nil
				s.awaitConvergence(b, "joined")
			}
		})
	}
}
