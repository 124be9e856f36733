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

// expectedMember computes, without a table, the result of merging the records
// of one VM: the latest process with its latest status, its latest version and
// its highest generation.
func expectedMember(vm string, records []member.Record) gage.Member {
	expected := gage.Member{VM: vm, StartedAt: 1, Phase: gage.MemberAlive}
	for _, r := range records {
		if r.Member.VM == vm && r.Member.StartedAt > expected.StartedAt {
			expected = gage.Member{VM: vm, StartedAt: r.Member.StartedAt, Phase: gage.MemberAlive}
		}
	}
	for _, r := range records {
		m := r.Member
		if m.VM != vm || m.StartedAt != expected.StartedAt {
			continue
		}
		if m.Incarnation > expected.Incarnation ||
			m.Incarnation == expected.Incarnation && member.PhaseRank(m.Phase) > member.PhaseRank(expected.Phase) {
			expected.Incarnation, expected.Phase = m.Incarnation, m.Phase
		}
		if m.Version > expected.Version {
			expected.Version, expected.Targets = m.Version, m.Targets
		}
		expected.Generation = max(expected.Generation, m.Generation)
	}
	return expected
}

func TestMergeIsIndependentOfOrderAndRepetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 0, 40).Draw(t, "Records")
		shuffled := rapid.Permutation(records).Draw(t, "Shuffled")
		first, second := newTable(), newTable()
		for _, r := range records {
			first.Merge(start, r)
			first.Merge(start, r)
		}
		for _, r := range shuffled {
			second.Merge(start, r)
		}
		for _, vm := range vms {
			firstEntry, _ := first.Get(vm)
			secondEntry, _ := second.Get(vm)
			want := expectedMember(vm, records)
			want.Targets, firstEntry.Member.Targets, secondEntry.Member.Targets = nil, nil, nil
			assert.DeepEqual(t, firstEntry.Member, want)
			assert.DeepEqual(t, secondEntry.Member, want)
		}
		assert.Equal(t, first.BucketHashes, second.BucketHashes)
	})
}

func TestRepeatedComparisonsMakeTablesEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := newTable(), newTable()
		for _, r := range rapid.SliceOfN(rapid.Custom(drawRecord), 0, 20).Draw(t, "First") {
			first.Merge(start, r)
		}
		for _, r := range rapid.SliceOfN(rapid.Custom(drawRecord), 0, 20).Draw(t, "Second") {
			second.Merge(start, r)
		}
		limit := member.Limit{
			Entries: rapid.IntRange(1, 8).Draw(t, "Entries"),
			Records: rapid.IntRange(1, 8).Draw(t, "Records"),
			Bytes:   rapid.IntRange(1, 1000).Draw(t, "Bytes"),
		}
		for range 4 * len(vms) {
			compareOnce(first, second, limit)
			compareOnce(second, first, limit)
		}
		for _, vm := range vms {
			firstEntry, _ := first.Get(vm)
			secondEntry, _ := second.Get(vm)
			if firstEntry.Gone() && secondEntry.Gone() {
				continue
			}
			firstEntry.Member.Generation, secondEntry.Member.Generation = 0, 0
			assert.DeepEqual(t, firstEntry.Member, secondEntry.Member)
		}
	})
}

// compareOnce runs one comparison that initiator starts with peer and merges
// the exchanged records into both tables.
func compareOnce(initiator, peer *member.Table, limit member.Limit) {
	var buckets []uint32
	for b := range uint32(member.BucketCount) {
		buckets = append(buckets, b)
	}
	newer, wanted := initiator.Compare(buckets, peer.Digests(buckets), limit)
	for _, r := range newer {
		peer.Merge(start, r)
	}
	for _, r := range peer.Find(wanted, limit) {
		initiator.Merge(start, r)
	}
}

func TestMergeOfRecordAboutSelf(t *testing.T) {
	tests := []struct {
		name   string
		joined bool
		record gage.Member
		want   member.Verdict
	}{
		{"reported suspect", true, gage.Member{StartedAt: 5, Incarnation: 5, Phase: gage.MemberSuspect}, member.VerdictRefuted},
		{"reported dead", true, gage.Member{StartedAt: 5, Incarnation: 9, Phase: gage.MemberDead}, member.VerdictRefuted},
		{"outdated report", true, gage.Member{StartedAt: 5, Incarnation: 4, Phase: gage.MemberDead}, member.VerdictOld},
		{"report about earlier process", true, gage.Member{StartedAt: 4, Incarnation: 9, Phase: gage.MemberDead}, member.VerdictOld},
		{"report about later process", true, gage.Member{StartedAt: 6, Incarnation: 6, Phase: gage.MemberAlive}, member.VerdictSuperseded},
		{"earlier process with clock ahead", false, gage.Member{StartedAt: 6, Incarnation: 6, Phase: gage.MemberDead}, member.VerdictRefuted},
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

func TestFullTableEvictsOnlyDeadMembers(t *testing.T) {
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
