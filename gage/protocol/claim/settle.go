package claim

import (
	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/dedup"
	"github.com/greengagewind/greengagewind/gage/protocol/wire"
)

// ToSettleRequest returns the protobuf form of r.
func ToSettleRequest(r dedup.SettleRequest) *wire.SettleRequest {
	return &wire.SettleRequest{
		Shard: int32(r.Shard), Slot: int32(r.Slot), Key: r.Key[:], Request: r.Request,
		Outcome: string(r.Outcome), Answer: toAnswer(r.Answer),
	}
}

// FromSettleRequest returns the request in m, and false if its key does not have
// the length of a table.Key.
func FromSettleRequest(m *wire.SettleRequest) (dedup.SettleRequest, bool) {
	key, ok := keyFromBytes(m.GetKey())
	return dedup.SettleRequest{
		Shard: int(m.GetShard()), Slot: int(m.GetSlot()), Key: key, Request: m.GetRequest(),
		Outcome: gage.Outcome(m.GetOutcome()), Answer: fromAnswer(m.GetAnswer()),
	}, ok
}

// ToSettleReply returns the protobuf form of r.
func ToSettleReply(r dedup.SettleReply) *wire.SettleReply {
	return &wire.SettleReply{Status: string(r.Status)}
}

// FromSettleReply returns the reply in m.
func FromSettleReply(m *wire.SettleReply) dedup.SettleReply {
	return dedup.SettleReply{Status: dedup.Status(m.GetStatus())}
}

// toAnswer returns the protobuf form of r, or nil if r has no HTTP status, that is
// if it holds no answer.
func toAnswer(r gage.Result) *wire.KeptAnswer {
	if r.Status == 0 {
		return nil
	}
	lines := make([]*wire.HeaderLine, len(r.Header))
	for i, h := range r.Header {
		lines[i] = &wire.HeaderLine{Name: h.Name, Value: h.Value}
	}
	return &wire.KeptAnswer{
		Status: int32(r.Status), Header: lines, Body: r.Body, Target: r.Target, VM: r.VM,
	}
}

func fromAnswer(m *wire.KeptAnswer) gage.Result {
	if m == nil {
		return gage.Result{}
	}
	header := make([]gage.Header, len(m.GetHeader()))
	for i, line := range m.GetHeader() {
		header[i] = gage.Header{Name: line.GetName(), Value: line.GetValue()}
	}
	return gage.Result{
		Outcome: gage.OutcomeRan, Status: int(m.GetStatus()), Header: header, Body: m.GetBody(),
		Target: m.GetTarget(), VM: m.GetVM(),
	}
}
