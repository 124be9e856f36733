package quota

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/bucket"
)

// Issuer grants tokens from the token buckets of the slots that this process
// holds. It is not safe for concurrent use.
//
// When the Issuer adopts a configuration, limits that are lower than before
// apply at once. Limits that are higher apply to a slot only once the holders
// of the shard's other slots have confirmed that they adopted the same
// generation and may serve their slots. Hence at any time there is a generation
// such that no slot of the shard has higher limits than in that generation.
type Issuer struct {
	shares gage.Shares
	self   gage.Process
	// config is nil until a configuration is adopted.
	config            *gage.Config
	workspacesByShard [gage.ShardCount][]gage.Workspace
	// slots has at most one entry for each slot.
	slots map[SlotID]*slotState
	// lastSequence is the sequence number of the newest slotState.
	lastSequence uint64
}

// slotState is the state of one slot while this process holds it at one epoch.
type slotState struct {
	epoch uint64
	// sequence numbers the slotStates of an Issuer in order of creation.
	sequence uint64
	// adoptedBy is indexed by the other slots of the shard. It is true for a slot
	// whose holder has confirmed the generation of Issuer.config. Only replies to
	// requests sent after this slotState was created count. An earlier reply may
	// be outdated: since then the other holder may have adopted a newer
	// generation and raised its limits, because the previous holder of this slot
	// had confirmed that generation.
	adoptedBy map[int]bool
	// isRaised is true if the limits of the slot are those of Issuer.config. If it
	// is false, they may be lower.
	isRaised bool
	// buckets has an entry for each workspace of the shard, by name.
	buckets map[string]*workspaceBucket
}

// workspaceBucket is the token bucket of one workspace in one slot.
type workspaceBucket struct {
	limits slotLimits
	bucket bucket.Bucket
	// shortReplies is the number of replies that granted fewer tokens than
	// requested. It is reset to 0 when a reply grants any token, before that reply
	// itself is counted.
	shortReplies int
}

// NewIssuer returns an Issuer without a configuration. It grants no tokens
// until Adopt.
func NewIssuer(self gage.Process, shares gage.Shares) *Issuer {
	return &Issuer{shares: shares, self: self, slots: make(map[SlotID]*slotState)}
}

// Adopt puts a configuration in force, unless it is not newer than the current
// one.
func (i *Issuer) Adopt(now time.Time, config *gage.Config) {
	if i.config != nil && config.Generation <= i.config.Generation {
		return
	}
	i.config = config
	for shard := range i.workspacesByShard {
		i.workspacesByShard[shard] = nil
	}
	for _, w := range config.Workspaces {
		shard := gage.ShardOf(w.Name)
		i.workspacesByShard[shard] = append(i.workspacesByShard[shard], w)
	}
	i.syncSlots(now)
	for id, state := range i.slots {
		state.adoptedBy = make(map[int]bool)
		state.isRaised = false
		i.lowerLimits(now, id, state)
	}
	i.raiseLimits(now)
}

// Tick updates the state of the slots that this process has gained or lost. It
// must be called regularly.
func (i *Issuer) Tick(now time.Time) {
	i.syncSlots(now)
	i.raiseLimits(now)
}

func (i *Issuer) syncSlots(now time.Time) {
	for shard := range gage.ShardCount {
		for slot := range gage.MaxSlotsPerShard {
			i.syncSlot(now, SlotID{Shard: shard, Slot: slot})
		}
	}
}

// syncSlot creates or deletes the state of a slot according to the share table and
// returns the state. It returns nil when this process may not serve the slot.
func (i *Issuer) syncSlot(now time.Time, id SlotID) *slotState {
	epoch, ok := i.shares.HeldEpoch(id.Shard, id.Slot, now)
	state := i.slots[id]
	if state != nil && state.epoch != epoch {
		delete(i.slots, id)
		state = nil
	}
	if !ok {
		return nil
	}
	if state == nil {
		i.lastSequence++
		state = &slotState{epoch: epoch, sequence: i.lastSequence, adoptedBy: make(map[int]bool), buckets: make(map[string]*workspaceBucket)}
		i.slots[id] = state
		i.lowerLimits(now, id, state)
	}
	return state
}

// lowerLimits applies the configured limits that are lower than the current
// limits, and removes the buckets of workspaces that no longer exist. A new
// workspace starts with zero limits and an empty bucket.
func (i *Issuer) lowerLimits(now time.Time, id SlotID, state *slotState) {
	buckets := make(map[string]*workspaceBucket, len(i.workspacesByShard[id.Shard]))
	for _, w := range i.workspacesByShard[id.Shard] {
		b := state.buckets[w.Name]
		if b == nil {
			b = &workspaceBucket{bucket: bucket.New(now, 0, 0)}
		}
		b.setLimits(now, minLimits(b.limits, slotLimitsOf(w, id.Slot)))
		buckets[w.Name] = b
	}
	state.buckets = buckets
}

func (b *workspaceBucket) setLimits(now time.Time, limits slotLimits) {
	b.limits = limits
	b.bucket.SetLimits(now, limits.rate, limits.burst)
}

// raiseLimits applies the configured limits to every slot for which the holders
// of the other slots have adopted the configuration.
func (i *Issuer) raiseLimits(now time.Time) {
	if i.config == nil {
		return
	}
	for id, state := range i.slots {
		if state.isRaised || !i.adoptedByOthers(now, id, state) {
			continue
		}
		state.isRaised = true
		for _, w := range i.workspacesByShard[id.Shard] {
			state.buckets[w.Name].setLimits(now, slotLimitsOf(w, id.Slot))
		}
	}
}

// adoptedByOthers reports whether the configuration has been adopted for each other
// slot of the shard. That is the case if the slot's holder has confirmed the
// generation, or if this process itself may serve the slot.
func (i *Issuer) adoptedByOthers(now time.Time, id SlotID, state *slotState) bool {
	for slot := range gage.MaxSlotsPerShard {
		if slot == id.Slot || state.adoptedBy[slot] {
			continue
		}
		other := i.slots[SlotID{Shard: id.Shard, Slot: slot}]
		epoch, ok := i.shares.HeldEpoch(id.Shard, slot, now)
		if other == nil || !ok || other.epoch != epoch {
			return false
		}
	}
	return true
}

// AdoptedRequests returns the requests whose replies are needed before limits
// can be raised, at most one for each holder.
func (i *Issuer) AdoptedRequests(now time.Time) []OutgoingAdopted {
	if i.config == nil {
		return nil
	}
	indexByHolder := make(map[gage.Process]int)
	var requests []OutgoingAdopted
	for shard := range gage.ShardCount {
		for _, s := range i.shares.Slots(shard) {
			if !i.needsConfirmation(shard, s) {
				continue
			}
			index, ok := indexByHolder[s.Holder]
			if !ok {
				index = len(requests)
				indexByHolder[s.Holder] = index
				requests = append(requests, i.newAdoptedRequest(s))
			}
			requests[index].Request.Slots = append(requests[index].Request.Slots, SlotID{Shard: shard, Slot: s.Slot})
		}
	}
	return requests
}

func (i *Issuer) newAdoptedRequest(s gage.ShareSlot) OutgoingAdopted {
	return OutgoingAdopted{To: s.Holder, Address: s.PeerAddress, Generation: i.config.Generation, LastSequence: i.lastSequence}
}

// needsConfirmation reports whether this process holds a slot of the shard whose
// limits cannot be raised before the holder of s confirms the generation.
func (i *Issuer) needsConfirmation(shard int, s gage.ShareSlot) bool {
	if s.Holder == i.self || s.PeerAddress == "" {
		return false
	}
	for slot := range gage.MaxSlotsPerShard {
		state := i.slots[SlotID{Shard: shard, Slot: slot}]
		if slot != s.Slot && state != nil && !state.isRaised && !state.adoptedBy[s.Slot] {
			return true
		}
	}
	return false
}

// Adopted serves an AdoptedRequest. The reply is empty until a configuration is
// adopted.
func (i *Issuer) Adopted(now time.Time, request AdoptedRequest) AdoptedReply {
	if i.config == nil {
		return AdoptedReply{}
	}
	reply := AdoptedReply{Generation: i.config.Generation}
	for _, id := range request.Slots {
		if state := i.syncSlot(now, id); state != nil {
			reply.AdoptedSlots = append(reply.AdoptedSlots, id)
		}
	}
	return reply
}

// HandleAdopted processes the reply to out. It ignores the reply unless both
// the request and the reply are about the current generation.
func (i *Issuer) HandleAdopted(now time.Time, out OutgoingAdopted, reply AdoptedReply) {
	if i.config == nil || reply.Generation != i.config.Generation || out.Generation != reply.Generation {
		return
	}
	for _, id := range reply.AdoptedSlots {
		for slot := range gage.MaxSlotsPerShard {
			state := i.slots[SlotID{Shard: id.Shard, Slot: slot}]
			if slot != id.Slot && state != nil && state.sequence <= out.LastSequence {
				state.adoptedBy[id.Slot] = true
			}
		}
	}
	i.raiseLimits(now)
}

// Take serves a TakeRequest. It grants the available whole tokens, but no more
// than request.Count and no more than MaxTokensPerRequest.
func (i *Issuer) Take(now time.Time, request TakeRequest) TakeReply {
	id := SlotID{Shard: gage.ShardOf(request.Workspace), Slot: request.Slot}
	state := i.syncSlot(now, id)
	if state == nil {
		return TakeReply{Status: TakeNotHolder}
	}
	// Another goroutine may have given up the slot since syncSlot read the
	// share table.
	epoch, ok := i.shares.HeldEpoch(id.Shard, id.Slot, now)
	if !ok || epoch != state.epoch {
		return TakeReply{Status: TakeNotHolder}
	}
	b := state.buckets[request.Workspace]
	if b == nil || b.limits.burst < 1 {
		return TakeReply{Status: TakeNoShare}
	}
	granted := b.bucket.Take(now, min(request.Count, MaxTokensPerRequest))
	reply := TakeReply{Status: TakeServed, Granted: granted, TTL: b.limits.grantTTL}
	if granted > 0 {
		b.shortReplies = 0
	}
	if granted < request.Count {
		b.shortReplies++
		reply.RetryAfter = b.retryAfter(now)
	}
	return reply
}
