package share

import (
	"sort"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// The intervals of Tick. In a confirm round, the process sends one
// ConfirmRequest to each confirming member of its slots.
const (
	// confirmInterval is the time between two confirm rounds.
	confirmInterval = time.Second
	// takeoverConfirmInterval replaces confirmInterval while this process is
	// taking over any slot.
	takeoverConfirmInterval = 250 * time.Millisecond
	// membershipInterval is the time between two reads of the membership.
	membershipInterval = 500 * time.Millisecond
)

// Tick performs the work that is due at now. members returns the fleet membership.
// Tick calls it at most once per membershipInterval, since the list may be long.
func (k *Keeper) Tick(now time.Time, members func() []gage.Member) {
	if k.membersReadAt.IsZero() || now.Sub(k.membersReadAt) >= membershipInterval {
		k.membersReadAt = now
		k.indexMembers(members())
		k.updateVacancies(now)
	}
	k.finishTakeovers(now)
	k.sendConfirmRound(now)
	k.planStoreCall(now)
}

func (k *Keeper) indexMembers(members []gage.Member) {
	clear(k.byVM)
	k.alive = append(k.alive[:0], k.settings.Self)
	k.byVM[k.self.VM] = &k.settings.Self
	for i := range members {
		m := &members[i]
		if m.VM == k.self.VM {
			continue
		}
		k.byVM[m.VM] = m
		if m.Phase == gage.MemberAlive {
			k.alive = append(k.alive, *m)
		}
	}
}

func (k *Keeper) finishTakeovers(now time.Time) {
	for _, held := range k.heldSlots {
		if held.takeover != nil && held.takeover.Ready(now) {
			held.takeover = nil
			k.confirmRoundAt = time.Time{}
		}
	}
}

// sendConfirmRound starts a confirm round if one is due. Each confirming member
// gets one request about all held slots that it confirms.
func (k *Keeper) sendConfirmRound(now time.Time) {
	interval := confirmInterval
	for _, held := range k.heldSlots {
		if held.takeover != nil {
			interval = takeoverConfirmInterval
		}
	}
	if now.Sub(k.confirmRoundAt) < interval {
		return
	}
	k.confirmRoundAt = now
	requests := make(map[gage.Process]*ConfirmRequest)
	for _, id := range k.heldSlotIDs() {
		k.addRequests(requests, id, k.heldSlots[id])
	}
	for _, to := range sortedProcesses(requests) {
		k.sendConfirm(now, to, *requests[to])
	}
}

// heldSlotIDs returns the held slots sorted by shard and slot.
func (k *Keeper) heldSlotIDs() []slotID {
	ids := make([]slotID, 0, len(k.heldSlots))
	for id := range k.heldSlots {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := ids[i], ids[j]
		return a.shard < b.shard || a.shard == b.shard && a.slot < b.slot
	})
	return ids
}

func sortedProcesses(requests map[gage.Process]*ConfirmRequest) []gage.Process {
	processes := make([]gage.Process, 0, len(requests))
	for p := range requests {
		processes = append(processes, p)
	}
	sort.Slice(processes, func(i, j int) bool {
		a, b := processes[i], processes[j]
		return a.VM < b.VM || a.VM == b.VM && a.StartedAt < b.StartedAt
	})
	return processes
}

// addRequests adds a held slot to the requests to its confirming members, except
// members that this process has already notified of its takeover.
func (k *Keeper) addRequests(requests map[gage.Process]*ConfirmRequest, id slotID, held *heldSlot) {
	item := SlotRequest{Shard: id.shard, Slot: id.slot, Version: held.version, IsTakeover: held.takeover != nil}
	if held.isHandingOver {
		return
	}
	recipients := append([]gage.Process{}, held.lease.Members...)
	for _, pending := range held.lease.PendingMembers {
		if !containsProcess(recipients, pending) {
			recipients = append(recipients, pending)
		}
	}
	for _, to := range recipients {
		if held.takeover != nil && held.takeover.IsNotified(to) {
			continue
		}
		if requests[to] == nil {
			requests[to] = &ConfirmRequest{}
		}
		requests[to].Items = append(requests[to].Items, item)
	}
}

func containsProcess(processes []gage.Process, p gage.Process) bool {
	for _, known := range processes {
		if known == p {
			return true
		}
	}
	return false
}

// sendConfirm queues a request, or answers it immediately when the confirming
// member is on this VM. It drops a request to a member whose address is unknown.
func (k *Keeper) sendConfirm(now time.Time, to gage.Process, request ConfirmRequest) {
	out := OutgoingConfirm{To: to, SentAt: now, Request: request}
	if to.VM == k.self.VM {
		k.HandleReply(now, out, k.Confirm(now, request))
		return
	}
	m, ok := k.byVM[to.VM]
	if !ok {
		return
	}
	out.Address = m.PeerAddress
	k.effects.Requests = append(k.effects.Requests, out)
}

// Confirm answers a request as a confirming member.
func (k *Keeper) Confirm(_ time.Time, request ConfirmRequest) ConfirmReply {
	reply := ConfirmReply{From: k.self}
	for _, item := range request.Items {
		if item.IsHandover {
			k.isListRequested = true
		}
		if item.IsTakeover {
			k.promises.Raise(item.Shard, item.Slot, item.Version)
			k.dropIfOlder(slotID{shard: item.Shard, slot: item.Slot}, item.Version)
		}
		newestVersion := k.promises.Newest(item.Shard, item.Slot)
		reply.Items = append(reply.Items, SlotReply{Shard: item.Shard, Slot: item.Slot, NewestVersion: newestVersion})
	}
	return reply
}

// dropIfOlder stops holding a slot if version, which another process has announced,
// is newer than the held version.
func (k *Keeper) dropIfOlder(id slotID, version uint64) {
	if held := k.heldSlots[id]; held != nil && version > held.version {
		delete(k.heldSlots, id)
		k.isListRequested = true
	}
}

// HandleReply processes the reply to a request.
func (k *Keeper) HandleReply(now time.Time, out OutgoingConfirm, reply ConfirmReply) {
	newestVersions := make(map[slotID]uint64, len(reply.Items))
	for _, item := range reply.Items {
		newestVersions[slotID{shard: item.Shard, slot: item.Slot}] = item.NewestVersion
	}
	for _, item := range out.Request.Items {
		id := slotID{shard: item.Shard, slot: item.Slot}
		newestVersion, ok := newestVersions[id]
		if held := k.heldSlots[id]; ok && held != nil && item.Version >= held.startVersion {
			k.applyReply(now, out, reply.From, item, newestVersion, held)
		}
	}
}

func (k *Keeper) applyReply(now time.Time, out OutgoingConfirm, from gage.Process, item SlotRequest, newestVersion uint64, held *heldSlot) {
	switch {
	case newestVersion > item.Version:
		k.isListRequested = true
	case item.IsTakeover && held.takeover != nil && newestVersion == item.Version:
		held.takeover.MarkNotified(now, out.To, from)
	case !item.IsTakeover && from == out.To:
		held.lease.Confirm(out.To, out.SentAt)
	}
}
