// Package ration divides the fleet-wide request rate of each workspace between
// the nodes, in proportion to the demand that each node measures.
package ration

import (
	"math"
	"sync"
	"time"

	"github.com/greengagewind/greengagewind/gage/state/bucket"
)

const (
	// demandHalfLife is the half-life with which the measured demand decays.
	demandHalfLife = 400 * time.Millisecond
	// evenFraction is the fraction of the rate that is split evenly between
	// the nodes, so that a node without recent demand can still admit requests.
	evenFraction = 0.03
	// initialFillFraction is the fraction of a node's burst that a new bucket holds.
	// It is below 1 so that processes which restart cannot grant a whole burst twice.
	initialFillFraction = 0.1
	// minBurst is the smallest burst of a node's bucket, in tokens.
	minBurst = 2
	// retryReserveFraction is the fraction of a node's bucket that is reserved for
	// requests which callers retry after a refusal.
	retryReserveFraction = 0.25
	// reservePeriod is how long the reserve applies after the bucket last held less
	// than one token.
	reservePeriod = 2 * time.Second
	// settlingTime is how long the share of a new workspace is capped at an equal
	// share, because the demand on some nodes may not be known yet.
	settlingTime = 1500 * time.Millisecond
	// maxGrowthFactor bounds the growth of a share between two calls of Divide.
	maxGrowthFactor = 6
	// notableGrowthFactor is the growth of a share since the last call of Divide
	// above which ConsumeGrowth reports true.
	notableGrowthFactor = 1.5
	// maxWait bounds the wait that Take returns.
	maxWait = 2 * time.Second
	// idleDemand is the demand below which a workspace counts as idle, in
	// requests a second.
	idleDemand = 0.01
)

// Visibility is how much a node knows of the demand of the other nodes.
type Visibility string

// The values of Visibility.
const (
	// VisibilityWhole means that the node receives the demand of most of the
	// other nodes.
	VisibilityWhole Visibility = "Whole"
	// VisibilityIsolated means that the node has stopped receiving the demand
	// of most of the other nodes.
	VisibilityIsolated Visibility = "Isolated"
	// VisibilityUnlisted means that the node has not yet read the list of nodes
	// since it started.
	VisibilityUnlisted Visibility = "Unlisted"
)

// Table holds this node's allocation of each workspace's rate. It is safe for
// concurrent use.
type Table struct {
	mu sync.Mutex
	// allocations holds the allocations by workspace name.
	allocations map[string]*allocation
	// hasGrown is true when a share has grown by more than notableGrowthFactor
	// since the last call of ConsumeGrowth.
	hasGrown bool
}

// allocation is this node's part of the rate of one workspace.
type allocation struct {
	bucket bucket.Bucket
	// rate is the fleet-wide rate, in requests a second.
	rate float64
	// burst is the fleet-wide burst, in requests.
	burst float64
	// demand is the decayed demand on this node as of demandAt, in requests a
	// second.
	demand   float64
	demandAt time.Time
	// othersDemand is the sum of the demand on the other nodes, in requests a
	// second.
	othersDemand float64
	// share is this node's fraction of the rate, in (0, 1].
	share float64
	// addedAt is when the workspace was added to the table.
	addedAt time.Time
	// emptyAt is when Take last found less than one token in the bucket.
	emptyAt time.Time
	// dividedShare is the share set by the last call of Divide.
	dividedShare float64
	// dividedDemand is the demand at the last call of Divide.
	dividedDemand float64
	// The following fields count since the last call of Divide. refillTokens is the
	// number of tokens due at the rate of the bucket, refillSeconds is the time in
	// which they became due, and gainedTokens is how many of them fitted into the
	// bucket.
	refillTokens, refillSeconds, gainedTokens float64
	// debt is the number of tokens that were granted in excess, at least 0.
	// Later refills repay it.
	debt float64
	// nodes is the number of nodes that share the rate.
	nodes      int
	visibility Visibility
}

// New returns a table without workspaces.
func New() *Table {
	return &Table{allocations: make(map[string]*allocation)}
}

// SetLimits sets the fleet-wide rate and burst of a workspace. nodes is an
// upper bound of the number of nodes; it is used only for a new workspace, until
// the first call of Divide.
func (t *Table) SetLimits(now time.Time, workspace string, rate, burst float64, nodes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.allocations[workspace]
	if a == nil {
		share := 1 / float64(max(nodes, 1))
		a = &allocation{share: share, dividedShare: share, demandAt: now, rate: rate, burst: burst, nodes: nodes, visibility: VisibilityUnlisted, addedAt: now}
		a.bucket = bucket.New(now, rate*share, nodeBurst(burst, share))
		a.bucket.Tokens = initialFillFraction * a.bucket.Burst
		t.allocations[workspace] = a
		return
	}
	a.rate, a.burst = rate, burst
	a.applyShare(now)
}

// RemoveWorkspaces removes the allocations of the workspaces for which keep
// returns false.
func (t *Table) RemoveWorkspaces(keep func(workspace string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for workspace := range t.allocations {
		if !keep(workspace) {
			delete(t.allocations, workspace)
		}
	}
}

// nodeBurst returns the burst of a node's bucket, in tokens.
func nodeBurst(burst, share float64) float64 {
	return math.Max(minBurst, burst*share)
}

// applyShare sets the limits of the bucket to this node's share.
func (a *allocation) applyShare(now time.Time) {
	a.refill(now)
	a.bucket.SetLimits(now, a.rate*a.share, nodeBurst(a.burst, a.share))
}

// refill adds the tokens due up to now and repays the debt from them.
func (a *allocation) refill(now time.Time) {
	elapsed := now.Sub(a.bucket.RefilledAt)
	if elapsed <= 0 {
		return
	}
	before := a.bucket.Tokens
	a.bucket.Refill(now)
	a.refillTokens += a.bucket.Rate * elapsed.Seconds()
	a.refillSeconds += elapsed.Seconds()
	a.gainedTokens += a.bucket.Tokens - before
	a.repayDebt()
}

// repayDebt takes as much of the debt as possible from the bucket.
func (a *allocation) repayDebt() {
	repaid := math.Min(a.debt, a.bucket.Tokens)
	a.debt -= repaid
	a.bucket.Tokens -= repaid
}

// correctTokens replaces the tokens gained since the last call of Divide by the
// tokens that the given share would have gained. This corrects shares that were too
// high: when demand rises on all nodes at once, each node knows of the rise on the
// others later than of its own, and meanwhile raises its share too far.
func (a *allocation) correctTokens(share float64) {
	if a.refillTokens > 0 {
		a.bucket.Tokens += a.gainedTokens * (share*a.rate*a.refillSeconds/a.refillTokens - 1)
	}
	if a.bucket.Tokens < 0 {
		a.debt -= a.bucket.Tokens
		a.bucket.Tokens = 0
	}
	a.bucket.Tokens = math.Min(a.bucket.Tokens, a.bucket.Burst)
	a.refillTokens, a.gainedTokens, a.refillSeconds = 0, 0, 0
}

// decayDemand decays the demand up to now.
func (a *allocation) decayDemand(now time.Time) {
	elapsed := now.Sub(a.demandAt)
	if elapsed <= 0 {
		return
	}
	a.demandAt = now
	a.demand *= math.Exp2(-float64(elapsed) / float64(demandHalfLife))
}

// demandPerRequest is the amount by which one request raises the demand. With this
// amount, the demand at a steady rate converges to the rate in requests a second.
var demandPerRequest = math.Ln2 / demandHalfLife.Seconds()

// Take takes the token of one request of a workspace and counts the request as
// demand. isRetry is true when the caller retries after a refusal; only such
// requests may use the reserve. A workspace that is not in the table is not
// limited. When ok is false, wait is the estimated time until this node has
// enough tokens, at most maxWait.
func (t *Table) Take(now time.Time, workspace string, isRetry bool) (ok bool, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.allocations[workspace]
	if a == nil {
		return true, 0
	}
	a.decayDemand(now)
	a.demand += demandPerRequest
	a.refill(now)
	needed := 1.0
	if a.bucket.Tokens < needed {
		a.emptyAt = now
	}
	if !isRetry && now.Sub(a.emptyAt) < reservePeriod {
		needed += retryReserveFraction * (a.bucket.Burst - 1)
	}
	if a.bucket.Tokens < needed {
		t.hasGrown = a.raiseShare(now) || t.hasGrown
	}
	if a.bucket.Tokens >= needed && a.bucket.Take(now, 1) == 1 {
		return true, 0
	}
	return false, a.waitFor(needed)
}

// ConsumeGrowth reports whether a share has grown by more than
// notableGrowthFactor since the last call, and resets this state. The caller
// then sends its demand to the other nodes without waiting for the next
// regular message.
func (t *Table) ConsumeGrowth() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	hasGrown := t.hasGrown
	t.hasGrown = false
	return hasGrown
}

// raiseShare raises the share to the one that the present demand of this node
// gives. It reports whether the share then exceeds the last divided one by
// more than notableGrowthFactor.
func (a *allocation) raiseShare(now time.Time) bool {
	share := min(shareOf(a.demand, a.othersDemand, a.nodes), maxGrowthFactor*a.dividedShare)
	if a.visibility != VisibilityWhole || a.isSettling(now) || share <= a.share {
		return false
	}
	isNotable := share > notableGrowthFactor*a.dividedShare
	a.share = share
	a.applyShare(now)
	return isNotable
}

func (a *allocation) isSettling(now time.Time) bool { return now.Sub(a.addedAt) < settlingTime }

// waitFor returns the time until the bucket holds the given number of tokens,
// at most maxWait.
func (a *allocation) waitFor(tokens float64) time.Duration {
	if a.bucket.Rate <= 0 {
		return maxWait
	}
	seconds := (tokens - a.bucket.Tokens) / a.bucket.Rate
	return min(time.Duration(seconds*float64(time.Second)), maxWait)
}

// Return gives back the token of a request that did not run.
func (t *Table) Return(now time.Time, workspace string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.allocations[workspace]; a != nil {
		a.refill(now)
		a.bucket.Tokens = math.Min(a.bucket.Burst, a.bucket.Tokens+1)
		a.repayDebt()
	}
}

// Demand returns the demand on this node by workspace, in requests a second
// and rounded to two decimals. Idle workspaces are left out.
func (t *Table) Demand(now time.Time) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	demand := make(map[string]float64)
	for workspace, a := range t.allocations {
		a.decayDemand(now)
		if a.demand > idleDemand {
			demand[workspace] = math.Round(a.demand*100) / 100
		}
	}
	return demand
}

// Divide sets this node's shares from its own demand and othersDemand, the sum
// of the demand on the other nodes by workspace, in requests a second. nodes is
// an upper bound of the number of nodes, which includes nodes that have not
// sent their demand yet.
//
// An isolated node never raises its shares, since the other nodes may have
// raised theirs. A node that has not listed the others takes at most an equal
// share: it cannot know their demand, and they may not know its own.
func (t *Table) Divide(now time.Time, othersDemand map[string]float64, nodes int, visibility Visibility) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for workspace, a := range t.allocations {
		a.decayDemand(now)
		a.othersDemand, a.nodes, a.visibility = othersDemand[workspace], nodes, visibility
		a.refill(now)
		a.correctTokens(a.capShare(now, shareOf((a.dividedDemand+a.demand)/2, a.othersDemand, nodes)))
		share := a.capShare(now, shareOf(a.demand, a.othersDemand, nodes))
		a.share, a.dividedShare, a.dividedDemand = share, share, a.demand
		a.applyShare(now)
	}
}

// capShare returns the given share, reduced to what an isolated, unlisted or
// settling node may take.
func (a *allocation) capShare(now time.Time, share float64) float64 {
	if a.visibility == VisibilityIsolated {
		share = math.Min(share, a.dividedShare)
	}
	if a.visibility == VisibilityUnlisted || a.isSettling(now) {
		share = math.Min(share, 1/float64(max(a.nodes, 1)))
	}
	return share
}

// shareOf returns the share of a node. evenFraction of the rate is split evenly
// between the nodes, and the rest in proportion to their demand. Without demand, all
// nodes have the same share.
func shareOf(ownDemand, othersDemand float64, nodes int) float64 {
	evenShare := evenFraction / float64(max(nodes, 1))
	total := ownDemand + othersDemand
	if total < idleDemand {
		return 1 / float64(max(nodes, 1))
	}
	return evenShare + (1-evenFraction)*ownDemand/total
}
