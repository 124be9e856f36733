// Package tokens converts between the quota messages on the wire and the
// structs of packages quota and share.
package tokens

import (
	"time"

	"github.com/greengagewind/greengagewind/gage/coordination/quota"
	"github.com/greengagewind/greengagewind/gage/protocol/wire"
)

// FromTakeAsk converts to the wire.
func FromTakeAsk(ask quota.TakeRequest) *wire.QuotaTakeRequest {
	return &wire.QuotaTakeRequest{Slot: int32(ask.Slot), Workspace: ask.Workspace, Count: int32(ask.Count)}
}

// ToTakeAsk converts from the wire.
func ToTakeAsk(m *wire.QuotaTakeRequest) quota.TakeRequest {
	return quota.TakeRequest{Slot: int(m.GetSlot()), Workspace: m.GetWorkspace(), Count: int(m.GetCount())}
}

// FromTakeAnswer converts to the wire.
func FromTakeAnswer(answer quota.TakeReply) *wire.QuotaTakeReply {
	return &wire.QuotaTakeReply{
		Status:           string(answer.Status),
		Granted:          int32(answer.Granted),
		AgeMicros:        answer.TTL.Microseconds(),
		RetryAfterMicros: answer.RetryAfter.Microseconds(),
	}
}

// ToTakeAnswer converts from the wire.
func ToTakeAnswer(m *wire.QuotaTakeReply) quota.TakeReply {
	return quota.TakeReply{
		Status:     quota.TakeStatus(m.GetStatus()),
		Granted:    int(m.GetGranted()),
		TTL:        time.Duration(m.GetAgeMicros()) * time.Microsecond,
		RetryAfter: time.Duration(m.GetRetryAfterMicros()) * time.Microsecond,
	}
}

// FromAdoptedAsk converts to the wire.
func FromAdoptedAsk(ask quota.AdoptedRequest) *wire.QuotaAdoptedRequest {
	return &wire.QuotaAdoptedRequest{Places: fromPlaces(ask.Slots)}
}

// ToAdoptedAsk converts from the wire.
func ToAdoptedAsk(m *wire.QuotaAdoptedRequest) quota.AdoptedRequest {
	return quota.AdoptedRequest{Slots: toPlaces(m.GetPlaces())}
}

// FromAdoptedAnswer converts to the wire.
func FromAdoptedAnswer(answer quota.AdoptedReply) *wire.QuotaAdoptedReply {
	return &wire.QuotaAdoptedReply{Generation: answer.Generation, Standing: fromPlaces(answer.Standing)}
}

// ToAdoptedAnswer converts from the wire.
func ToAdoptedAnswer(m *wire.QuotaAdoptedReply) quota.AdoptedReply {
	return quota.AdoptedReply{Generation: m.GetGeneration(), Standing: toPlaces(m.GetStanding())}
}

func fromPlaces(places []quota.SlotID) []*wire.SharePlace {
	out := make([]*wire.SharePlace, 0, len(places))
	for _, p := range places {
		out = append(out, &wire.SharePlace{Shard: int32(p.Shard), Slot: int32(p.Slot)})
	}
	return out
}

func toPlaces(places []*wire.SharePlace) []quota.SlotID {
	out := make([]quota.SlotID, 0, len(places))
	for _, p := range places {
		out = append(out, quota.SlotID{Shard: int(p.GetShard()), Slot: int(p.GetSlot())})
	}
	return out
}
