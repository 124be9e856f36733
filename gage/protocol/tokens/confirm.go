package tokens

import (
	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/share"
	"github.com/greengagewind/greengagewind/gage/protocol/wire"
)

// FromConfirmAsk converts to the wire.
func FromConfirmAsk(ask share.ConfirmRequest) *wire.ShareConfirmRequest {
	m := &wire.ShareConfirmRequest{}
	for _, item := range ask.Items {
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

// ToConfirmAsk converts from the wire.
func ToConfirmAsk(m *wire.ShareConfirmRequest) share.ConfirmRequest {
	var ask share.ConfirmRequest
	for _, item := range m.GetItems() {
		ask.Items = append(ask.Items, share.SlotRequest{
			Shard:      int(item.GetShard()),
			Slot:       int(item.GetSlot()),
			Version:    item.GetVersion(),
			IsTakeover: item.GetTell(),
			IsHandover: item.GetHanded(),
		})
	}
	return ask
}

// FromConfirmAnswer converts to the wire.
func FromConfirmAnswer(answer share.ConfirmReply) *wire.ShareConfirmReply {
	m := &wire.ShareConfirmReply{VM: answer.From.VM, StartedAt: answer.From.StartedAt}
	for _, word := range answer.Items {
		m.Words = append(m.Words, &wire.ShareWord{
			Shard: int32(word.Shard),
			Slot:  int32(word.Slot),
			Known: word.NewestVersion,
		})
	}
	return m
}

// ToConfirmAnswer converts from the wire.
func ToConfirmAnswer(m *wire.ShareConfirmReply) share.ConfirmReply {
	answer := share.ConfirmReply{From: gage.Process{VM: m.GetVM(), StartedAt: m.GetStartedAt()}}
	for _, word := range m.GetWords() {
		answer.Items = append(answer.Items, share.SlotReply{
			Shard:         int(word.GetShard()),
			Slot:          int(word.GetSlot()),
			NewestVersion: word.GetKnown(),
		})
	}
	return answer
}
