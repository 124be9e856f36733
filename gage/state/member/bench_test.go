package member_test

import (
	"fmt"
	"testing"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/member"
)

// fleetSize is the number of nodes that the table is designed for.
const fleetSize = 2800

func newFleetTable() *member.Table {
	t := member.New(start, gage.Member{VM: "self", StartedAt: 1})
	for i := range fleetSize {
		t.Merge(start, member.Record{Member: numberedMember(i, 1)})
	}
	return t
}

func numberedMember(i int, incarnation uint64) gage.Member {
	return gage.Member{
		VM: fmt.Sprintf("vm%04d", i), Zone: "zone", Region: "region", StartedAt: 1,
		Incarnation: incarnation, Phase: gage.MemberAlive, Version: incarnation,
		Targets: []gage.TargetRecord{{Name: "target", Service: "service", Phase: gage.TargetServing}},
	}
}

// BenchmarkMembers measures listing all members of a table of 2,800 nodes.
func BenchmarkMembers(b *testing.B) {
	t := newFleetTable()
	b.ReportAllocs()
	for b.Loop() {
		t.Members()
	}
}

// BenchmarkMerge measures merging a record with a newer incarnation and version
// of a known member.
func BenchmarkMerge(b *testing.B) {
	t := newFleetTable()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		t.Merge(start, member.Record{Member: numberedMember(i%fleetSize, uint64(2+i/fleetSize))})
	}
}

// BenchmarkCompare measures the comparison of two buckets of two tables that
// differ in one record.
func BenchmarkCompare(b *testing.B) {
	local, peer := newFleetTable(), newFleetTable()
	peer.Merge(start, member.Record{Member: numberedMember(7, 2)})
	buckets := []uint32{member.Bucket(member.NameHash("vm0007")), 1}
	b.ReportAllocs()
	for b.Loop() {
		local.Compare(buckets, peer.Digests(buckets), member.Limit{Entries: 96, Records: 96, Bytes: 1000})
	}
}
