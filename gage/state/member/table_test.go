package member_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/member"
)

var (
	start = time.UnixMilli(1_000)
	vms   = []string{"a", "b", "c", "d"}
)

func newTable() *member.Table {
	t := member.New(start, gage.Member{VM: "self", StartedAt: 1})
	for _, vm := range vms {
		t.Merge(start, member.Record{Member: gage.Member{VM: vm, StartedAt: 1, Phase: gage.MemberAlive}})
	}
	return t
}

func drawRecord(t *rapid.T) member.Record {
	m := gage.Member{
		VM:          rapid.SampledFrom(vms).Draw(t, "VM"),
		StartedAt:   rapid.Int64Range(1, 3).Draw(t, "StartedAt"),
		Incarnation: rapid.Uint64Range(0, 3).Draw(t, "Incarnation"),
		Phase: rapid.SampledFrom([]gage.MemberPhase{
			gage.MemberAlive, gage.MemberSuspect, gage.MemberDead, gage.MemberLeft,
		}).Draw(t, "Phase"),
		Version:    rapid.Uint64Range(0, 3).Draw(t, "Version"),
		Generation: rapid.Int64Range(0, 3).Draw(t, "Generation"),
	}
	m.Targets = []gage.TargetRecord{{Name: m.VM, Incarnation: m.Version}}
	return member.Record{Member: m}
}

// oracle folds the records of one VM without a table: the latest process, its
// latest status, its latest version and its highest generation.
func oracle(vm string, records []member.Record) gage.Member {
	best := gage.Member{VM: vm, StartedAt: 1, Phase: gage.MemberAlive}
	for _, r := range records {
		if r.Member.VM == vm && r.Member.StartedAt > best.StartedAt {
			best = gage.Member{VM: vm, StartedAt: r.Member.StartedAt, Phase: gage.MemberAlive}
		}
	}
	for _, r := range records {
		m := r.Member
		if m.VM != vm || m.StartedAt != best.StartedAt {
			continue
		}
		if m.Incarnation > best.Incarnation ||
			m.Incarnation == best.Incarnation && member.PhaseRank(m.Phase) > member.PhaseRank(best.Phase) {
			best.Incarnation, best.Phase = m.Incarnation, m.Phase
		}
		if m.Version > best.Version {
			best.Version, best.Targets = m.Version, m.Targets
		}
		best.Generation = max(best.Generation, m.Generation)
	}
	return best
}

func TestMergeAgreesWithTheOracleInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 0, 40).Draw(t, "Records")
		shuffled := rapid.Permutation(records).Draw(t, "Shuffled")
		one, other := newTable(), newTable()
		for _, r := range records {
			one.Merge(start, r)
			one.Merge(start, r)
		}
		for _, r := range shuffled {
			other.Merge(start, r)
		}
		for _, vm := range vms {
			e, _ := one.Get(vm)
			f, _ := other.Get(vm)
			want := oracle(vm, records)
			want.Targets, e.Member.Targets, f.Member.Targets = nil, nil, nil
			assert.DeepEqual(t, e.Member, want)
			assert.DeepEqual(t, f.Member, want)
		}
		assert.Equal(t, one.BucketHashes, other.BucketHashes)
	})
}

func TestComparisonsMakeTablesEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, other := newTable(), newTable()
		for _, r := range rapid.SliceOfN(rapid.Custom(drawRecord), 0, 20).Draw(t, "One") {
			one.Merge(start, r)
		}
		for _, r := range rapid.SliceOfN(rapid.Custom(drawRecord), 0, 20).Draw(t, "Other") {
			other.Merge(start, r)
		}
		limit := member.Limit{
			Entries: rapid.IntRange(1, 8).Draw(t, "Entries"),
			Records: rapid.IntRange(1, 8).Draw(t, "Records"),
			Bytes:   rapid.IntRange(1, 1000).Draw(t, "Bytes"),
		}
		for range 4 * len(vms) {
			compareOnce(one, other, limit)
			compareOnce(other, one, limit)
		}
		for _, vm := range vms {
			e, _ := one.Get(vm)
			f, _ := other.Get(vm)
			if e.Gone() && f.Gone() {
				continue
			}
			e.Member.Generation, f.Member.Generation = 0, 0
			assert.DeepEqual(t, e.Member, f.Member)
		}
	})
}

func compareOnce(asker, asked *member.Table, limit member.Limit) {
	var buckets []uint32
	for b := range uint32(member.BucketCount) {
		buckets = append(buckets, b)
	}
	newer, wanted := asker.Compare(buckets, asked.Digests(buckets), limit)
	for _, r := range newer {
		asked.Merge(start, r)
	}
	for _, r := range asked.Find(wanted, limit) {
		asker.Merge(start, r)
	}
}

func TestSelfIsRefutedOutbidOrSuperseded(t *testing.T) {
	tests := []struct {
		name   string
		joined bool
		record gage.Member
		want   member.Verdict
	}{
		{"suspicion", true, gage.Member{StartedAt: 5, Incarnation: 5, Phase: gage.MemberSuspect}, member.VerdictRefuted},
		{"death", true, gage.Member{StartedAt: 5, Incarnation: 9, Phase: gage.MemberDead}, member.VerdictRefuted},
		{"old suspicion", true, gage.Member{StartedAt: 5, Incarnation: 4, Phase: gage.MemberDead}, member.VerdictOld},
		{"earlier process", true, gage.Member{StartedAt: 4, Incarnation: 9, Phase: gage.MemberDead}, member.VerdictOld},
		{"later process", true, gage.Member{StartedAt: 6, Incarnation: 6, Phase: gage.MemberAlive}, member.VerdictSuperseded},
		{"clock went back", false, gage.Member{StartedAt: 6, Incarnation: 6, Phase: gage.MemberDead}, member.VerdictRefuted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := member.New(start, gage.Member{VM: "self", StartedAt: 5})
			table.Joined = tt.joined
			tt.record.VM = "self"
			assert.Equal(t, table.Merge(start, member.Record{Member: tt.record}), tt.want)
			self := table.Self()
			assert.Equal(t, self.Phase, gage.MemberAlive)
			if tt.want == member.VerdictRefuted {
				assert.Assert(t, self.Incarnation > tt.record.Incarnation)
				assert.Assert(t, self.StartedAt >= tt.record.StartedAt)
			}
		})
	}
}

func TestFullTableForgetsOnlyNodesThatAreGone(t *testing.T) {
	table := member.New(start, gage.Member{VM: "self", StartedAt: 1})
	for i := range member.MaxMembers - 1 {
		vm := string(rune(0x4e00+i%20000)) + "x"
		table.Merge(start, member.Record{Member: gage.Member{VM: vm, StartedAt: 1, Phase: gage.MemberAlive}})
	}
	late := member.Record{Member: gage.Member{VM: "late", StartedAt: 1, Phase: gage.MemberAlive}}
	assert.Equal(t, table.Merge(start, late), member.VerdictFull)
	assert.Assert(t, table.Mark(start, string(rune(0x4e00))+"x", gage.MemberDead))
	assert.Equal(t, table.Merge(start, late), member.VerdictNew)
	assert.Equal(t, table.LiveCount(), member.MaxMembers)
}
