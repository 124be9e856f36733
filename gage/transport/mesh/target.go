package mesh

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/slots"
	"github.com/greengagewind/greengagewind/gage/transport/hop"
)

const (
	targetDialTimeout = 400 * time.Millisecond
	// targetIdleTimeout is the maximum time that a connection to the target
	// stays idle in the pool. A shorter Keep-Alive timeout of the target takes
	// precedence.
	targetIdleTimeout  = 5 * time.Second
	targetMaxIdleConns = 512
	// slotUtilization is the share of a target's slots that is used. Targets slow
	// down when nearly all of their slots are in use.
	slotUtilization = 0.94
	// defaultLimit is the concurrency limit until the target has reported its
	// number of slots.
	defaultLimit = 16
	// Bounds.ColdOverage lets a cold target receive more requests than its cold
	// rate. The gate uses only coldOverageShare of this excess.
	coldOverageShare = 0.4
	// minTokenWait bounds how often the gate is advanced for requests that wait for a
	// token.
	minTokenWait = time.Millisecond
	// rateLimitHold is how long the target's rate limit applies after the last response
	// that named it. Responses overtake each other, so that one without the limit may be
	// older.
	rateLimitHold = 500 * time.Millisecond
)

// localTarget tracks the target on this VM and admits requests to it.
type localTarget struct {
	mesh   *Mesh
	client *hop.Client
	// checkClient sends the identity checks. Their responses need not echo the
	// request ID.
	checkClient *hop.Client

	mu        sync.Mutex
	gate      *slots.Gate
	id        string
	startedAt int64
	sequence  int64
	// service is the service of the present target process. It is "" while no source
	// that can know it has named it: a health check names an ID only.
	service string
	phase   gage.TargetPhase
	// hasReported is true if the present target process has sent a heartbeat.
	hasReported bool
	// phaseKnown is true if the target process has not told an earlier process of this
	// node that it leaves, as far as it answers health checks truthfully.
	phaseKnown bool
	// departed holds target processes that have said that they are gone, by ID.
	departed map[string]departure
	// identityConfirmed is true if the target's identity is known since this node
	// started, since the target was last marked suspect, and since its zone last
	// returned to service. It implies phaseKnown. While it is false, requests are refused.
	identityConfirmed bool
	// createdAt is when this node started.
	createdAt time.Time
	// reopenedAt is when the zone returned to service, zero once the target's state since
	// then is known.
	reopenedAt time.Time
	// doubtedAt is when the identity was last in doubt. The answer to an earlier check does
	// not confirm it.
	doubtedAt time.Time
	// coldUntil is when the cold start of the present target process ends, as was learned
	// at coldLearnedAt.
	coldUntil, coldLearnedAt time.Time
	// zoneClosed is true while the zone of this VM is out of service.
	zoneClosed bool
	// saidLeaving is true if a response of the present target process has said that it
	// leaves. Heartbeats that say otherwise may be older than the response.
	saidLeaving bool
	// rateLimitedAt is when a response last named the target's rate limit.
	rateLimitedAt time.Time
	// hasAnswered is true if the present target process has answered a request since
	// this node started. Until then its rate limit is known from other nodes only.
	hasAnswered bool
	// adoptedAt is when this node learned of the present target process. Responses to
	// requests that were admitted before may be of an earlier one.
	adoptedAt time.Time
	// reportedConcurrency is the concurrency that other nodes are told while the rate is
	// limited.
	reportedConcurrency int
	// isTokenTimerSet is true while a timer is to advance the gate.
	isTokenTimerSet bool
	// progressAt is when the target last sent a response, or when a request was
	// last submitted while none was in flight.
	progressAt time.Time
	// wake makes monitor run before its next tick.
	wake chan struct{}
}

func newLocalTarget(m *Mesh) *localTarget {
	now := m.options.Clock.Now()
	t := &localTarget{
		mesh:      m,
		gate:      slots.New(now, defaultLimit),
		service:   m.options.Self.Service,
		phase:     gage.TargetServing,
		departed:  make(map[string]departure),
		createdAt: now,
		wake:      make(chan struct{}, 1),
	}
	t.client = hop.New(hop.Options{
		DialTimeout: targetDialTimeout,
		IdleTimeout: targetIdleTimeout,
		MaxIdle:     targetMaxIdleConns, MaxIdleTotal: m.options.MaxIdleConns,
		IDHeader: m.options.HeaderNames.RequestID,
	})
	t.checkClient = hop.New(hop.Options{DialTimeout: targetDialTimeout})
	t.client.Dialed = m.stats.targetDials.Inc
	return t
}

// adoptIdentity resets the state if id and startedAt are those of a new target
// process. If the ID has changed, it refuses the waiting requests, which were
// meant for the earlier process.
func (t *localTarget) adoptIdentity(now time.Time, id string, startedAt int64) {
	if id == t.id && (startedAt == t.startedAt || t.startedAt == 0) {
		t.startedAt = max(startedAt, t.startedAt)
		return
	}
	if id != t.id {
		limit := t.gate.Limit
		t.gate.RefuseAll(now, gage.ReasonOtherTarget)
		t.gate = slots.New(now, limit)
		t.coldUntil, t.coldLearnedAt = time.Time{}, time.Time{}
		t.client.Drop(t.mesh.options.Self.TargetAddress)
	}
	t.gate.SetRate(now, math.Inf(1))
	// A process that follows one which this node knew has not met an earlier node.
	t.phaseKnown = t.phaseKnown && t.startedAt != 0 && startedAt > t.startedAt
	t.id, t.sequence, t.phase, t.hasReported, t.saidLeaving, t.hasAnswered = id, 0, gage.TargetServing, false, false, false
	t.startedAt = max(startedAt, t.startedAt)
	t.progressAt, t.adoptedAt = now, now
}

func (t *localTarget) setPhase(now time.Time, phase gage.TargetPhase) {
	t.phase = phase
	if phase != gage.TargetServing {
		t.gate.RefuseAll(now, gage.ReasonDraining)
	}
}

// handleServiceChange applies a changed service of the settings. The present process was
// started as one of the earlier service, and may have ended.
func (t *localTarget) handleServiceChange(now time.Time, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.id == "":
		t.service = service
	case t.service == service:
		return
	case !t.hasReported:
		t.service = ""
	}
	t.doubt(now)
}

// doubt refuses all requests to the target until its identity has been confirmed. The
// caller must hold mu.
func (t *localTarget) doubt(now time.Time) {
	t.identityConfirmed, t.doubtedAt = false, now
	t.gate.RefuseAll(now, gage.ReasonTargetSuspect)
	t.client.Drop(t.mesh.options.Self.TargetAddress)
	t.wakeMonitor()
	t.mesh.broadcastSoon()
}

// applyConfig applies the configuration that was just stored in mesh.site.
func (t *localTarget) applyConfig(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateColdRate()
	t.gate.Advance(now)
	t.wakeMonitor()
}

// updateColdRate sets the cold rate of the gate to that of the configuration
// plus coldOverageShare of the overage that the bounds allow.
func (t *localTarget) updateColdRate() {
	s := t.mesh.site.Load()
	if s == nil {
		return
	}
	service := s.Service(t.service)
	if service == nil || service.ColdRate <= 0 {
		t.gate.ColdRate = 0
		return
	}
	t.gate.ColdRate = service.ColdRate * (1 + (t.mesh.bounds.Load().ColdOverage-1)*coldOverageShare)
}

// setClosedZones takes the target out of service if its zone is among zones, and
// returns it to service otherwise. A target that returns may be cold, so its
// state is checked before it gets requests.
func (t *localTarget) setClosedZones(now time.Time, zones []string) {
	isClosed := false
	for _, zone := range zones {
		isClosed = isClosed || zone == t.mesh.options.Self.Zone
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if isClosed == t.zoneClosed {
		return
	}
	t.zoneClosed = isClosed
	t.mesh.options.Logger.Info("ZoneChanged", zap.Bool("Closed", isClosed))
	if isClosed {
		t.gate.RefuseAll(now, gage.ReasonZoneClosed)
		return
	}
	t.identityConfirmed, t.reopenedAt, t.doubtedAt = false, now, now
	t.wakeMonitor()
}

func (t *localTarget) wakeMonitor() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// state returns the state of the target that other nodes receive. It is empty
// while the target is out of service or suspect.
func (t *localTarget) state(now time.Time) gage.TargetState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stateLocked(now)
}

// stateLocked implements state. The caller must hold mu.
func (t *localTarget) stateLocked(now time.Time) gage.TargetState {
	if !t.identityConfirmed || t.id == "" || t.service == "" || t.zoneClosed {
		return gage.TargetState{}
	}
	return gage.TargetState{
		ID:            t.id,
		Service:       t.service,
		Phase:         t.phase,
		ColdRemaining: t.gate.ColdRemaining(now),
		ColdRate:      t.gate.ColdRate,
		Limit:         t.concurrency(),
		StartedAt:     t.startedAt,
		InFlight:      t.gate.InFlight(),
		Queued:        t.gate.Waiting(),
		Pressure:      t.gate.Pressure(now),
		MakesCalls:    t.mesh.calls.makesCalls(now),
	}
}

// concurrencyStep is the smallest relative change of the concurrency of a target with a
// rate limit that other nodes are told. Every change makes nodes send the whole state.
const concurrencyStep = 0.25

// concurrency returns how many requests the target is expected to run at a time when all
// its capacity is used. The caller must hold mu.
func (t *localTarget) concurrency() int {
	c := t.gate.Concurrency()
	change := math.Abs(float64(c - t.reportedConcurrency))
	if !t.gate.RateLimited() || change > concurrencyStep*float64(t.reportedConcurrency) {
		t.reportedConcurrency = c
	}
	return t.reportedConcurrency
}

// markSuspect refuses all requests to the target until an identity check or a
// heartbeat has confirmed its identity. It does nothing if gate belongs to an
// earlier target process.
func (t *localTarget) markSuspect(now time.Time, gate *slots.Gate, cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.identityConfirmed || gate != t.gate {
		return
	}
	t.mesh.options.Logger.Warn("TargetInDoubt", zap.String("Target", t.id), zap.Error(cause),
		zap.Duration("SinceAnswer", now.Sub(t.progressAt)))
	t.doubt(now)
}

// admit waits until a request may run at the target. It returns the gate and the
// ticket to pass to finish, or the reason for which the request is refused.
func (t *localTarget) admit(ctx context.Context, now time.Time, w *targetRequest) (*slots.Gate, *slots.Ticket, gage.Reason) {
	t.mu.Lock()
	if reason := t.refusalReason(w); reason != gage.ReasonNone {
		t.mu.Unlock()
		return nil, nil, reason
	}
	gate := t.gate
	if gate.InFlight() == 0 {
		t.progressAt = now
	}
	if !t.hasAnswered && !gate.RateLimited() && !w.isLocal {
		t.setRate(now, w.knownRateLimit)
	}
	ticket := gate.Submit(now, slots.Request{Nested: w.isNested, Rank: w.rank, WaitUntil: w.waitUntil, ChainDeadline: w.chainDeadline})
	t.advanceAtNextToken(now)
	t.mu.Unlock()
	t.waitForDecision(ctx, gate, ticket)
	if ticket.RefusalReason != gage.ReasonNone {
		return nil, nil, ticket.RefusalReason
	}
	return gate, ticket, gage.ReasonNone
}

func (t *localTarget) refusalReason(w *targetRequest) gage.Reason {
	switch {
	case t.zoneClosed:
		return gage.ReasonZoneClosed
	case !t.identityConfirmed:
		return gage.ReasonTargetSuspect
	case t.id != w.expectedTarget, w.service != "" && w.service != t.service:
		return gage.ReasonOtherTarget
	case t.phase != gage.TargetServing:
		return gage.ReasonDraining
	case t.mesh.leaving.Load() && !w.isLocal:
		return gage.ReasonStopping
	}
	return gage.ReasonNone
}

// waitForDecision returns when the ticket is granted or refused. It refuses the
// ticket itself at the ticket's WaitUntil and when ctx ends.
func (t *localTarget) waitForDecision(ctx context.Context, gate *slots.Gate, ticket *slots.Ticket) {
	select {
	case <-ticket.Decided:
		return
	default:
	}
	waitTimer := time.NewTimer(max(ticket.WaitUntil.Sub(t.mesh.options.Clock.Now()), 0))
	defer waitTimer.Stop()
	reason := gage.ReasonOverload
	select {
	case <-ticket.Decided:
		return
	case <-waitTimer.C:
	case <-ctx.Done():
		reason = gage.ReasonDeadline
		if errors.Is(ctx.Err(), context.Canceled) {
			reason = gage.ReasonCanceled
		}
	}
	t.mu.Lock()
	gate.Withdraw(t.mesh.options.Clock.Now(), ticket, reason)
	t.mu.Unlock()
	<-ticket.Decided
}

// advanceAtNextToken sets a timer that advances the gate when a waiting request gets a
// token, unless there is one. The caller must hold mu.
func (t *localTarget) advanceAtNextToken(now time.Time) {
	wait, waits := t.gate.NextToken(now)
	if !waits || t.isTokenTimerSet {
		return
	}
	t.isTokenTimerSet = true
	time.AfterFunc(max(wait, minTokenWait), func() {
		now := t.mesh.options.Clock.Now()
		t.mu.Lock()
		defer t.mu.Unlock()
		t.isTokenTimerSet = false
		t.gate.Advance(now)
		t.advanceAtNextToken(now)
	})
}

// cancel ends a request that was admitted and has not been sent to the target.
func (t *localTarget) cancel(now time.Time, gate *slots.Gate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	gate.Cancel(now)
	t.advanceAtNextToken(now)
}

// finish ends a request that was admitted. Answered is true if the target sent a
// response.
func (t *localTarget) finish(now time.Time, gate *slots.Gate, ticket *slots.Ticket, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	gate.Done(now, ticket)
	t.advanceAtNextToken(now)
	if answered {
		t.progressAt = now
	}
}
