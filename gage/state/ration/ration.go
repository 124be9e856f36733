// Package ration divides the fleet-wide rate of each workspace between the
// nodes in proportion to what their callers ask for.
package ration

import (
	"math"
	"sync"
	"time"

	"github.com/greengagewind/greengagewind/gage/state/bucket"
)

const (
	// demandHalfLife is how fast the measured demand forgets.
	demandHalfLife = 400 * time.Millisecond
	// minShare is the part of the rate that a node keeps for callers that have
	// not asked yet, divided by the number of nodes.
	minShare = 0.03
	// startTokens is the part of a node's burst that a new bucket holds, so
	// that processes that start again cannot hand a burst out twice.
	startTokens = 0.1
	// minCapacity is the smallest bucket, in requests.
	minCapacity = 2
	// reserve is the part of a node's bucket that new requests leave for those
	// that come back after a refusal.
	reserve = 0.25
	// shortFor is how long a reserve is kept after a bucket was empty.
	shortFor = 2 * time.Second
	// settleTime is how long after a workspace became known a node takes no
	// more than an equal share: it may not have heard of all others yet.
	settleTime = 1500 * time.Millisecond
	// maxGrowth bounds by how much a share grows between two divisions.
	maxGrowth = 6
	// growthTold is the growth of a share from which others hear of it soon.
	growthTold = 1.5
	// maxWait bounds the wait that is told to a refused caller.
	maxWait = 2 * time.Second
	// deadDemand is the rate below which a workspace counts as silent.
	deadDemand = 0.01
)

// Visibility is how much a node knows of the others.
type Visibility string

// The sights.
const (
	// VisibilityWhole: the node hears most of the others.
	VisibilityWhole Visibility = "Whole"
	// VisibilityIsolated: it no longer does.
	VisibilityIsolated Visibility = "Isolated"
	// VisibilityUnlisted: since it started it has not learnt who there is.
	VisibilityUnlisted Visibility = "Unlisted"
)

// Table holds this node's part of each workspace's rate. It is safe for
// concurrent use.
type Table struct {
	mu    sync.Mutex
	parts map[string]*part
	// grown tells that a share grew much since Grown was last asked.
	grown bool
}

type part struct {
	bucket bucket.Bucket
	rate   float64
	burst  float64
	// demand is in requests a second up to at.
	demand float64
	at     time.Time
	// others is what the other nodes ask for together.
	others float64
	// share is this node's part of the rate, in (0, 1].
	share float64
	// known is when the workspace became known.
	known time.Time
	// short is when the bucket was last empty.
	short time.Time
	// divided is the share of the last division.
	divided float64
	// askedThen is the demand at the last division.
	askedThen float64
	// due is how many tokens the share was worth since the last division, over
	// span seconds; gained is how many of them had room in the bucket.
	due, span, gained float64
	// debt is what was granted too early, at least 0: it is taken from the
	// tokens that come.
	debt float64
	// nodes is how many share the rate.
	nodes int
	sight Visibility
}

// New returns a table without workspaces.
func New() *Table {
	return &Table{parts: make(map[string]*part)}
}

// SetLimits sets the fleet-wide rate and burst of a workspace; nodes is how
// many nodes there may be at most.
func (t *Table) SetLimits(now time.Time, workspace string, rate, burst float64, nodes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.parts[workspace]
	if p == nil {
		share := 1 / float64(max(nodes, 1))
		p = &part{share: share, divided: share, at: now, rate: rate, burst: burst, nodes: nodes, sight: VisibilityUnlisted, known: now}
		p.bucket = bucket.New(now, rate*share, capacity(burst, share))
		p.bucket.Tokens = startTokens * p.bucket.Burst
		t.parts[workspace] = p
		return
	}
	p.rate, p.burst = rate, burst
	p.apply(now)
}

// Forget drops the workspaces that keep returns false for.
func (t *Table) Forget(keep func(workspace string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for workspace := range t.parts {
		if !keep(workspace) {
			delete(t.parts, workspace)
		}
	}
}

func capacity(burst, share float64) float64 {
	return math.Max(minCapacity, burst*share)
}

func (p *part) apply(now time.Time) {
	p.refill(now)
	p.bucket.SetLimits(now, p.rate*p.share, capacity(p.burst, p.share))
}

// refill counts the tokens that have come up to now.
func (p *part) refill(now time.Time) {
	elapsed := now.Sub(p.bucket.At)
	if elapsed <= 0 {
		return
	}
	before := p.bucket.Tokens
	p.bucket.Refill(now)
	p.due += p.bucket.Rate * elapsed.Seconds()
	p.span += elapsed.Seconds()
	p.gained += p.bucket.Tokens - before
	p.pay()
}

// pay takes the debt from the tokens that are there.
func (p *part) pay() {
	paid := math.Min(p.debt, p.bucket.Tokens)
	p.debt -= paid
	p.bucket.Tokens -= paid
}

// correct changes the tokens gained since the last division to what share
// would have given, the share by what is now known of the others. When all
// nodes ask for more at once, each knows it of itself first and takes a larger
// share than is left.
func (p *part) correct(share float64) {
	if p.due > 0 {
		p.bucket.Tokens += p.gained * (share*p.rate*p.span/p.due - 1)
	}
	if p.bucket.Tokens < 0 {
		p.debt -= p.bucket.Tokens
		p.bucket.Tokens = 0
	}
	p.bucket.Tokens = math.Min(p.bucket.Tokens, p.bucket.Burst)
	p.due, p.gained, p.span = 0, 0, 0
}

func (p *part) decay(now time.Time) {
	elapsed := now.Sub(p.at)
	if elapsed <= 0 {
		return
	}
	p.at = now
	p.demand *= math.Exp2(-float64(elapsed) / float64(demandHalfLife))
}

// perRequest is what one request adds to the demand, so that a steady rate
// settles at its number of requests a second.
var perRequest = math.Ln2 / demandHalfLife.Seconds()

// Take asks for one request of a workspace. A workspace without limits always
// passes. When refused, wait is how long it takes until there is room here.
func (t *Table) Take(now time.Time, workspace string, returning bool) (ok bool, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.parts[workspace]
	if p == nil {
		return true, 0
	}
	p.decay(now)
	p.demand += perRequest
	p.refill(now)
	needed := 1.0
	if p.bucket.Tokens < needed {
		p.short = now
	}
	if !returning && now.Sub(p.short) < shortFor {
		needed += reserve * (p.bucket.Burst - 1)
	}
	if p.bucket.Tokens < needed {
		t.grown = p.grow(now) || t.grown
	}
	if p.bucket.Tokens >= needed && p.bucket.Take(now, 1) == 1 {
		return true, 0
	}
	return false, p.wait(needed)
}

// ConsumeGrowth reports whether a share has grown so much that the other nodes should
// hear of it soon, once for each time.
func (t *Table) ConsumeGrowth() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	grown := t.grown
	t.grown = false
	return grown
}

// grow raises the share to what the demand that has come since the last
// division would give. It reports whether that is much more.
func (p *part) grow(now time.Time) bool {
	share := min(shareOf(p.demand, p.others, p.nodes), maxGrowth*p.divided)
	if p.sight != VisibilityWhole || p.settling(now) || share <= p.share {
		return false
	}
	much := share > growthTold*p.divided
	p.share = share
	p.apply(now)
	return much
}

func (p *part) settling(now time.Time) bool { return now.Sub(p.known) < settleTime }

// wait returns how long it takes until so many tokens are there.
func (p *part) wait(tokens float64) time.Duration {
	if p.bucket.Rate <= 0 {
		return maxWait
	}
	seconds := (tokens - p.bucket.Tokens) / p.bucket.Rate
	return min(time.Duration(seconds*float64(time.Second)), maxWait)
}

// Return gives back the token of a request that did not run.
func (t *Table) Return(now time.Time, workspace string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.parts[workspace]; p != nil {
		p.refill(now)
		p.bucket.Tokens = math.Min(p.bucket.Burst, p.bucket.Tokens+1)
		p.pay()
	}
}

// Demand returns what callers of this node ask for, without the workspaces
// that are silent.
func (t *Table) Demand(now time.Time) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	demand := make(map[string]float64)
	for workspace, p := range t.parts {
		p.decay(now)
		if p.demand > deadDemand {
			demand[workspace] = math.Round(p.demand*100) / 100
		}
	}
	return demand
}

// Divide takes in what the other nodes ask for together; nodes is how many
// there may be, also those not heard of yet. An isolated node only ever lowers
// its shares, since the others may have raised theirs. A node that has not
// listed the others takes no more than an equal share: it may be alone with
// its demand, and so may each of them.
func (t *Table) Divide(now time.Time, others map[string]float64, nodes int, sight Visibility) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for workspace, p := range t.parts {
		p.decay(now)
		p.others, p.nodes, p.sight = others[workspace], nodes, sight
		p.refill(now)
		p.correct(p.bounded(now, shareOf((p.askedThen+p.demand)/2, p.others, nodes)))
		share := p.bounded(now, shareOf(p.demand, p.others, nodes))
		p.share, p.divided, p.askedThen = share, share, p.demand
		p.apply(now)
	}
}

// bounded returns the share that a node may take when its demand is worth so
// much.
func (p *part) bounded(now time.Time, share float64) float64 {
	if p.sight == VisibilityIsolated {
		share = math.Min(share, p.divided)
	}
	if p.sight == VisibilityUnlisted || p.settling(now) {
		share = math.Min(share, 1/float64(max(p.nodes, 1)))
	}
	return share
}

// shareOf divides in proportion to demand, but for a small part that each node
// keeps whatever its demand.
func shareOf(own, others float64, nodes int) float64 {
	floor := minShare / float64(max(nodes, 1))
	total := own + others
	if total < deadDemand {
		return 1 / float64(max(nodes, 1))
	}
	return floor + (1-minShare)*own/total
}
