// Package local tracks the targets on this node's VM: it holds their
// announcements, removes targets whose announcement has expired, and records
// which targets are draining.
package local

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
)

// The bounds of an announcement.
const (
	// MinTTL and MaxTTL bound the time for which an announcement is valid.
	MinTTL = 500 * time.Millisecond
	MaxTTL = time.Minute
	// DefaultTTL is used when an announcement has no TTL.
	DefaultTTL = 5 * time.Second
	// maxNameBytes bounds the names of targets and services.
	maxNameBytes    = 128
	maxCapacityHint = 1 << 20
	// maxTombstones is the largest number of tombstones of targets that left.
	maxTombstones = 4 * gage.MaxTargetsPerVM
	// expireInterval is the time between two checks for expired announcements.
	expireInterval = 250 * time.Millisecond
)

// Target is one announced target on this node's VM.
type Target struct {
	gage.Announcement
	// Phase is TargetServing or TargetDraining. In the events EventLeft and
	// EventLapsed it is TargetGone.
	Phase gage.TargetPhase
	// ColdAt is when the last cold start of the target began.
	ColdAt time.Time
	// ExpiresAt is when the announcement expires unless it is repeated.
	ExpiresAt time.Time
}

// Event is a change of a target.
type Event string

// The events.
const (
	// EventCold means that the target starts cold: it is new, has a new
	// incarnation, or its last announcement had expired.
	EventCold Event = "Cold"
	// EventMoved means that the address, service or capacity hint of the target
	// changed.
	EventMoved Event = "Moved"
	// EventDraining means that the target began to drain.
	EventDraining Event = "Draining"
	// EventLeft means that the target left by a call of Leave.
	EventLeft Event = "Left"
	// EventLapsed means that the announcement of the target expired.
	EventLapsed Event = "Lapsed"
)

// Options are the inputs of New.
type Options struct {
	// Membership publishes the targets to the other nodes.
	Membership gage.Membership
	// Notify is called for each event, in order, before the call that caused the
	// event returns. It must not block or call methods of Targets. It may be nil.
	Notify func(now time.Time, e Event, t Target)
	// ColdStart returns how long the cold start of a target of a service takes.
	// When it is nil, the time is 0.
	ColdStart func(service string) time.Duration
	// Logger may be nil.
	Logger *zap.Logger
}

// Targets is the set of announced targets on this node's VM. It implements
// gage.Announcer and is safe for concurrent use.
type Targets struct {
	options Options
	mu      sync.Mutex
	// targets holds at most gage.MaxTargetsPerVM targets by name.
	targets map[string]Target
	// tombstones holds the last incarnation of targets that left, by name, so
	// that a delayed announcement does not add such a target again.
	tombstones map[string]uint64
}

// New returns an empty set of targets.
func New(options Options) *Targets {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	return &Targets{options: options, targets: make(map[string]Target), tombstones: make(map[string]uint64)}
}

// Announce adds a target or renews its announcement. A later incarnation starts
// cold. Announce refuses an incarnation that is earlier than the announced one or
// that has left, and a malformed announcement. It also refuses a new target if
// there are already gage.MaxTargetsPerVM targets.
func (t *Targets) Announce(now time.Time, a gage.Announcement) gage.Result {
	a, problem := validate(a)
	if problem != "" {
		return refuse(http.StatusBadRequest, problem)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.targets[a.Name]
	switch {
	case t.tombstones[a.Name] >= a.Incarnation && t.hasTombstone(a.Name):
		return refuse(http.StatusConflict, "the target has left; announce it with a later incarnation")
	case known && a.Incarnation < old.Incarnation:
		return refuse(http.StatusConflict, "a later incarnation of the target is announced")
	case !known && len(t.targets) >= gage.MaxTargetsPerVM:
		return refuse(http.StatusConflict, fmt.Sprintf("this node already has the maximum of %d targets", len(t.targets)))
	}
	t.accept(now, old, known, a)
	return succeed()
}

func (t *Targets) hasTombstone(name string) bool {
	_, ok := t.tombstones[name]
	return ok
}

// accept stores a valid announcement. old is the current state of the target if
// known is true, and is not set otherwise.
func (t *Targets) accept(now time.Time, old Target, known bool, a gage.Announcement) {
	delete(t.tombstones, a.Name)
	next := Target{Announcement: a, Phase: gage.TargetServing, ColdAt: now, ExpiresAt: now.Add(a.TTL)}
	if !known || a.Incarnation > old.Incarnation {
		t.put(now, EventCold, next)
		return
	}
	next.Phase, next.ColdAt = old.Phase, old.ColdAt
	oldWithoutTTL, newWithoutTTL := old.Announcement, a
	oldWithoutTTL.TTL, newWithoutTTL.TTL = 0, 0
	if oldWithoutTTL == newWithoutTTL {
		t.targets[a.Name] = next
		return
	}
	t.put(now, EventMoved, next)
}

// Drain stops new requests to a target, until the target announces itself with a
// later incarnation or is removed.
func (t *Targets) Drain(now time.Time, name string) gage.Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	target, ok := t.targets[name]
	if !ok {
		return refuse(http.StatusNotFound, "no such target is announced")
	}
	if target.Phase == gage.TargetDraining {
		return succeed()
	}
	target.Phase = gage.TargetDraining
	t.put(now, EventDraining, target)
	return succeed()
}

// Leave removes a target. It also succeeds when the target is not announced.
func (t *Targets) Leave(now time.Time, name string) gage.Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	target, ok := t.targets[name]
	if !ok {
		return succeed()
	}
	t.addTombstone(name, target.Incarnation)
	t.remove(now, EventLeft, target)
	return succeed()
}

// addTombstone records the incarnation of a target that left. When there are
// maxTombstones, it removes an arbitrary one.
func (t *Targets) addTombstone(name string, incarnation uint64) {
	if len(t.tombstones) >= maxTombstones {
		for other := range t.tombstones {
			delete(t.tombstones, other)
			break
		}
	}
	t.tombstones[name] = incarnation
}

// Expire removes the targets whose announcements have expired.
func (t *Targets) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, target := range t.sorted() {
		if !now.Before(target.ExpiresAt) {
			t.remove(now, EventLapsed, target)
		}
	}
}

// DrainAll stops new requests to all targets. The node calls it when it stops.
func (t *Targets) DrainAll(now time.Time) {
	for _, target := range t.Snapshot() {
		t.Drain(now, target.Name)
	}
}

// Snapshot returns the targets sorted by name.
func (t *Targets) Snapshot() []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sorted()
}

// Find returns the target with the given name, and false if no such target is
// announced.
func (t *Targets) Find(name string) (Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	target, ok := t.targets[name]
	return target, ok
}

// Run removes targets whose announcements have expired, until ctx ends.
func (t *Targets) Run(ctx context.Context, clock gage.Clock) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.Expire(clock.Now())
		}
	}
}

// put stores a target and publishes the event.
func (t *Targets) put(now time.Time, e Event, target Target) {
	t.targets[target.Name] = target
	t.publish(now, e, target)
}

// remove deletes a target and publishes the event.
func (t *Targets) remove(now time.Time, e Event, target Target) {
	delete(t.targets, target.Name)
	target.Phase = gage.TargetGone
	t.publish(now, e, target)
}

// publish logs an event, calls Notify and updates the membership.
func (t *Targets) publish(now time.Time, e Event, target Target) {
	t.options.Logger.Info("TargetChanged", zap.String("Event", string(e)), zap.String("Target", target.Name),
		zap.String("Service", target.Service), zap.Uint64("Incarnation", target.Incarnation))
	if t.options.Notify != nil {
		t.options.Notify(now, e, target)
	}
	t.options.Membership.SetTargets(t.records())
}

// records returns the targets in the form that the membership publishes.
func (t *Targets) records() []gage.TargetRecord {
	var records []gage.TargetRecord
	for _, target := range t.sorted() {
		records = append(records, gage.TargetRecord{
			Name:         target.Name,
			Service:      target.Service,
			Phase:        target.Phase,
			Incarnation:  target.Incarnation,
			CapacityHint: target.CapacityHint,
			ColdUntil:    t.coldUntil(target).UnixMilli(),
		})
	}
	return records
}

// coldUntil returns when the cold start of a target ends.
func (t *Targets) coldUntil(target Target) time.Time {
	if t.options.ColdStart == nil {
		return target.ColdAt
	}
	return target.ColdAt.Add(t.options.ColdStart(target.Service))
}

func (t *Targets) sorted() []Target {
	out := make([]Target, 0, len(t.targets))
	for _, target := range t.targets {
		out = append(out, target)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// validate returns the announcement, with DefaultTTL if it has no TTL, and a
// description of the first problem found. The description is "" if the
// announcement is valid.
func validate(a gage.Announcement) (gage.Announcement, string) {
	if a.TTL == 0 {
		a.TTL = DefaultTTL
	}
	switch {
	case a.Name == "" || len(a.Name) > maxNameBytes:
		return a, fmt.Sprintf("Name must have 1 to %d bytes", maxNameBytes)
	case a.Service == "" || len(a.Service) > maxNameBytes:
		return a, fmt.Sprintf("Service must have 1 to %d bytes", maxNameBytes)
	case a.Address == "" || len(a.Address) > maxNameBytes:
		return a, fmt.Sprintf("Address must have 1 to %d bytes", maxNameBytes)
	case !hasPort(a.Address):
		return a, "Address must be a host and a port from 1 to 65535"
	case a.CapacityHint < 0 || a.CapacityHint > maxCapacityHint:
		return a, fmt.Sprintf("CapacityHint must be from 0 to %d", maxCapacityHint)
	case a.TTL < MinTTL || a.TTL > MaxTTL:
		return a, fmt.Sprintf("TTLMillis must be from %d to %d", MinTTL.Milliseconds(), MaxTTL.Milliseconds())
	}
	return a, ""
}

// hasPort reports whether an address ends in a port to which one can connect.
func hasPort(address string) bool {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

func succeed() gage.Result {
	return gage.Result{Outcome: gage.OutcomeRan, Status: http.StatusOK}
}

func refuse(status int, detail string) gage.Result {
	return gage.Result{Outcome: gage.OutcomeNotRun, Reason: gage.ReasonBadRequest, Status: status, Detail: detail}
}
