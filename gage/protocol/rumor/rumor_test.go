package rumor_test

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/gossip"
	"github.com/greengagewind/greengagewind/gage/protocol/rumor"
	"github.com/greengagewind/greengagewind/gage/protocol/wire"
	"github.com/greengagewind/greengagewind/gage/state/member"
)

func fullRecord() member.Record {
	return member.Record{Member: gage.Member{
		VM: "vm1", Zone: "zone", Region: "region", PeerAddress: "10.0.0.1:7002", OperatorAddress: "10.0.0.1:7003",
		Incarnation: 7, StartedAt: 5, Phase: gage.MemberSuspect, Version: 3, Generation: 11,
		Targets: []gage.TargetRecord{{
			Name: "search-1", Service: "search", Phase: gage.TargetDraining,
			Incarnation: 9, CapacityHint: 150, ColdUntil: 13,
		}},
	}}
}

func briefRecord() member.Record {
	return member.Record{Brief: true, Member: gage.Member{
		VM: "vm2", Incarnation: 8, StartedAt: 6, Phase: gage.MemberDead, Generation: 12,
	}}
}

func TestMessagesRoundTrip(t *testing.T) {
	tests := []struct {
		name    string
		message gossip.Message
	}{
		{"ping request", gossip.Message{
			Kind: gossip.KindPingRequest, From: "a", FromAddress: "10.0.0.2:1", Seq: 4,
			Subject: "b", SubjectAddress: "10.0.0.3:1", Reliable: true,
		}},
		{"update", gossip.Message{
			Kind: gossip.KindUpdate, From: "a", FromAddress: "10.0.0.2:1",
			Records: []member.Record{fullRecord(), briefRecord()},
		}},
		{"digest", gossip.Message{Kind: gossip.KindDigest, From: "a", Buckets: []uint64{0, 1 << 63}, Joining: true}},
		{"entries", gossip.Message{
			Kind: gossip.KindEntries, From: "a", BucketNumbers: []uint32{0, 63},
			Entries: []member.Digest{{NameHash: 1, Status: 2, Payload: 1 << 31}, {NameHash: 3}},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			encoded, err := proto.Marshal(rumor.ToWire(tt.message))
			assert.NilError(t, err)
			w := &wire.GossipMessage{}
			assert.NilError(t, proto.Unmarshal(encoded, w))
			assert.DeepEqual(t, rumor.FromWire(w), tt.message)
		})
	}
}

// TestRecordSizeIsAtLeastEncodedSize checks that member.Record.Size is not below the
// length of the protobuf form.
func TestRecordSizeIsAtLeastEncodedSize(t *testing.T) {
	for _, r := range []member.Record{fullRecord(), briefRecord()} {
		r.Member.StartedAt, r.Member.Incarnation = 1_800_000_000_000, 1_800_000_000_000
		for i := range r.Member.Targets {
			r.Member.Targets[i].Incarnation, r.Member.Targets[i].ColdUntil = 1_800_000_000_000, 1_800_000_000_000
		}
		encodedSize := proto.Size(rumor.ToWire(gossip.Message{Records: []member.Record{r}}))
		assert.Assert(t, encodedSize <= r.Size(), "encoded record has %d bytes; Size returned %d", encodedSize, r.Size())
	}
}

// TestFromWireDropsExcessTargets checks that targets beyond the first
// gage.MaxTargetsPerVM are dropped from a received record.
func TestFromWireDropsExcessTargets(t *testing.T) {
	w := &wire.GossipMessage{Records: []*wire.MemberRecord{{VM: "a"}}}
	for range 2 * gage.MaxTargetsPerVM {
		w.Records[0].Targets = append(w.Records[0].Targets, &wire.TargetEntry{Name: "t"})
	}
	assert.Equal(t, len(rumor.FromWire(w).Records[0].Member.Targets), gage.MaxTargetsPerVM)
}
