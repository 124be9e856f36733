// Package broker obtains tokens of the fleet-wide rates of workspaces for a node,
// and issues the part of them that is assigned to the node.
package broker

import (
	"context"
	"sync"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/ration"
)

const (
	// answerTimeout is how long the broker waits for the answer of an issuer before
	// it asks the next one. It covers a round trip between zones and some delay at
	// a busy node.
	answerTimeout = 10 * time.Millisecond
	// lateAnswerTimeout is how long the broker waits for late answers when no issuer
	// has answered in time.
	lateAnswerTimeout = 30 * time.Millisecond
	// suspicionTime is how long an issuer that did not answer is asked after the
	// others.
	suspicionTime = 300 * time.Millisecond
)

// Options holds what a Broker depends on.
type Options struct {
	// Self is the name of this node's VM.
	Self string
	// Clock tells the time after waits.
	Clock gage.Clock
	// Send sends a request to the node on a VM. It must not block, and may drop the
	// request.
	Send func(vm string, r gage.TokenRequest)
	// Random returns uniformly distributed bits. It is used by several goroutines.
	Random func() uint64
}

// Broker obtains and issues tokens. It is safe for concurrent use.
type Broker struct {
	options Options
	mu      sync.Mutex
	place   *ration.Place
	issuer  *ration.Issuer
	purse   *ration.Purse
	// limits holds the limits of each workspace that has any.
	limits map[string]ration.Limits
	// live is the fraction of the fleet from which this node receives states, 0 until
	// SetFleet is called.
	live float64
	// pending holds the requests sent by their ID, until they are answered or
	// their tokens would have expired.
	pending map[uint64]*pendingRequest
	// suspectUntil holds the issuers that did not answer in time.
	suspectUntil map[string]time.Time
}

// pendingRequest is a request without an answer.
type pendingRequest struct {
	vm        string
	workspace string
	askedAt   time.Time
	// count is the number of tokens asked for.
	count int
	// answers receives the answer. It has room for the answers of all issuers.
	answers chan answer
}

type answer struct {
	vm    string
	grant gage.TokenGrant
}

// New returns a broker of a node that knows no workspaces and nothing of the fleet. It
// issues no tokens until SetFleet is called.
func New(now time.Time, options Options) *Broker {
	return &Broker{
		options:      options,
		place:        ration.NewPlace(now, options.Self),
		issuer:       ration.NewIssuer(),
		purse:        ration.NewPurse(),
		limits:       make(map[string]ration.Limits),
		pending:      make(map[uint64]*pendingRequest),
		suspectUntil: make(map[string]time.Time),
	}
}

// SetLimits replaces the limits of all workspaces. A workspace that is not in limits
// is not limited.
func (b *Broker) SetLimits(limits map[string]ration.Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
	isLimited := func(workspace string) bool { _, found := limits[workspace]; return found }
	b.issuer.Retain(isLimited)
	b.purse.Retain(isLimited)
}

// SetFleet replaces the names of the VMs whose nodes issue tokens, and the fraction
// of the fleet that they are, in (0, 1].
func (b *Broker) SetFleet(now time.Time, members []string, live float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.live = live
	b.place.SetMembers(now, members)
	for id, p := range b.pending {
		if now.Sub(p.askedAt) > ration.TokenLifetime {
			delete(b.pending, id)
		}
	}
	for vm, until := range b.suspectUntil {
		if !now.Before(until) {
			delete(b.suspectUntil, vm)
		}
	}
}

// Result is the outcome of Acquire.
type Result struct {
	// Reason is ReasonNone if a token was taken, ReasonOverRate if the issuers have
	// none left, and ReasonQuotaUnavailable if no issuer answered.
	Reason gage.Reason
	// ExpiresAt is when the token expires. It is zero if the workspace is not limited.
	ExpiresAt time.Time
	// Wait is the time after which the caller may return, if Reason is
	// ReasonOverRate.
	Wait time.Duration
}

// Acquire takes a token for one request of a workspace. IsReturning is true for a
// caller who was refused before. Acquire may wait for answers of other nodes until
// the time until.
func (b *Broker) Acquire(ctx context.Context, now, until time.Time, workspace string, isReturning bool) Result {
	b.mu.Lock()
	if _, limited := b.limits[workspace]; !limited {
		b.mu.Unlock()
		return Result{}
	}
	b.purse.CountDemand(now, workspace)
	if expiresAt, ok := b.purse.Take(now, workspace); ok {
		b.mu.Unlock()
		return Result{ExpiresAt: expiresAt}
	}
	if !isReturning && b.purse.IsRefused(now, workspace) {
		b.mu.Unlock()
		return Result{Reason: gage.ReasonOverRate, Wait: ration.NoRoomWait}
	}
	s := &search{
		broker: b, workspace: workspace, isReturning: isReturning,
		issuers: b.orderedIssuers(now, workspace, isReturning),
	}
	s.answers = make(chan answer, len(s.issuers))
	b.mu.Unlock()
	return s.run(ctx, now, until)
}

// orderedIssuers returns the issuers of a workspace in the order in which they are
// asked: this node first, which costs nothing, and those that did not answer last.
// A returning caller first asks the issuer that told it to return.
func (b *Broker) orderedIssuers(now time.Time, workspace string, isReturning bool) []string {
	issuers := b.place.Issuers(workspace, b.limits[workspace].Burst)
	offset := int(b.options.Random() % uint64(max(len(issuers), 1)))
	var first, others, suspects []string
	for i := range issuers {
		vm := issuers[(i+offset)%len(issuers)]
		switch {
		case now.Before(b.suspectUntil[vm]):
			suspects = append(suspects, vm)
		case isReturning && vm == b.purse.Promiser(workspace):
			first = append([]string{vm}, first...)
		case vm == b.options.Self:
			first = append(first, vm)
		default:
			others = append(others, vm)
		}
	}
	return append(append(first, others...), suspects...)
}

// search asks the issuers of a workspace one after the other for the token of one
// request.
type search struct {
	broker      *Broker
	workspace   string
	isReturning bool
	issuers     []string
	answers     chan answer
	// refusal is the last refusal, with the issuer that sent it.
	refusal *answer
	// unanswered is the number of requests without an answer.
	unanswered int
}

func (s *search) run(ctx context.Context, now, until time.Time) Result {
	for i, vm := range s.issuers {
		if i > 0 && !now.Before(until) {
			break
		}
		s.ask(now, vm, i == len(s.issuers)-1)
		result, done := s.await(ctx, answerTimeout)
		if done {
			return result
		}
		now = s.broker.options.Clock.Now()
	}
	for s.refusal == nil && s.unanswered > 0 {
		before := s.unanswered
		result, done := s.await(ctx, lateAnswerTimeout)
		if done {
			return result
		}
		if s.unanswered == before {
			break
		}
	}
	if s.refusal == nil {
		return Result{Reason: gage.ReasonQuotaUnavailable}
	}
	s.broker.mu.Lock()
	defer s.broker.mu.Unlock()
	now = s.broker.options.Clock.Now()
	s.broker.purse.Refused(now, s.workspace, s.refusal.vm, s.refusal.grant.Wait)
	return Result{Reason: gage.ReasonOverRate, Wait: s.refusal.grant.Wait}
}

// ask sends a request for tokens to the issuer on a VM.
func (s *search) ask(now time.Time, vm string, isLast bool) {
	b := s.broker
	b.mu.Lock()
	r := gage.TokenRequest{
		ID: b.options.Random(), Workspace: s.workspace, Count: b.purse.WantedCount(s.workspace),
		Returning: s.isReturning, Last: isLast,
	}
	b.pending[r.ID] = &pendingRequest{vm: vm, workspace: s.workspace, askedAt: now, count: r.Count, answers: s.answers}
	s.unanswered++
	if vm == b.options.Self {
		b.handleGrant(b.issue(now, r))
		b.mu.Unlock()
		return
	}
	b.mu.Unlock()
	b.options.Send(vm, r)
}

// await waits for one answer. It returns done if the search has ended.
func (s *search) await(ctx context.Context, timeout time.Duration) (result Result, done bool) {
	var a answer
	select {
	case a = <-s.answers:
	default:
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		select {
		case a = <-s.answers:
		case <-ctx.Done():
			return Result{Reason: gage.ReasonQuotaUnavailable}, true
		case <-timer.C:
			s.suspectSilent()
			return Result{}, false
		}
	}
	s.unanswered--
	switch a.grant.Status {
	case gage.TokensGranted:
		s.broker.mu.Lock()
		defer s.broker.mu.Unlock()
		if expiresAt, ok := s.broker.purse.Take(s.broker.options.Clock.Now(), s.workspace); ok {
			return Result{ExpiresAt: expiresAt}, true
		}
	case gage.TokensRefused:
		s.refusal = &a
	case gage.NotIssuer:
	}
	return Result{}, false
}

// suspectSilent marks the issuers that have not answered this search.
func (s *search) suspectSilent() {
	b := s.broker
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.pending {
		if p.answers == s.answers {
			b.suspectUntil[p.vm] = b.options.Clock.Now().Add(suspicionTime)
		}
	}
}

// HandleRequest answers the request of another node.
func (b *Broker) HandleRequest(now time.Time, r gage.TokenRequest) gage.TokenGrant {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.issue(now, r)
}

// issue answers a request. The caller holds mu.
func (b *Broker) issue(now time.Time, r gage.TokenRequest) gage.TokenGrant {
	limits, limited := b.limits[r.Workspace]
	if !limited {
		return gage.TokenGrant{ID: r.ID, Status: gage.NotIssuer}
	}
	since, isIssuer := b.place.IssuesSince(r.Workspace, limits.Burst)
	if !isIssuer {
		return gage.TokenGrant{ID: r.ID, Status: gage.NotIssuer}
	}
	part := 1 / float64(len(b.place.Issuers(r.Workspace, limits.Burst)))
	return b.issuer.Issue(now, since, r, limits, part, b.live)
}

// HandleGrant processes the answer of another node. An answer that nobody waits for
// has no effect.
func (b *Broker) HandleGrant(g gage.TokenGrant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handleGrant(g)
}

func (b *Broker) handleGrant(g gage.TokenGrant) {
	p := b.pending[g.ID]
	if p == nil {
		return
	}
	delete(b.pending, g.ID)
	delete(b.suspectUntil, p.vm)
	if g.Status == gage.TokensGranted {
		b.purse.Add(p.askedAt, p.workspace, min(g.Count, p.count))
	}
	p.answers <- answer{vm: p.vm, grant: g}
}

// PutBack returns the token of a request that has certainly not run.
func (b *Broker) PutBack(now time.Time, workspace string, expiresAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.purse.PutBack(now, workspace, expiresAt)
}
