package share

import (
	"sort"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// The times of the confirm rounds.
const (
	// confirmEvery is the time between two rounds.
	confirmEvery = time.Second
	// tellEvery is the same while a takeover is under way.
	tellEvery = 250 * time.Millisecond
	// indexEvery is the time between two looks at the whole membership.
	indexEvery = 500 * time.Millisecond
)

// Tick does what is due at now. It asks for the members when it needs them.
func (k *Keeper) Tick(now time.Time, members func() []gage.Member) {
	if k.lastIndex.IsZero() || now.Sub(k.lastIndex) >= indexEvery {
		k.lastIndex = now
		k.index(members())
		k.watchHolders(now)
	}
	k.finishTakeovers(now)
	k.round(now)
	k.plan(now)
}

func (k *Keeper) index(members []gage.Member) {
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
	for _, d := range k.duties {
		if d.takeover != nil && d.takeover.Ready(now) {
			d.takeover = nil
			k.lastRound = time.Time{}
		}
	}
}

// round asks the members of every held slot, in one message to each.
func (k *Keeper) round(now time.Time) {
	every := confirmEvery
	for _, d := range k.duties {
		if d.takeover != nil {
			every = tellEvery
		}
	}
	if now.Sub(k.lastRound) < every {
		return
	}
	k.lastRound = now
	asks := make(map[gage.Process]*ConfirmRequest)
	for _, p := range k.places() {
		k.collect(asks, p, k.duties[p])
	}
	for _, to := range sortedProcesses(asks) {
		k.send(now, to, *asks[to])
	}
}

// places returns the held slots in order.
func (k *Keeper) places() []place {
	places := make([]place, 0, len(k.duties))
	for p := range k.duties {
		places = append(places, p)
	}
	sort.Slice(places, func(i, j int) bool {
		a, b := places[i], places[j]
		return a.shard < b.shard || a.shard == b.shard && a.slot < b.slot
	})
	return places
}

func sortedProcesses(asks map[gage.Process]*ConfirmRequest) []gage.Process {
	processes := make([]gage.Process, 0, len(asks))
	for p := range asks {
		processes = append(processes, p)
	}
	sort.Slice(processes, func(i, j int) bool {
		a, b := processes[i], processes[j]
		return a.VM < b.VM || a.VM == b.VM && a.StartedAt < b.StartedAt
	})
	return processes
}

func (k *Keeper) collect(asks map[gage.Process]*ConfirmRequest, p place, d *duty) {
	item := SlotRequest{Shard: p.shard, Slot: p.slot, Version: d.version, IsTakeover: d.takeover != nil}
	if d.handing {
		return
	}
	targets := append([]gage.Process{}, d.standing.Members...)
	for _, pending := range d.standing.PendingMembers {
		if !containsProcess(targets, pending) {
			targets = append(targets, pending)
		}
	}
	for _, to := range targets {
		if d.takeover != nil && d.takeover.IsNotified(to) {
			continue
		}
		if asks[to] == nil {
			asks[to] = &ConfirmRequest{}
		}
		asks[to].Items = append(asks[to].Items, item)
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

// send hands out an ask, or answers it at once when it is to this VM.
func (k *Keeper) send(now time.Time, to gage.Process, ask ConfirmRequest) {
	out := OutgoingConfirm{To: to, SentAt: now, Request: ask}
	if to.VM == k.self.VM {
		k.HandleReply(now, out, k.Confirm(now, ask))
		return
	}
	m, ok := k.byVM[to.VM]
	if !ok {
		return
	}
	out.Address = m.PeerAddress
	k.out.Requests = append(k.out.Requests, out)
}

// Confirm is the member's side of an ask.
func (k *Keeper) Confirm(_ time.Time, ask ConfirmRequest) ConfirmReply {
	answer := ConfirmReply{From: k.self}
	for _, item := range ask.Items {
		if item.IsHandover {
			k.listSoon = true
		}
		if item.IsTakeover {
			k.promises.Raise(item.Shard, item.Slot, item.Version)
			k.yield(place{shard: item.Shard, slot: item.Slot}, item.Version)
		}
		known := k.promises.Newest(item.Shard, item.Slot)
		answer.Items = append(answer.Items, SlotReply{Shard: item.Shard, Slot: item.Slot, NewestVersion: known})
	}
	return answer
}

// yield drops a slot of which another process has a newer version.
func (k *Keeper) yield(p place, version uint64) {
	if d := k.duties[p]; d != nil && version > d.version {
		delete(k.duties, p)
		k.listSoon = true
	}
}

// HandleReply takes in the answer to an ask.
func (k *Keeper) HandleReply(now time.Time, out OutgoingConfirm, answer ConfirmReply) {
	words := make(map[place]uint64, len(answer.Items))
	for _, word := range answer.Items {
		words[place{shard: word.Shard, slot: word.Slot}] = word.NewestVersion
	}
	for _, item := range out.Request.Items {
		p := place{shard: item.Shard, slot: item.Slot}
		known, ok := words[p]
		if d := k.duties[p]; ok && d != nil && item.Version >= d.firstVersion {
			k.credit(now, out, answer.From, item, known, d)
		}
	}
}

func (k *Keeper) credit(now time.Time, out OutgoingConfirm, from gage.Process, item SlotRequest, known uint64, d *duty) {
	switch {
	case known > item.Version:
		k.listSoon = true
	case item.IsTakeover && d.takeover != nil && known == item.Version:
		d.takeover.MarkNotified(now, out.To, from)
	case !item.IsTakeover && from == out.To:
		d.standing.Confirm(out.To, out.SentAt)
	}
}
