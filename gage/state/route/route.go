// Package route picks a target for each call by the power of two choices: of
// two random targets, it takes the one with the lower reported load.
package route

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// Self identifies the node on which the router runs.
type Self struct {
	VM   string
	Zone string
}

// Router implements gage.Router. Pick and Observe are safe for concurrent use
// and lock-free: they read a snapshot that Update replaces atomically.
type Router struct {
	self   Self
	random rand.Source
	// mu serializes Update.
	mu       sync.Mutex
	snapshot atomic.Pointer[snapshot]
}

// snapshot is immutable except for the atomic fields of its targets.
type snapshot struct {
	services map[string]*service
	targets  map[targetKey]*target
}

type targetKey struct {
	vm   string
	name string
}

// service lists the targets of one service that may receive calls.
type service struct {
	// sameZone holds the targets in the router's own zone.
	sameZone []*target
	// otherZones holds the targets in all other zones.
	otherZones []*target
	// all holds the targets of both lists.
	all []*target
	// coldConcurrency is how many calls at once a cold target can handle, at
	// least 1.
	coldConcurrency int64
}

var _ gage.Router = (*Router)(nil)

// New returns a router without targets. The random source must be safe for
// concurrent use, as the one returned by Source is.
func New(self Self, random rand.Source) *Router {
	r := &Router{self: self, random: random}
	r.snapshot.Store(&snapshot{})
	return r
}

// Update replaces the members and the configuration that Pick uses. Targets
// that are out of service, draining or gone, and all targets of members that
// are not alive, receive no further calls. A target that has not restarted
// keeps its load report and failure count.
func (r *Router) Update(_ time.Time, members []gage.Member, config gage.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshot.Store(r.buildSnapshot(members, config))
}

// Pick chooses a target of the call's service. The caller must pass each
// choice with OK set to Observe exactly once, when the attempt has ended.
func (r *Router) Pick(now time.Time, c gage.Call, tried []string) gage.Choice {
	s := r.snapshot.Load().services[c.Service]
	if s == nil || len(s.all) == 0 {
		return gage.Choice{Reason: gage.ReasonNoTarget, RetryAfter: noTargetRetryAfter}
	}
	p := picker{
		random: r.random, now: now.UnixNano(), rank: c.Importance.Rank(),
		coldConcurrency: s.coldConcurrency, tried: tried,
	}
	// A nested call counts as one rank more important than its own importance.
	if c.Depth > 1 {
		p.rank--
	}
	t := p.pickTarget(s)
	if t.sheds(p.now, p.rank) && s.allTargetsShed(p.now, p.rank) && !p.shouldProbe() {
		return gage.Choice{Reason: gage.ReasonOverload, RetryAfter: shedRetryAfter}
	}
	t.inFlight.Add(1)
	return gage.Choice{
		OK:          true,
		Target:      t.name,
		VM:          t.vm,
		PeerAddress: t.peerAddress,
		Local:       t.vm == r.self.VM,
	}
}

// Observe records the end of an attempt: the load that the target reported and
// whether the attempt failed. A target with ejectAfterFailures consecutive
// failures is ejected. Choices that are not OK or whose target is no longer
// known are ignored.
func (r *Router) Observe(now time.Time, choice gage.Choice, result gage.Result, _ time.Duration) {
	snap := r.snapshot.Load()
	t := snap.targets[targetKey{choice.VM, choice.Target}]
	if !choice.OK || t == nil {
		return
	}
	t.observe(now.UnixNano(), result)
	if t.failures.Load() < ejectAfterFailures {
		return
	}
	if s := snap.services[t.service]; s != nil {
		s.eject(now.UnixNano(), t)
	}
}
