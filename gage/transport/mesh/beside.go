package mesh

import (
	"context"
	"errors"
	"fmt"
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
	// targetIdleTimeout is how long a connection is kept when the target does
	// not say how long it keeps it.
	targetIdleTimeout = 5 * time.Second
	targetMaxIdle     = 512
	// slotsUse is the part of a target's slots that is filled; targets slow
	// down when they are nearly full.
	slotsUse = 0.94
	// unknownSlots is the concurrency at a target that has not told its slots.
	unknownSlots = 16
	// checkEvery is how often a target in doubt is asked for its identity.
	checkEvery   = 250 * time.Millisecond
	checkTimeout = 600 * time.Millisecond
	// stallTime is how long a target with work may answer nothing before its
	// identity is in doubt.
	stallTime = 1200 * time.Millisecond
	// coldUse is the part of what the bounds allow a cold target beyond its
	// rate that is used.
	coldUse = 0.4
	// coldTick is how often a request that waits for a cold target looks
	// whether it may run.
	coldTick = 5 * time.Millisecond
)

// Report is the state that a target reports about itself.
type Report struct {
	// ID usually identifies one process of the target. Processes with the same
	// ID differ in StartedAt.
	ID string
	// StartedAt is the Unix time in milliseconds at which the target process
	// started, 0 if it was not reported.
	StartedAt int64
	// Sequence grows with each report of one process.
	Sequence int64
	Service  string
	Slots    int
	Phase    gage.TargetPhase
	// Cold is how long the target stays cold, from the time of the report.
	Cold time.Duration
}

// beside looks after the target on this VM.
type beside struct {
	mesh   *Mesh
	client *hop.Client
	// checks asks for the target's identity; those answers need not echo the
	// identity of a request.
	checks *hop.Client

	mu       sync.Mutex
	gate     *slots.Gate
	id       string
	born     int64
	sequence int64
	service  string
	phase    gage.TargetPhase
	// sure tells that the identity is known from the target itself, since this
	// node started and since it last was in doubt.
	sure   bool
	closed bool
	// answered is when the target last answered, or last began to have work.
	answered time.Time
	wake     chan struct{}
}

func newBeside(m *Mesh) *beside {
	b := &beside{
		mesh:    m,
		gate:    slots.New(m.options.Clock.Now(), unknownSlots),
		service: m.options.Self.Service,
		phase:   gage.TargetServing,
		wake:    make(chan struct{}, 1),
	}
	b.client = hop.New(hop.Options{
		DialTimeout: targetDialTimeout,
		IdleTimeout: targetIdleTimeout,
		MaxIdle:     targetMaxIdle,
		IDHeader:    m.options.HeaderNames.RequestID,
	})
	b.checks = hop.New(hop.Options{DialTimeout: targetDialTimeout})
	b.client.Dialed = m.stats.targetDials.Inc
	return b
}

// Announce takes in a report of the target on this VM.
func (m *Mesh) Announce(now time.Time, r Report) {
	b := m.beside
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.late(r) {
		m.log.info("ReportIgnored", zap.String("Target", r.ID), zap.Int64("Born", r.StartedAt), zap.Int64("Sequence", r.Sequence),
			zap.String("Known", b.id), zap.Int64("KnownBorn", b.born), zap.Int64("KnownSequence", b.sequence))
		return
	}
	before := b.describe(now)
	b.adopt(now, r.ID, r.StartedAt)
	b.sequence, b.service, b.sure = r.Sequence, r.Service, true
	b.setPhase(now, r.Phase)
	if r.Slots > 0 {
		b.gate.Limit = max(1, int(float64(r.Slots)*slotsUse))
	}
	b.setColdRate()
	b.gate.SetCold(now, now.Add(r.Cold))
	b.gate.Advance(now)
	after := b.describe(now)
	if before.ID != after.ID || before.Phase != after.Phase || before.Service != after.Service || (before.Cold > 0) != (after.Cold > 0) {
		m.options.Logger.Info("TargetChanged", zap.String("Target", r.ID), zap.String("Service", r.Service), zap.String("Phase", string(r.Phase)),
			zap.Duration("Cold", r.Cold), zap.Int("Slots", r.Slots), zap.Int64("Born", r.StartedAt), zap.Int64("Sequence", r.Sequence))
		m.tellSoon()
	}
}

// late reports whether a report is older than what is known.
func (b *beside) late(r Report) bool {
	if r.StartedAt != b.born {
		return r.StartedAt < b.born
	}
	if r.ID != b.id {
		return b.id != "" && b.born != 0
	}
	return r.Sequence <= b.sequence || b.phase == gage.TargetGone
}

// Depart takes in that the target says it is leaving for good.
func (m *Mesh) Depart(now time.Time, id string, born int64) {
	b := m.beside
	b.mu.Lock()
	defer b.mu.Unlock()
	if id != b.id || (born != 0 && born < b.born) {
		return
	}
	b.setPhase(now, gage.TargetGone)
	m.options.Logger.Info("TargetChanged", zap.String("Target", id), zap.String("Phase", string(gage.TargetGone)))
	m.tellSoon()
}

// adopt begins a new lifetime of the target when it is one.
func (b *beside) adopt(now time.Time, id string, born int64) {
	if id == b.id && (born == b.born || b.born == 0) {
		b.born = max(born, b.born)
		return
	}
	if id != b.id {
		limit := b.gate.Limit
		b.gate.RefuseAll(now, gage.ReasonOtherTarget)
		b.gate = slots.New(now, limit)
		b.client.Drop(b.mesh.options.Self.TargetAddress)
	}
	b.id, b.sequence, b.phase = id, 0, gage.TargetServing
	b.born = max(born, b.born)
	b.answered = now
}

func (b *beside) setPhase(now time.Time, phase gage.TargetPhase) {
	b.phase = phase
	if phase != gage.TargetServing {
		b.gate.RefuseAll(now, gage.ReasonDraining)
	}
}

// configure puts a configuration in force.
func (b *beside) configure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setColdRate()
	b.gate.Advance(now)
	b.nudge()
}

// setColdRate takes the cold rate from the configuration, with a part of what
// the bounds allow beyond it.
func (b *beside) setColdRate() {
	s := b.mesh.site.Load()
	if s == nil {
		return
	}
	service := s.Service(b.service)
	if service == nil || service.ColdRate <= 0 {
		b.gate.ColdRate = 0
		return
	}
	b.gate.ColdRate = service.ColdRate * (1 + (b.mesh.bounds.Load().ColdOverage-1)*coldUse)
}

// setClosed takes the target out of service with its zone, or back. After its
// return the target may be cold, so it is asked first.
func (b *beside) setClosed(now time.Time, zones []string) {
	closed := false
	for _, zone := range zones {
		closed = closed || zone == b.mesh.options.Self.Zone
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if closed == b.closed {
		return
	}
	b.closed = closed
	b.mesh.options.Logger.Info("ZoneChanged", zap.Bool("Closed", closed))
	if closed {
		b.gate.RefuseAll(now, gage.ReasonZoneClosed)
		return
	}
	b.sure = false
	b.nudge()
}

func (b *beside) nudge() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// state describes the target to other nodes.
func (b *beside) state(now time.Time) gage.TargetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.describe(now)
}

func (b *beside) describe(now time.Time) gage.TargetState {
	if !b.sure || b.id == "" || b.closed {
		return gage.TargetState{}
	}
	return gage.TargetState{
		ID:       b.id,
		Service:  b.service,
		Phase:    b.phase,
		Cold:     b.gate.ColdRemaining(now),
		ColdRate: b.gate.ColdRate,
		Limit:    b.gate.Limit,
		InFlight: b.gate.InFlight(),
		Queued:   b.gate.Waiting(),
		Pressure: b.gate.Pressure(now),
		Calls:    b.mesh.sheds.calls(now),
	}
}

// doubt stops work for the target until it has said who it is.
func (b *beside) doubt(now time.Time, gate *slots.Gate, cause error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.sure || gate != b.gate {
		return
	}
	b.sure = false
	b.gate.RefuseAll(now, gage.ReasonTargetSuspect)
	b.client.Drop(b.mesh.options.Self.TargetAddress)
	b.mesh.options.Logger.Warn("TargetInDoubt", zap.String("Target", b.id), zap.Error(cause),
		zap.Duration("SinceAnswer", now.Sub(b.answered)))
	b.nudge()
	b.mesh.tellSoon()
}

// watch asks a target in doubt for its identity.
func (b *beside) watch(ctx context.Context) {
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-b.wake:
		}
		now := b.mesh.options.Clock.Now()
		b.checkStall(now)
		if path, due := b.checkDue(); due {
			b.check(ctx, now, path)
		}
	}
}

var errStalled = errors.New("the target has work and answers nothing")

func (b *beside) checkStall(now time.Time) {
	b.mu.Lock()
	stalled := b.sure && b.gate.InFlight() > 0 && now.Sub(b.answered) > max(stallTime, 3*b.gate.MeanRunTime())
	gate := b.gate
	b.mu.Unlock()
	if stalled {
		b.doubt(now, gate, errStalled)
	}
}

func (b *beside) checkDue() (path string, due bool) {
	s := b.mesh.site.Load()
	b.mu.Lock()
	defer b.mu.Unlock()
	if s == nil || b.sure || b.closed || b.phase != gage.TargetServing || b.mesh.leaving.Load() {
		return "", false
	}
	service := s.Service(b.service)
	if service == nil || service.HealthPath == "" {
		return "", false
	}
	return service.HealthPath, true
}

// check asks the target who it is. Only the identity counts: what the health
// answer says of health may be false.
func (b *beside) check(ctx context.Context, now time.Time, path string) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	names := b.mesh.options.HeaderNames
	id := fmt.Sprintf("%016x", uint64(now.UnixNano()))
	answer, err := b.checks.Do(ctx, now, b.mesh.options.Self.TargetAddress, &hop.Request{
		Method: http.MethodGet, Target: path, Host: b.mesh.options.Self.TargetAddress,
		Header: http.Header{names.RequestID: {id}, "Connection": {"close"}},
	})
	b.mesh.stats.checks.Inc()
	if err != nil {
		b.mesh.log.info("TargetNotChecked", zap.Error(err))
		return
	}
	defer func() { _ = answer.Body.Close() }()
	targetID := answer.Header.Get(names.TargetID)
	if targetID == "" {
		b.mesh.log.info("TargetNotChecked", zap.Int("Status", answer.Status))
		return
	}
	b.checked(b.mesh.options.Clock.Now(), targetID, answer.Header.Get(names.ColdMillis))
}

func (b *beside) checked(now time.Time, id, coldMillis string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sure {
		return
	}
	cold, err := strconv.ParseFloat(coldMillis, 64)
	if coldMillis != "" && err != nil {
		b.mesh.log.warn("ColdTimeNotRead", zap.String("Value", coldMillis), zap.Error(err))
	}
	b.adopt(now, id, b.born)
	b.sure, b.answered = true, now
	b.setColdRate()
	b.gate.SetCold(now, now.Add(time.Duration(cold*float64(time.Millisecond))))
	b.mesh.options.Logger.Info("TargetChecked", zap.String("Target", id), zap.Float64("ColdMillis", cold))
	b.mesh.tellSoon()
}

// admit waits until a request may run at the target.
func (b *beside) admit(ctx context.Context, now time.Time, w *work) (*slots.Gate, *slots.Ticket, gage.Reason) {
	b.mu.Lock()
	if reason := b.refuses(w); reason != gage.ReasonNone {
		b.mu.Unlock()
		return nil, nil, reason
	}
	gate := b.gate
	if gate.InFlight() == 0 {
		b.answered = now
	}
	ticket := gate.Submit(now, slots.Request{Nested: w.nested, Rank: w.rank, WaitUntil: w.until, ChainDeadline: w.ends})
	cold := gate.Cold(now)
	b.mu.Unlock()
	b.wait(ctx, gate, ticket, cold)
	if ticket.RefusalReason != gage.ReasonNone {
		return nil, nil, ticket.RefusalReason
	}
	return gate, ticket, gage.ReasonNone
}

func (b *beside) refuses(w *work) gage.Reason {
	switch {
	case b.closed:
		return gage.ReasonZoneClosed
	case !b.sure:
		return gage.ReasonTargetSuspect
	case b.id != w.expected:
		return gage.ReasonOtherTarget
	case b.phase != gage.TargetServing:
		return gage.ReasonDraining
	case b.mesh.leaving.Load() && !w.local:
		return gage.ReasonStopping
	}
	return gage.ReasonNone
}

// wait returns when a ticket is granted or refused.
func (b *beside) wait(ctx context.Context, gate *slots.Gate, ticket *slots.Ticket, cold bool) {
	select {
	case <-ticket.Decided:
		return
	default:
	}
	until := time.NewTimer(max(ticket.WaitUntil.Sub(b.mesh.options.Clock.Now()), 0))
	defer until.Stop()
	var tick <-chan time.Time
	if cold {
		ticker := time.NewTicker(coldTick)
		defer ticker.Stop()
		tick = ticker.C
	}
	for {
		reason := gage.ReasonNone
		select {
		case <-ticket.Decided:
			return
		case <-tick:
			b.mu.Lock()
			gate.Advance(b.mesh.options.Clock.Now())
			b.mu.Unlock()
			continue
		case <-until.C:
			reason = gage.ReasonOverload
		case <-ctx.Done():
			reason = gage.ReasonDeadline
			if errors.Is(ctx.Err(), context.Canceled) {
				reason = gage.ReasonCanceled
			}
		}
		b.mu.Lock()
		gate.Withdraw(b.mesh.options.Clock.Now(), ticket, reason)
		b.mu.Unlock()
		<-ticket.Decided
		return
	}
}

// done ends a request that was admitted.
func (b *beside) done(now time.Time, gate *slots.Gate, ticket *slots.Ticket, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	gate.Done(now, ticket)
	if answered {
		b.answered = now
	}
}
