// Package rumor converts gossip messages about membership between their protobuf
// form and the structs of package gossip.
package rumor

import (
	"encoding/binary"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/gossip"
	"github.com/greengagewind/greengagewind/gage/protocol/wire"
	"github.com/greengagewind/greengagewind/gage/state/member"
)

// ToWire returns the protobuf form of m.
func ToWire(m gossip.Message) *wire.GossipMessage {
	w := &wire.GossipMessage{
		Kind:           string(m.Kind),
		From:           m.From,
		FromAddress:    m.FromAddress,
		Seq:            m.Seq,
		Subject:        m.Subject,
		SubjectAddress: m.SubjectAddress,
		Buckets:        m.Buckets,
		BucketNumbers:  m.BucketNumbers,
		Joining:        m.Joining,
		Reliable:       m.Reliable,
		Entries:        entriesToWire(m.Entries),
	}
	for _, r := range m.Records {
		w.Records = append(w.Records, recordToWire(r))
	}
	return w
}

// FromWire returns the message in w. It keeps at most gage.MaxTargetsPerVM targets of
// each record. It ignores an incomplete digest at the end of Entries.
func FromWire(w *wire.GossipMessage) gossip.Message {
	m := gossip.Message{
		Kind:           gossip.Kind(w.GetKind()),
		From:           w.GetFrom(),
		FromAddress:    w.GetFromAddress(),
		Seq:            w.GetSeq(),
		Subject:        w.GetSubject(),
		SubjectAddress: w.GetSubjectAddress(),
		Buckets:        w.GetBuckets(),
		BucketNumbers:  w.GetBucketNumbers(),
		Joining:        w.GetJoining(),
		Reliable:       w.GetReliable(),
		Entries:        entriesFromWire(w.GetEntries()),
	}
	for _, r := range w.GetRecords() {
		m.Records = append(m.Records, recordFromWire(r))
	}
	return m
}

// digestBytes is the encoded length of a member.Digest: three 32-bit hashes.
const digestBytes = 12

func entriesToWire(entries []member.Digest) []byte {
	if len(entries) == 0 {
		return nil
	}
	out := make([]byte, 0, digestBytes*len(entries))
	for _, d := range entries {
		out = binary.LittleEndian.AppendUint32(out, d.NameHash)
		out = binary.LittleEndian.AppendUint32(out, d.Status)
		out = binary.LittleEndian.AppendUint32(out, d.Payload)
	}
	return out
}

func entriesFromWire(in []byte) []member.Digest {
	if len(in) < digestBytes {
		return nil
	}
	out := make([]member.Digest, 0, len(in)/digestBytes)
	for ; len(in) >= digestBytes; in = in[digestBytes:] {
		out = append(out, member.Digest{
			NameHash: binary.LittleEndian.Uint32(in),
			Status:   binary.LittleEndian.Uint32(in[4:]),
			Payload:  binary.LittleEndian.Uint32(in[8:]),
		})
	}
	return out
}

func recordToWire(r member.Record) *wire.MemberRecord {
	m := r.Member
	w := &wire.MemberRecord{
		VM:          m.VM,
		StartedAt:   m.StartedAt,
		Incarnation: m.Incarnation,
		Phase:       string(m.Phase),
		Generation:  m.Generation,
		Brief:       r.Brief,
	}
	if r.Brief {
		return w
	}
	w.Zone, w.Region = m.Zone, m.Region
	w.PeerAddress, w.OperatorAddress = m.PeerAddress, m.OperatorAddress
	w.Version = m.Version
	for _, t := range m.Targets {
		w.Targets = append(w.Targets, &wire.TargetEntry{
			Name:         t.Name,
			Service:      t.Service,
			Phase:        string(t.Phase),
			Incarnation:  t.Incarnation,
			CapacityHint: int32(t.CapacityHint),
			ColdUntil:    t.ColdUntil,
		})
	}
	return w
}

func recordFromWire(w *wire.MemberRecord) member.Record {
	m := gage.Member{
		VM:              w.GetVM(),
		Zone:            w.GetZone(),
		Region:          w.GetRegion(),
		PeerAddress:     w.GetPeerAddress(),
		OperatorAddress: w.GetOperatorAddress(),
		Incarnation:     w.GetIncarnation(),
		StartedAt:       w.GetStartedAt(),
		Phase:           gage.MemberPhase(w.GetPhase()),
		Version:         w.GetVersion(),
		Generation:      w.GetGeneration(),
	}
	for _, t := range w.GetTargets() {
		if len(m.Targets) == gage.MaxTargetsPerVM {
			break
		}
		m.Targets = append(m.Targets, gage.TargetRecord{
			Name:         t.GetName(),
			Service:      t.GetService(),
			Phase:        gage.TargetPhase(t.GetPhase()),
			Incarnation:  t.GetIncarnation(),
			CapacityHint: int(t.GetCapacityHint()),
			ColdUntil:    t.GetColdUntil(),
		})
	}
	return member.Record{Member: m, Brief: w.GetBrief()}
}
