package tokens

import (
	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/share"
	"github.com/greengagewind/greengagewind/gage/protocol/wire"
)

// ToConfirmRequest returns the protobuf form of request.
func ToConfirmRequest(request share.ConfirmRequest) *wire.ShareConfirmRequest {
	m := &wire.ShareConfirmRequest{}
	for _, item := range request.Items {
		m.Items = append(m.Items, &wire.ShareItem{
			Shard:   int32(item.Shard),
			Slot:    int32(item.Slot),
			Version: item.Version,
			Tell:    item.IsTakeover,
			Handed:  item.IsHandover,
		})
	}
	return m
}

// FromConfirmRequest returns the request in m.
func FromConfirmRequest(m *wire.ShareConfirmRequest) share.ConfirmRequest {
	var request share.ConfirmRequest
	for _, item := range m.GetItems() {
		request.Items = append(request.Items, share.SlotRequest{
			Shard:      int(item.GetShard()),
			Slot:       int(item.GetSlot()),
			Version:    item.GetVersion(),
			IsTakeover: item.GetTell(),
			IsHandover: item.GetHanded(),
		})
	}
	return request
}

// ToConfirmReply returns the protobuf form of reply.
func ToConfirmReply(reply share.ConfirmReply) *wire.ShareConfirmReply {
	m := &wire.ShareConfirmReply{VM: reply.From.VM, StartedAt: reply.From.StartedAt}
	for _, item := range reply.Items {
		m.Words = append(m.Words, &wire.ShareWord{
			Shard: int32(item.Shard),
			Slot:  int32(item.Slot),
			Known: item.NewestVersion,
		})
	}
	return m
}

// FromConfirmReply returns the reply in m.
func FromConfirmReply(m *wire.ShareConfirmReply) share.ConfirmReply {
	reply := share.ConfirmReply{From: gage.Process{VM: m.GetVM(), StartedAt: m.GetStartedAt()}}
	for _, item := range m.GetWords() {
		reply.Items = append(reply.Items, share.SlotReply{
			Shard:         int(item.GetShard()),
			Slot:          int(item.GetSlot()),
			NewestVersion: item.GetKnown(),
		})
	}
	return reply
}
