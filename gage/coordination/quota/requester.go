package quota

import (
	"slices"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

const (
	// maxWaiters bounds the calls that wait for tokens of one workspace.
	maxWaiters = 1024
	// noShareBackoff is how long a slot is skipped after a TakeNoShare reply.
	noShareBackoff = 50 * time.Millisecond
	// notHolderBackoff is how long a slot is skipped after a TakeNotHolder
	// reply.
	notHolderBackoff = 100 * time.Millisecond
	// minFailureBackoff and maxFailureBackoff bound how long a slot is skipped
	// after a request to its holder failed or timed out. The backoff doubles
	// with each failure in a row.
	minFailureBackoff = 100 * time.Millisecond
	maxFailureBackoff = time.Second
	// UnavailableRetryAfter is the RetryAfter of refused calls if there is no
	// configuration, too many calls wait or no holder can be reached.
	UnavailableRetryAfter = time.Second
)

// Requester obtains tokens for the calls that enter at this node: it requests
// them from the slots' holders and grants them to the waiting calls in order of
// arrival. It does no I/O: Drain returns the requests to send and the decisions
// to deliver. It is not safe for concurrent use.
type Requester struct {
	self   gage.Member
	shares gage.Shares
	// config is nil until a configuration is adopted.
	config *gage.Config
	// workspaces has an entry for each workspace of config, by name.
	workspaces map[string]*workspaceState
	// pending holds the requests without a reply, by ID: at most one for each
	// workspace and slot.
	pending       map[uint64]*pendingRequest
	lastRequestID uint64
	effects       Effects
}

// Effects are the actions that the caller of a Requester must perform.
type Effects struct {
	Decisions []Decision
	Requests  []OutgoingTake
}

// Decision is the result of one call to Request.
type Decision struct {
	// ID is the call's ID that was passed to Request.
	ID    uint64
	Grant gage.Grant
}

// OutgoingTake is a TakeRequest to be sent to a slot's holder.
type OutgoingTake struct {
	// ID identifies the request in HandleReply and MarkOverdue.
	ID uint64
	// Local is true if this process is the holder. Address may then be "".
	Local   bool
	Address string
	Request TakeRequest
	// Timeout is how long to wait for a reply. All tokens of a later reply
	// would have expired.
	Timeout time.Duration
}

type pendingRequest struct {
	workspace *workspaceState
	slot      int
	count     int
	sentAt    time.Time
	// isOverdue is set after HedgeDelay without a reply. Requests to other slots
	// may then be sent. A reply that still arrives is used.
	isOverdue bool
}

// workspaceState is what a Requester knows about one workspace.
type workspaceState struct {
	workspace gage.Workspace
	limits    Limits
	// waiters are the IDs of the waiting calls, oldest first.
	waiters []uint64
	// tokens holds the tokens that holders have granted and that have not been
	// granted to calls yet, in the order in which they were received.
	tokens []tokenBatch
	demand demand
	// holders is indexed by slot.
	holders [gage.MaxSlotsPerShard]holderState
}

// tokenBatch is a group of tokens that expire at the same time.
type tokenBatch struct {
	count int
	// admitBy is when the tokens expire.
	admitBy time.Time
}

// holderState is what a Requester knows about the holder of one slot with
// regard to one workspace.
type holderState struct {
	// pendingID is the ID of the pending request to this slot, or 0.
	pendingID uint64
	// emptyUntil is when the slot is next expected to have a token.
	emptyUntil time.Time
	// backoffUntil is the time before which the slot is skipped.
	backoffUntil time.Time
	// holder is the process to which backoffUntil and failureBackoff apply.
	holder gage.Process
	// failureBackoff is the backoff after the latest request if it failed, and
	// 0 otherwise.
	failureBackoff time.Duration
}

// NewRequester returns a Requester without a configuration. It refuses all
// calls until Adopt.
func NewRequester(self gage.Member, shares gage.Shares) *Requester {
	return &Requester{self: self, shares: shares, workspaces: make(map[string]*workspaceState), pending: make(map[uint64]*pendingRequest)}
}

// Drain returns the effects that accumulated since the last Drain.
func (r *Requester) Drain() Effects {
	effects := r.effects
	r.effects = Effects{}
	return effects
}

// Adopt puts a configuration in force, unless it is not newer than the current
// one. The unused tokens of a workspace whose limits changed are discarded. The
// waiting calls of a workspace that no longer exists are refused.
func (r *Requester) Adopt(config *gage.Config) {
	if r.config != nil && config.Generation <= r.config.Generation {
		return
	}
	r.config = config
	workspaces := make(map[string]*workspaceState, len(config.Workspaces))
	for _, w := range config.Workspaces {
		ws := r.workspaces[w.Name]
		if ws == nil {
			ws = &workspaceState{}
		}
		if ws.workspace.Rate != w.Rate || ws.workspace.Burst != w.Burst {
			ws.tokens = nil
		}
		ws.workspace = w
		ws.limits = LimitsOf(w)
		workspaces[w.Name] = ws
		delete(r.workspaces, w.Name)
	}
	for _, removed := range r.workspaces {
		removed.tokens = nil
		r.refuseWaiters(removed, gage.Grant{Reason: gage.ReasonUnknownKey})
	}
	r.workspaces = workspaces
}

// Request requests one token of the workspace for the call with the given ID, which
// must be unique. The Decision for the call follows immediately or after a reply
// from a holder.
func (r *Requester) Request(now time.Time, id uint64, workspace string) {
	if r.config == nil {
		r.decide(id, gage.Grant{Reason: gage.ReasonNoConfig, RetryAfter: UnavailableRetryAfter})
		return
	}
	ws := r.workspaces[workspace]
	if ws == nil {
		r.decide(id, gage.Grant{Reason: gage.ReasonUnknownKey})
		return
	}
	ws.demand.recordCall(now)
	if len(ws.waiters) >= maxWaiters {
		r.decide(id, gage.Grant{Reason: gage.ReasonQuotaUnavailable, RetryAfter: UnavailableRetryAfter})
		return
	}
	ws.waiters = append(ws.waiters, id)
	r.schedule(now, ws)
}

// Cancel removes a waiting call, so that no Decision follows for it. It does
// nothing if the call has been decided.
func (r *Requester) Cancel(id uint64, workspace string) {
	ws := r.workspaces[workspace]
	if ws == nil {
		return
	}
	if index := slices.Index(ws.waiters, id); index >= 0 {
		ws.waiters = slices.Delete(ws.waiters, index, index+1)
	}
}

// HandleReply processes the reply to an OutgoingTake. ok is false if the request
// failed or timed out.
func (r *Requester) HandleReply(now time.Time, id uint64, reply TakeReply, ok bool) {
	request := r.pending[id]
	if request == nil {
		return
	}
	delete(r.pending, id)
	holder := &request.workspace.holders[request.slot]
	if holder.pendingID == id {
		holder.pendingID = 0
	}
	holder.recordReply(now, request, reply, ok)
	if admitBy := request.sentAt.Add(reply.TTL); ok && reply.Granted > 0 && now.Before(admitBy) {
		request.workspace.tokens = append(request.workspace.tokens, tokenBatch{count: reply.Granted, admitBy: admitBy})
	}
	if r.workspaces[request.workspace.workspace.Name] == request.workspace {
		r.schedule(now, request.workspace)
	}
}

// MarkOverdue must be called HedgeDelay after an OutgoingTake was sent. If the
// request has no reply yet, requests to other slots may then be sent.
func (r *Requester) MarkOverdue(now time.Time, id uint64) {
	if request := r.pending[id]; request != nil {
		request.isOverdue = true
		r.schedule(now, request.workspace)
	}
}

func (h *holderState) recordReply(now time.Time, request *pendingRequest, reply TakeReply, ok bool) {
	if !ok {
		h.failureBackoff = min(max(2*h.failureBackoff, minFailureBackoff), maxFailureBackoff)
		h.backoffUntil = now.Add(h.failureBackoff)
		return
	}
	h.failureBackoff = 0
	switch reply.Status {
	case TakeNotHolder:
		h.backoffUntil = now.Add(notHolderBackoff)
	case TakeNoShare:
		h.backoffUntil = now.Add(noShareBackoff)
	case TakeServed:
		if reply.Granted < request.count {
			h.emptyUntil = now.Add(max(reply.RetryAfter, minRetryAfter))
		}
	default:
		h.backoffUntil = now.Add(maxFailureBackoff)
	}
}

func (r *Requester) decide(id uint64, grant gage.Grant) {
	r.effects.Decisions = append(r.effects.Decisions, Decision{ID: id, Grant: grant})
}

func (r *Requester) refuseWaiters(ws *workspaceState, grant gage.Grant) {
	for _, id := range ws.waiters {
		r.decide(id, grant)
	}
	ws.waiters = nil
}
