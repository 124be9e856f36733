package quota

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/bucket"
)

// Issuer is the holder's side: the buckets of the slots that this process
// holds. It is not safe for concurrent use: one goroutine owns it.
//
// A slot's share of a workspace is lowered as soon as the Issuer adopts a
// configuration. It is raised only once the holders of the shard's other
// slots, being in standing, have said that they adopted the same generation.
// So there is at any time one generation whose shares none of them exceeds.
type Issuer struct {
	shares gage.Shares
	self   gage.Process
	// config is nil until a configuration is adopted.
	config  *gage.Config
	byShard [gage.ShareShards][]gage.Workspace
	// tenures has at most one entry for each slot.
	tenures map[SlotID]*tenure
	// begun counts the tenures begun.
	begun uint64
}

// tenure is one slot at one epoch of this process.
type tenure struct {
	epoch uint64
	// number is the value of Issuer.begun once the tenure had begun.
	number uint64
	// agreed holds the other slots whose holders, asked since the tenure
	// began, had adopted the generation of Issuer.config. An older word would
	// not do: the holder may have raised its share since, on the word of the
	// process that held this slot before.
	agreed map[int]bool
	// raised tells that the shares are those of Issuer.config.
	raised bool
	// accounts has an entry for each workspace of the shard.
	accounts map[string]*account
}

// account is a workspace at one slot.
type account struct {
	share  share
	bucket bucket.Bucket
	// denied counts the asks refused since the last token was given.
	denied int
}

// NewIssuer returns an Issuer that holds nothing.
func NewIssuer(self gage.Process, shares gage.Shares) *Issuer {
	return &Issuer{shares: shares, self: self, tenures: make(map[SlotID]*tenure)}
}

// Adopt takes in a configuration.
func (i *Issuer) Adopt(now time.Time, config *gage.Config) {
	if i.config != nil && config.Generation <= i.config.Generation {
		return
	}
	i.config = config
	for shard := range i.byShard {
		i.byShard[shard] = nil
	}
	for _, w := range config.Workspaces {
		shard := gage.ShardOf(w.Name)
		i.byShard[shard] = append(i.byShard[shard], w)
	}
	i.sync(now)
	for p, t := range i.tenures {
		t.agreed = make(map[int]bool)
		t.raised = false
		i.lowerAll(now, p, t)
	}
	i.raiseAll(now)
}

// Tick follows the slots that the process holds.
func (i *Issuer) Tick(now time.Time) {
	i.sync(now)
	i.raiseAll(now)
}

func (i *Issuer) sync(now time.Time) {
	for shard := range gage.ShareShards {
		for slot := range gage.ShareSlots {
			i.syncPlace(now, SlotID{Shard: shard, Slot: slot})
		}
	}
}

func (i *Issuer) syncPlace(now time.Time, p SlotID) *tenure {
	epoch, ok := i.shares.Standing(p.Shard, p.Slot, now)
	t := i.tenures[p]
	if t != nil && t.epoch != epoch {
		delete(i.tenures, p)
		t = nil
	}
	if !ok {
		return nil
	}
	if t == nil {
		i.begun++
		t = &tenure{epoch: epoch, number: i.begun, agreed: make(map[int]bool), accounts: make(map[string]*account)}
		i.tenures[p] = t
		i.lowerAll(now, p, t)
	}
	return t
}

// lowerAll brings the accounts in line with the configuration, raising none.
// A workspace that is new here starts with no share and an empty bucket.
func (i *Issuer) lowerAll(now time.Time, p SlotID, t *tenure) {
	accounts := make(map[string]*account, len(i.byShard[p.Shard]))
	for _, w := range i.byShard[p.Shard] {
		a := t.accounts[w.Name]
		if a == nil {
			a = &account{bucket: bucket.New(now, 0, 0)}
		}
		a.set(now, lower(a.share, shareOf(w, p.Slot)))
		accounts[w.Name] = a
	}
	t.accounts = accounts
}

func (a *account) set(now time.Time, s share) {
	a.share = s
	a.bucket.SetLimits(now, s.rate, s.burst)
}

// raiseAll raises the shares of every slot on whose generation all agree.
func (i *Issuer) raiseAll(now time.Time) {
	if i.config == nil {
		return
	}
	for p, t := range i.tenures {
		if t.raised || !i.agreed(now, p, t) {
			continue
		}
		t.raised = true
		for _, w := range i.byShard[p.Shard] {
			t.accounts[w.Name].set(now, shareOf(w, p.Slot))
		}
	}
}

func (i *Issuer) agreed(now time.Time, p SlotID, t *tenure) bool {
	for slot := range gage.ShareSlots {
		if slot == p.Slot || t.agreed[slot] {
			continue
		}
		other := i.tenures[SlotID{Shard: p.Shard, Slot: slot}]
		epoch, ok := i.shares.Standing(p.Shard, slot, now)
		if other == nil || !ok || other.epoch != epoch {
			return false
		}
	}
	return true
}

// Wanted returns the asks that would let shares be raised.
func (i *Issuer) Wanted(now time.Time) []Outgoing {
	if i.config == nil {
		return nil
	}
	byHolder := make(map[gage.Process]int)
	var asks []Outgoing
	for shard := range gage.ShareShards {
		for _, s := range i.shares.Slots(shard) {
			if !i.wants(shard, s) {
				continue
			}
			at, ok := byHolder[s.Holder]
			if !ok {
				at = len(asks)
				byHolder[s.Holder] = at
				asks = append(asks, i.outgoing(s))
			}
			asks[at].Ask.Slots = append(asks[at].Ask.Slots, SlotID{Shard: shard, Slot: s.Slot})
		}
	}
	return asks
}

func (i *Issuer) outgoing(s gage.ShareSlot) Outgoing {
	return Outgoing{To: s.Holder, Address: s.PeerAddress, Generation: i.config.Generation, Begun: i.begun}
}

// wants reports whether some slot of this process waits for the word of the
// holder of s.
func (i *Issuer) wants(shard int, s gage.ShareSlot) bool {
	if s.Holder == i.self || s.PeerAddress == "" {
		return false
	}
	for slot := range gage.ShareSlots {
		t := i.tenures[SlotID{Shard: shard, Slot: slot}]
		if slot != s.Slot && t != nil && !t.raised && !t.agreed[s.Slot] {
			return true
		}
	}
	return false
}

// Adopted is the holder's side of an AdoptedAsk.
func (i *Issuer) Adopted(now time.Time, ask AdoptedRequest) AdoptedReply {
	if i.config == nil {
		return AdoptedReply{}
	}
	answer := AdoptedReply{Generation: i.config.Generation}
	for _, p := range ask.Slots {
		if t := i.syncPlace(now, p); t != nil {
			answer.Standing = append(answer.Standing, p)
		}
	}
	return answer
}

// Heard takes in the answer to an AdoptedAsk.
func (i *Issuer) Heard(now time.Time, out Outgoing, answer AdoptedReply) {
	if i.config == nil || answer.Generation != i.config.Generation || out.Generation != answer.Generation {
		return
	}
	for _, p := range answer.Standing {
		for slot := range gage.ShareSlots {
			t := i.tenures[SlotID{Shard: p.Shard, Slot: slot}]
			if slot != p.Slot && t != nil && t.number <= out.Begun {
				t.agreed[p.Slot] = true
			}
		}
	}
	i.raiseAll(now)
}

// Take gives out tokens.
func (i *Issuer) Take(now time.Time, ask TakeRequest) TakeReply {
	p := SlotID{Shard: gage.ShardOf(ask.Workspace), Slot: ask.Slot}
	t := i.syncPlace(now, p)
	if t == nil {
		return TakeReply{Status: TakeNotHolder}
	}
	// The slot may be given up on another goroutine while this one counts.
	epoch, ok := i.shares.Standing(p.Shard, p.Slot, now)
	if !ok || epoch != t.epoch {
		return TakeReply{Status: TakeNotHolder}
	}
	a := t.accounts[ask.Workspace]
	if a == nil || a.share.burst < 1 {
		return TakeReply{Status: TakeNoShare}
	}
	granted := a.bucket.Take(now, min(ask.Count, MaxCount))
	answer := TakeReply{Status: TakeServed, Granted: granted, TTL: a.share.age}
	if granted > 0 {
		a.denied = 0
	}
	if granted < ask.Count {
		a.denied++
		answer.RetryAfter = a.retryAfter(now)
	}
	return answer
}
