package claim

import (
	"time"

	"github.com/greengagewind/greengagewind/gage/coordination/dedup"
	"github.com/greengagewind/greengagewind/gage/protocol/wire"
	"github.com/greengagewind/greengagewind/gage/state/table"
)

// ToPageRequest returns the protobuf form of r.
func ToPageRequest(r dedup.PageRequest) *wire.ClaimPageRequest {
	return &wire.ClaimPageRequest{
		Shard: int32(r.Shard), Slot: int32(r.Slot), FromSlot: int32(r.RequesterSlot),
		FromEpoch: r.RequesterEpoch, After: r.After,
	}
}

// FromPageRequest returns the request in m.
func FromPageRequest(m *wire.ClaimPageRequest) dedup.PageRequest {
	return dedup.PageRequest{
		Shard: int(m.GetShard()), Slot: int(m.GetSlot()), RequesterSlot: int(m.GetFromSlot()),
		RequesterEpoch: m.GetFromEpoch(), After: m.GetAfter(),
	}
}

// ToPageReply returns the protobuf form of r.
func ToPageReply(r dedup.PageReply) *wire.ClaimPageReply {
	records := make([]*wire.ClaimRecord, len(r.Records))
	for i, record := range r.Records {
		records[i] = toRecord(record)
	}
	m := &wire.ClaimPageReply{
		Status: string(r.Status), Epoch: r.Epoch, Records: records, Next: r.Next, Done: r.IsLast,
	}
	if !r.CoveredSince.IsZero() {
		m.SinceMicros = r.CoveredSince.UnixMicro()
	}
	return m
}

// FromPageReply returns the reply in m, and false if the key of one of its
// records does not have the length of a table.Key.
func FromPageReply(m *wire.ClaimPageReply) (dedup.PageReply, bool) {
	r := dedup.PageReply{
		Status: dedup.Status(m.GetStatus()), Epoch: m.GetEpoch(), Next: m.GetNext(), IsLast: m.GetDone(),
		Records: make([]table.Record, len(m.GetRecords())),
	}
	if m.GetSinceMicros() != 0 {
		r.CoveredSince = time.UnixMicro(m.GetSinceMicros())
	}
	for i, message := range m.GetRecords() {
		record, ok := fromRecord(message)
		if !ok {
			return dedup.PageReply{}, false
		}
		r.Records[i] = record
	}
	return r, true
}

func toRecord(r table.Record) *wire.ClaimRecord {
	return &wire.ClaimRecord{
		Key: r.Key[:], Request: r.Request, Epoch: r.Epoch, Number: r.Number,
		AtMicros: r.ClaimedAt.UnixMicro(), Phase: string(r.Phase),
	}
}

func fromRecord(m *wire.ClaimRecord) (table.Record, bool) {
	key, ok := keyFromBytes(m.GetKey())
	return table.Record{
		Key: key, Request: m.GetRequest(), Epoch: m.GetEpoch(), Number: m.GetNumber(),
		ClaimedAt: time.UnixMicro(m.GetAtMicros()), Phase: table.Phase(m.GetPhase()),
	}, ok
}
