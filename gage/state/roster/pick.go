package roster

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

const (
	// sampled is how many candidates of a service are compared for a request.
	sampled = 6
	// otherZone is what a hop to another zone adds to a target's use.
	otherZone = 0.35
	// anyZone is the share of requests for which the zone is left aside, so
	// that targets alone in their zone are known to work.
	anyZone = 0.05
	// failureWeight is how much a failing target's use counts for.
	failureWeight = 6
	// failureGain weighs a new outcome in the moving share of failures.
	failureGain = 0.1
	// failureHalfLife is how fast a target that gets no work is forgiven.
	failureHalfLife = 2 * time.Second
	// coldRank puts cold targets behind all warm ones that have room.
	coldRank = 1.0
	// idleUse is the use at which an idle target is counted, so that failures
	// count there too.
	idleUse = 0.05
	// jitter keeps nodes that know the same from choosing the same target.
	jitter = 0.1
	// avoidUse puts targets whose node was not reached behind all others.
	avoidUse = 10
	// avoidFor is how long a target is left out after its node was not
	// reached, unless the node is heard before.
	avoidFor = 500 * time.Millisecond
)

// Pick chooses the target for a request of a service, leaving out the VMs in
// tried. A cold target, or one whose node was not reached, is chosen only
// when there is no better.
func (r *Roster) Pick(now time.Time, service string, tried []string) (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := r.candidates(now, service, tried)
	if len(candidates) == 0 {
		return Peer{}, false
	}
	zoneless := r.random.Float64() < anyZone
	best, bestScore := candidates[0], 0.0
	for i, p := range candidates {
		score := r.score(now, p, zoneless)
		if i == 0 || score < bestScore {
			best, bestScore = p, score
		}
	}
	best.since++
	return *best, true
}

// candidates returns at most sampled targets of a service, drawn by chance: one
// half from the node's own zone when it has so many, and the rest from all.
func (r *Roster) candidates(now time.Time, service string, tried []string) []*Peer {
	var near, far []*Peer
	for _, p := range r.ordered {
		switch {
		case p.Target.Service != service || !r.takes(now, p) || contains(tried, p.VM):
		case p.Zone == r.zone:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	drawn := min(sampled/2, len(near))
	r.draw(near, drawn)
	rest := append(far, near[drawn:]...)
	more := min(sampled-drawn, len(rest))
	r.draw(rest, more)
	return append(near[:drawn:drawn], rest[:more]...)
}

// draw moves n peers, drawn by chance, to the front of list.
func (r *Roster) draw(list []*Peer, n int) {
	for i := range n {
		j := i + r.random.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
}

func (r *Roster) takes(now time.Time, p *Peer) bool {
	if p.Target.ID == "" || p.Target.Phase != gage.TargetServing || p.Leaving || r.closed[p.Zone] {
		return false
	}
	if p.VM == r.self {
		return true
	}
	limit := silence
	if p.Zone != r.zone {
		// News of other zones pauses while their relays are replaced.
		limit = 2 * silence
	}
	return now.Sub(p.Heard) < limit
}

// score is the share of a target's concurrency in use, with what speaks
// against it added.
func (r *Roster) score(now time.Time, p *Peer, zoneless bool) float64 {
	use := float64(p.Target.InFlight+p.Target.Queued+p.since+1) / float64(max(p.Target.Limit, 1))
	if p.Target.ColdRemaining-now.Sub(p.Heard) > 0 && p.Target.ColdRate > 0 {
		use = coldRank + float64(p.Target.Queued+p.since)/p.Target.ColdRate
	}
	use = (use + idleUse) * (1 + failureWeight*r.failure(now, p)) * (1 + jitter*r.random.Float64())
	if p.Zone != r.zone && !zoneless {
		use += otherZone
	}
	if now.Before(p.avoid) {
		use += avoidUse
	}
	return use
}

func (r *Roster) failure(now time.Time, p *Peer) float64 {
	if p.failing == 0 {
		return 0
	}
	age := now.Sub(p.failedAt).Seconds() / failureHalfLife.Seconds()
	return p.failing / (1 + age)
}

// Outcome tells how a request ended.
type Outcome string

// The outcomes of a request at a picked target.
const (
	// Served requests brought the target's answer.
	Served Outcome = "Served"
	// Refused requests were not run.
	Refused Outcome = "Refused"
	// Failed requests brought a failure or none.
	Failed Outcome = "Failed"
	// Blocked requests failed while a service that the target calls was
	// overloaded, which says nothing about the target.
	Blocked Outcome = "Blocked"
	// Unreached requests found no node at the address.
	Unreached Outcome = "Unreached"
	// Abandoned requests were given up by their caller.
	Abandoned Outcome = "Abandoned"
)

// Observe takes in the end of a request at a picked target, and the load that
// came with the answer, if it did.
func (r *Roster) Observe(now time.Time, vm string, outcome Outcome, load *gage.TargetState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[vm]
	if p == nil {
		return
	}
	if load != nil && load.ID == p.Target.ID {
		p.Target.InFlight, p.Target.Queued = load.InFlight, load.Queued
		p.since = 0
	}
	switch outcome {
	case Served:
		p.failing = r.failure(now, p) * (1 - failureGain)
		p.failedAt = now
	case Failed:
		f := r.failure(now, p)
		p.failing, p.failedAt = f+failureGain*(1-f), now
	case Unreached:
		p.avoid = now.Add(avoidFor)
	case Refused, Blocked, Abandoned:
	}
}
