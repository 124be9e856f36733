// Package tokens converts the messages about quotas and shares between their
// protobuf form and the structs of packages quota and share. Functions To...
// return the protobuf form, functions From... the struct.
package tokens

import (
	"time"

	"github.com/greengagewind/greengagewind/gage/coordination/quota"
	"github.com/greengagewind/greengagewind/gage/protocol/wire"
)

// ToTakeRequest returns the protobuf form of request.
func ToTakeRequest(request quota.TakeRequest) *wire.QuotaTakeRequest {
	return &wire.QuotaTakeRequest{Slot: int32(request.Slot), Workspace: request.Workspace, Count: int32(request.Count)}
}

// FromTakeRequest returns the request in m.
func FromTakeRequest(m *wire.QuotaTakeRequest) quota.TakeRequest {
	return quota.TakeRequest{Slot: int(m.GetSlot()), Workspace: m.GetWorkspace(), Count: int(m.GetCount())}
}

// ToTakeReply returns the protobuf form of reply.
func ToTakeReply(reply quota.TakeReply) *wire.QuotaTakeReply {
	return &wire.QuotaTakeReply{
		Status:           string(reply.Status),
		Granted:          int32(reply.Granted),
		AgeMicros:        reply.TTL.Microseconds(),
		RetryAfterMicros: reply.RetryAfter.Microseconds(),
	}
}

// FromTakeReply returns the reply in m.
func FromTakeReply(m *wire.QuotaTakeReply) quota.TakeReply {
	return quota.TakeReply{
		Status:     quota.TakeStatus(m.GetStatus()),
		Granted:    int(m.GetGranted()),
		TTL:        time.Duration(m.GetAgeMicros()) * time.Microsecond,
		RetryAfter: time.Duration(m.GetRetryAfterMicros()) * time.Microsecond,
	}
}

// ToAdoptedRequest returns the protobuf form of request.
func ToAdoptedRequest(request quota.AdoptedRequest) *wire.QuotaAdoptedRequest {
	return &wire.QuotaAdoptedRequest{Places: slotsToWire(request.Slots)}
}

// FromAdoptedRequest returns the request in m.
func FromAdoptedRequest(m *wire.QuotaAdoptedRequest) quota.AdoptedRequest {
	return quota.AdoptedRequest{Slots: slotsFromWire(m.GetPlaces())}
}

// ToAdoptedReply returns the protobuf form of reply.
func ToAdoptedReply(reply quota.AdoptedReply) *wire.QuotaAdoptedReply {
	return &wire.QuotaAdoptedReply{Generation: reply.Generation, Standing: slotsToWire(reply.AdoptedSlots)}
}

// FromAdoptedReply returns the reply in m.
func FromAdoptedReply(m *wire.QuotaAdoptedReply) quota.AdoptedReply {
	return quota.AdoptedReply{Generation: m.GetGeneration(), AdoptedSlots: slotsFromWire(m.GetStanding())}
}

func slotsToWire(slots []quota.SlotID) []*wire.SharePlace {
	out := make([]*wire.SharePlace, 0, len(slots))
	for _, s := range slots {
		out = append(out, &wire.SharePlace{Shard: int32(s.Shard), Slot: int32(s.Slot)})
	}
	return out
}

func slotsFromWire(slots []*wire.SharePlace) []quota.SlotID {
	out := make([]quota.SlotID, 0, len(slots))
	for _, s := range slots {
		out = append(out, quota.SlotID{Shard: int(s.GetShard()), Slot: int(s.GetSlot())})
	}
	return out
}
