// Package claim converts the messages of request deduplication between their
// protobuf form and the structs of package dedup. Functions To... return the
// protobuf form, functions From... the struct.
package claim

import (
	"github.com/greengagewind/greengagewind/gage/coordination/dedup"
	"github.com/greengagewind/greengagewind/gage/protocol/wire"
	"github.com/greengagewind/greengagewind/gage/state/table"
)

// ToClaimRequest returns the protobuf form of r.
func ToClaimRequest(r dedup.ClaimRequest) *wire.ClaimRequest {
	return &wire.ClaimRequest{Shard: int32(r.Shard), Key: r.Key[:], Request: r.Request}
}

// FromClaimRequest returns the request in m, and false if its key does not have
// the length of a table.Key.
func FromClaimRequest(m *wire.ClaimRequest) (dedup.ClaimRequest, bool) {
	key, ok := keyFromBytes(m.GetKey())
	return dedup.ClaimRequest{Shard: int(m.GetShard()), Key: key, Request: m.GetRequest()}, ok
}

// ToClaimReply returns the protobuf form of r.
func ToClaimReply(r dedup.ClaimReply) *wire.ClaimReply {
	return &wire.ClaimReply{Status: string(r.Status), Answer: toAnswer(r.Answer)}
}

// FromClaimReply returns the reply in m.
func FromClaimReply(m *wire.ClaimReply) dedup.ClaimReply {
	return dedup.ClaimReply{Status: dedup.Status(m.GetStatus()), Answer: fromAnswer(m.GetAnswer())}
}

// ToRecordRequest returns the protobuf form of r.
func ToRecordRequest(r dedup.RecordRequest) *wire.RecordRequest {
	return &wire.RecordRequest{
		Shard: int32(r.Shard), Slot: int32(r.Slot), HomeEpoch: r.HomeEpoch, Record: toRecord(r.Record),
	}
}

// FromRecordRequest returns the request in m, and false if the key of its record
// does not have the length of a table.Key.
func FromRecordRequest(m *wire.RecordRequest) (dedup.RecordRequest, bool) {
	record, ok := fromRecord(m.GetRecord())
	return dedup.RecordRequest{
		Shard: int(m.GetShard()), Slot: int(m.GetSlot()), HomeEpoch: m.GetHomeEpoch(), Record: record,
	}, ok
}

// ToRecordReply returns the protobuf form of r.
func ToRecordReply(r dedup.RecordReply) *wire.RecordReply {
	return &wire.RecordReply{Status: string(r.Status), Epoch: r.Epoch}
}

// FromRecordReply returns the reply in m.
func FromRecordReply(m *wire.RecordReply) dedup.RecordReply {
	return dedup.RecordReply{Status: dedup.Status(m.GetStatus()), Epoch: m.GetEpoch()}
}

func keyFromBytes(b []byte) (table.Key, bool) {
	var key table.Key
	copy(key[:], b)
	return key, len(b) == len(key)
}
