package quota

import (
	"math"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// HedgeDelay is the time without a reply to a request after which tokens are also
// requested from another slot.
const HedgeDelay = 25 * time.Millisecond

// schedule grants the available tokens to the waiting calls and requests more
// tokens as needed. If no request is pending and none can be sent, it refuses the
// waiting calls.
func (r *Requester) schedule(now time.Time, ws *workspaceState) {
	r.grantTokens(now, ws)
	switch {
	case r.hasTimelyRequest(ws):
		return
	case len(ws.waiters) > 0:
		r.fetch(now, ws, len(ws.waiters)+ws.prefetchCount(now))
	default:
		r.prefetch(now, ws)
	}
	if len(ws.waiters) > 0 && !ws.hasPendingRequest() {
		r.refuseWaiters(ws, r.refusal(now, ws))
	}
}

func (r *Requester) grantTokens(now time.Time, ws *workspaceState) {
	for len(ws.tokens) > 0 {
		oldest := &ws.tokens[0]
		if oldest.count == 0 || !now.Before(oldest.admitBy) {
			ws.tokens = ws.tokens[1:]
			continue
		}
		if len(ws.waiters) == 0 {
			return
		}
		r.decide(ws.waiters[0], gage.Grant{OK: true, AdmitBy: oldest.admitBy})
		ws.waiters = ws.waiters[1:]
		oldest.count--
	}
}

// hasTimelyRequest reports whether at least one pending request is not overdue.
// While there is one, no further request is sent and calls that arrive wait.
func (r *Requester) hasTimelyRequest(ws *workspaceState) bool {
	for _, holder := range ws.holders {
		if request := r.pending[holder.pendingID]; request != nil && !request.isOverdue {
			return true
		}
	}
	return false
}

// hasPendingRequest reports whether any request is pending, overdue or not.
func (ws *workspaceState) hasPendingRequest() bool {
	for _, holder := range ws.holders {
		if holder.pendingID != 0 {
			return true
		}
	}
	return false
}

// prefetch requests prefetchCount tokens for expected calls, if at most half as many
// are available.
func (r *Requester) prefetch(now time.Time, ws *workspaceState) {
	wanted := ws.prefetchCount(now)
	available := 0
	for _, batch := range ws.tokens {
		available += batch.count
	}
	if wanted > 0 && available <= wanted/2 {
		r.fetch(now, ws, wanted)
	}
}

// fetch requests tokens from the first preferred slot that has no pending request,
// is not in backoff and is not known to be empty.
func (r *Requester) fetch(now time.Time, ws *workspaceState, count int) {
	for _, s := range r.preferredSlots(ws) {
		holder := &ws.holders[s.Slot]
		if holder.holder != s.Holder {
			holder.holder = s.Holder
			holder.backoffUntil = time.Time{}
			holder.failureBackoff = 0
		}
		if holder.pendingID != 0 || now.Before(holder.emptyUntil) || now.Before(holder.backoffUntil) {
			continue
		}
		r.send(now, ws, s, min(count, MaxTokensPerRequest))
		return
	}
}

func (r *Requester) send(now time.Time, ws *workspaceState, s gage.ShareSlot, count int) {
	r.lastRequestID++
	r.pending[r.lastRequestID] = &pendingRequest{workspace: ws, slot: s.Slot, count: count, sentAt: now}
	ws.holders[s.Slot].pendingID = r.lastRequestID
	r.effects.Requests = append(r.effects.Requests, OutgoingTake{
		ID:      r.lastRequestID,
		Local:   s.Holder == r.selfProcess(),
		Address: s.PeerAddress,
		Request: TakeRequest{Slot: s.Slot, Workspace: ws.workspace.Name, Count: count},
		Timeout: ws.limits.GrantTTL,
	})
}

func (r *Requester) selfProcess() gage.Process {
	return gage.Process{VM: r.self.VM, StartedAt: r.self.StartedAt}
}

// preferredSlots returns the slots over which the workspace's limits are
// divided and whose holders can be reached. The slots held by this process come
// first, then those held in this zone, then the others. Each of these groups is in
// order of Slot.
func (r *Requester) preferredSlots(ws *workspaceState) []gage.ShareSlot {
	var groups [3][]gage.ShareSlot
	slots := r.shares.Slots(gage.ShardOf(ws.workspace.Name))
	for _, s := range slots {
		isLocal := s.Holder == r.selfProcess()
		if slotPosition(ws.workspace.Name, s.Slot) >= ws.limits.Slots || s.PeerAddress == "" && !isLocal {
			continue
		}
		group := 2
		if isLocal {
			group = 0
		} else if s.Zone == r.self.Zone {
			group = 1
		}
		groups[group] = append(groups[group], s)
	}
	return append(append(groups[0], groups[1]...), groups[2]...)
}

// refusal returns the refusal for calls that no slot can serve now. If some slots
// are known to be empty, the reason is OverRate, with the time until the first of
// them is expected to have a token. Otherwise the reason is QuotaUnavailable.
func (r *Requester) refusal(now time.Time, ws *workspaceState) gage.Grant {
	retryAfter := time.Duration(math.MaxInt64)
	for _, holder := range ws.holders {
		if now.Before(holder.emptyUntil) {
			retryAfter = min(retryAfter, holder.emptyUntil.Sub(now))
		}
	}
	if retryAfter == math.MaxInt64 {
		return gage.Grant{Reason: gage.ReasonQuotaUnavailable, RetryAfter: UnavailableRetryAfter}
	}
	return gage.Grant{Reason: gage.ReasonOverRate, RetryAfter: retryAfter}
}
