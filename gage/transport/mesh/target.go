package mesh

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/http"
	"strconv"
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
	// checkInterval is the time between identity checks of a suspect target.
	checkInterval = 250 * time.Millisecond
	checkTimeout  = 600 * time.Millisecond
	// stallTimeout is how long a target with requests in flight may send no
	// response before it becomes suspect. The time is longer for a target whose
	// requests usually run long.
	stallTimeout = 1200 * time.Millisecond
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
	// maxHeartbeatDelay is the time within which a heartbeat arrives. What it says may be
	// that old.
	maxHeartbeatDelay = 10 * time.Second
	// A node remembers rememberDeparted, and at most maxDeparted, target processes that
	// have said that they are gone.
	rememberDeparted = 10 * time.Minute
	maxDeparted      = 64
	// maxCold is the longest cold time that a target can name.
	maxCold = time.Hour
)

// Heartbeat is the state that a target reports about itself.
type Heartbeat struct {
	// ID usually identifies one process of the target. Processes with the same
	// ID differ in StartedAt.
	ID string
	// StartedAt is the Unix time in milliseconds at which the target process
	// started, 0 if the heartbeat does not state it.
	StartedAt int64
	// Sequence grows with each heartbeat of one process.
	Sequence int64
	Service  string
	Slots    int
	Phase    gage.TargetPhase
	// Cold is how long the target stays cold, from the time of the heartbeat.
	Cold time.Duration
}

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
	// identityConfirmed is true if the target has reported its identity since
	// this node started, since the target was last marked suspect, and since its
	// zone last returned to service. While it is false, requests are refused.
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

// departure is what a target process said when it was gone.
type departure struct {
	// startedAt is the Unix time in milliseconds that the process did not start after.
	startedAt int64
	heardAt   time.Time
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
		MaxIdle:     targetMaxIdleConns,
		IDHeader:    m.options.HeaderNames.RequestID,
	})
	t.checkClient = hop.New(hop.Options{DialTimeout: targetDialTimeout})
	t.client.Dialed = m.stats.targetDials.Inc
	return t
}

// HandleHeartbeat applies a heartbeat of the target on this VM. An outdated
// heartbeat is ignored.
func (m *Mesh) HandleHeartbeat(now time.Time, r Heartbeat) {
	t := m.localTarget
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isStale(r) {
		m.log.info("ReportIgnored", zap.String("Target", r.ID), zap.Int64("Born", r.StartedAt), zap.Int64("Sequence", r.Sequence),
			zap.String("Known", t.id), zap.Int64("KnownBorn", t.startedAt), zap.Int64("KnownSequence", t.sequence))
		return
	}
	stateBefore := t.stateLocked(now)
	t.adoptIdentity(now, r.ID, r.StartedAt)
	t.sequence, t.service, t.hasReported = r.Sequence, r.Service, true
	t.phaseKnown = t.phaseKnown || r.Phase != gage.TargetServing || t.sentSince(now, t.createdAt)
	if t.sentSince(now, t.reopenedAt) {
		t.reopenedAt = time.Time{}
	}
	t.identityConfirmed = t.phaseKnown && t.reopenedAt.IsZero()
	if !t.identityConfirmed {
		t.wakeMonitor()
	}
	if !t.saidLeaving || r.Phase != gage.TargetServing {
		t.setPhase(now, r.Phase)
	}
	if r.Slots > 0 {
		t.gate.Limit = max(1, int(float64(r.Slots)*slotUtilization))
	}
	t.updateColdRate()
	if until := now.Add(r.Cold); until.After(t.coldUntil) || t.sentSince(now, t.coldLearnedAt) {
		t.setCold(now, until)
	}
	t.gate.Advance(now)
	stateAfter := t.stateLocked(now)
	if stateBefore.ID != stateAfter.ID || stateBefore.Phase != stateAfter.Phase || stateBefore.Service != stateAfter.Service || (stateBefore.ColdRemaining > 0) != (stateAfter.ColdRemaining > 0) {
		m.options.Logger.Info("TargetChanged", zap.String("Target", r.ID), zap.String("Service", r.Service), zap.String("Phase", string(r.Phase)),
			zap.Duration("Cold", r.Cold), zap.Int("Slots", r.Slots), zap.Int64("Born", r.StartedAt), zap.Int64("Sequence", r.Sequence))
		m.broadcastSoon()
	}
}

// setCold records when the cold start of the target ends.
func (t *localTarget) setCold(now, until time.Time) {
	t.coldUntil, t.coldLearnedAt = until, now
	t.gate.SetCold(now, until)
}

// sentSince reports whether a heartbeat that arrives now was certainly sent after a time.
func (t *localTarget) sentSince(now, earlier time.Time) bool {
	return now.Sub(earlier) > maxHeartbeatDelay
}

// isStale reports whether a heartbeat is older than the known state.
func (t *localTarget) isStale(r Heartbeat) bool {
	if d, found := t.departed[r.ID]; found && r.StartedAt <= d.startedAt {
		return true
	}
	if r.StartedAt != t.startedAt {
		return r.StartedAt < t.startedAt
	}
	if r.ID != t.id {
		return t.id != "" && t.startedAt != 0
	}
	return r.Sequence <= t.sequence || t.phase == gage.TargetGone
}

// Depart marks the target process with the given ID as permanently gone. startedAt
// is the Unix time in milliseconds at which that process started, or 0 if unknown.
// If another target process is known, or if a known startedAt is before the start of the
// current process, the current process stays in service.
func (m *Mesh) Depart(now time.Time, id string, startedAt int64) {
	t := m.localTarget
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rememberDeparture(now, id, startedAt)
	if t.id == "" {
		// This node has restarted. A later process of the target starts after now.
		t.adoptIdentity(now, id, max(startedAt, now.UnixMilli()))
	}
	if id != t.id || (startedAt != 0 && startedAt < t.startedAt && t.hasReported) {
		return
	}
	t.setPhase(now, gage.TargetGone)
	m.options.Logger.Info("TargetChanged", zap.String("Target", id), zap.String("Phase", string(gage.TargetGone)))
	m.broadcastSoon()
}

// rememberDeparture keeps heartbeats of a process that is gone, and that arrive late, from
// bringing it back.
func (t *localTarget) rememberDeparture(now time.Time, id string, startedAt int64) {
	maps.DeleteFunc(t.departed, func(_ string, d departure) bool { return now.Sub(d.heardAt) > rememberDeparted })
	if startedAt == 0 {
		startedAt = now.UnixMilli()
		if id == t.id && t.startedAt != 0 {
			startedAt = t.startedAt
		}
	}
	if _, found := t.departed[id]; found || len(t.departed) < maxDeparted {
		t.departed[id] = departure{startedAt: max(startedAt, t.departed[id].startedAt), heardAt: now}
	}
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

// monitor detects stalls and checks the identity of a suspect target until ctx
// ends.
func (t *localTarget) monitor(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-t.wake:
		}
		now := t.mesh.options.Clock.Now()
		t.checkStall(now)
		if check, due := t.checkDue(now); due {
			t.checkIdentity(ctx, check)
		}
	}
}

var errStalled = errors.New("the target has requests in flight but sends no responses")

func (t *localTarget) checkStall(now time.Time) {
	t.mu.Lock()
	stalled := t.identityConfirmed && t.gate.InFlight() > 0 && now.Sub(t.progressAt) > max(stallTimeout, 3*t.gate.MeanRunTime())
	gate := t.gate
	t.mu.Unlock()
	if stalled {
		t.markSuspect(now, gate, errStalled)
	}
}

// identityCheck is a health check that asks a target process for its identity.
type identityCheck struct {
	path string
	// id is the ID of the process that is expected to answer, "" if none is known.
	id      string
	askedAt time.Time
}

func (t *localTarget) checkDue(now time.Time) (check identityCheck, due bool) {
	s := t.mesh.site.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	if s == nil || t.identityConfirmed || t.zoneClosed || t.phase != gage.TargetServing || t.mesh.leaving.Load() {
		return identityCheck{}, false
	}
	service := s.Service(t.service)
	if service == nil || service.HealthPath == "" {
		return identityCheck{}, false
	}
	return identityCheck{path: service.HealthPath, id: t.id, askedAt: now}, true
}

// checkIdentity requests the target's health check path to learn its identity. The
// request names the expected process, so that the target of another service, whose health
// check path may be another, does not run it.
func (t *localTarget) checkIdentity(ctx context.Context, check identityCheck) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	names := t.mesh.options.HeaderNames
	header := http.Header{names.RequestID: {fmt.Sprintf("%016x", uint64(check.askedAt.UnixNano()))}, "Connection": {"close"}}
	if check.id != "" {
		header[names.ExpectedTarget] = []string{check.id}
	}
	response, err := t.checkClient.Do(ctx, check.askedAt, t.mesh.options.Self.TargetAddress, &hop.Request{
		Method: http.MethodGet, RequestURI: check.path, Host: t.mesh.options.Self.TargetAddress, Header: header,
	})
	t.mesh.stats.identityChecks.Inc()
	if err != nil {
		t.mesh.log.info("TargetNotChecked", zap.Error(err))
		return
	}
	defer func() { _ = response.Body.Close() }()
	targetID := response.Header.Get(names.TargetID)
	if targetID == "" && response.Status != http.StatusMisdirectedRequest {
		t.mesh.log.info("TargetNotChecked", zap.Int("Status", response.Status))
		return
	}
	t.handleIdentity(t.mesh.options.Clock.Now(), check, targetID, response.Status, response.Header)
}

// handleIdentity records the result of an identity check. The health that its status
// reports may be wrong, and is ignored for a process whose phase is known. Any other
// process may be leaving: it may have said so before this node started.
func (t *localTarget) handleIdentity(now time.Time, check identityCheck, id string, status int, header http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasReplaced := t.id != check.id && t.id != id
	if t.identityConfirmed || wasReplaced || check.askedAt.Before(t.doubtedAt) {
		return
	}
	if t.id != "" && id != t.id {
		t.handleOtherProcess(id)
		return
	}
	isHealthy := status >= 200 && status < 300
	if !isHealthy && !t.phaseKnown {
		t.mesh.log.info("TargetNotChecked", zap.String("Target", id), zap.Int("Status", status), zap.Bool("HasReported", t.hasReported))
		return
	}
	cold, isNamed, err := parseCold(header.Get(t.mesh.options.HeaderNames.ColdMillis))
	if err != nil {
		t.mesh.log.warn("TargetNotChecked", zap.String("Target", id), zap.Error(err))
		return
	}
	t.adoptIdentity(now, id, t.startedAt)
	t.readNotices(now, header)
	t.identityConfirmed, t.phaseKnown, t.progressAt, t.reopenedAt = true, true, now, time.Time{}
	t.updateColdRate()
	// A heartbeat that arrived since the question may be newer than the answer.
	if until := now.Add(cold); until.After(t.coldUntil) || isNamed && t.coldLearnedAt.Before(check.askedAt) {
		t.setCold(now, until)
	}
	t.mesh.options.Logger.Info("TargetChecked", zap.String("Target", id), zap.String("Service", t.service), zap.Duration("Cold", t.gate.ColdRemaining(now)))
	t.mesh.broadcastSoon()
}

// parseCold parses the time for which a target stays cold, in milliseconds. isNamed is
// false if the text is empty.
func parseCold(text string) (cold time.Duration, isNamed bool, err error) {
	if text == "" {
		return 0, false, nil
	}
	millis, err := strconv.ParseFloat(text, 64)
	// Written so that NaN is refused too.
	if isInRange := millis >= 0 && millis <= float64(maxCold.Milliseconds()); err != nil || !isInRange {
		return 0, false, fmt.Errorf("the cold time %.40q is not a number of milliseconds from 0 to %d", text, maxCold.Milliseconds())
	}
	return time.Duration(millis * float64(time.Millisecond)), true, nil
}

// handleOtherProcess records that another process than the known one answers at the
// target's address. It may be of another service, whose health check path this node does
// not know, so that only a heartbeat can bring the target back. id is "" if the process
// did not name its own.
func (t *localTarget) handleOtherProcess(id string) {
	t.mesh.options.Logger.Info("TargetReplaced", zap.String("Target", t.id), zap.String("Service", t.service), zap.String("Found", id))
	t.service, t.hasReported = "", false
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
