package roster

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

const (
	// sampleSize is the number of candidate targets that are compared for a
	// request.
	sampleSize = 6
	// otherZonePenalty is added to the score of a target in another zone.
	otherZonePenalty = 0.35
	// ignoreZoneShare is the share of requests for which otherZonePenalty does not
	// apply. Without this share, a target in a zone that receives no requests might
	// itself receive none while the other zones have capacity. Then no outcome would
	// show whether the target works.
	ignoreZoneShare = 0.05
	// failureWeight is how strongly failures raise the score of a target. If all its
	// requests fail, its score is multiplied by 1+failureWeight.
	failureWeight = 6
	// failureGain is the weight of one outcome in the moving share of failures.
	failureGain = 0.1
	// failureHalfLife is the time after which the failure share of a target counts
	// half if there are no new outcomes.
	failureHalfLife = 2 * time.Second
	// coldUtilization is the least utilization assumed for a cold target. It ranks
	// the target behind all warm targets with free slots.
	coldUtilization = 1.0
	// baseUtilization is added to the utilization of each target, so that
	// failures raise the score of an idle target too.
	baseUtilization = 0.05
	// maxJitter is the largest relative random increase of a score. The increase
	// keeps nodes with the same information from choosing the same target.
	maxJitter = 0.1
	// unreachedPenalty is added to the score of a target whose node could not be
	// reached. It ranks the target behind all others.
	unreachedPenalty = 10
	// avoidDuration is how long unreachedPenalty applies, unless the node
	// reports its state earlier.
	avoidDuration = 500 * time.Millisecond
)

// Pick returns the best target for a request of a service, excluding the VMs in
// tried, or false if there is none. A cold target, or one whose node could not
// be reached, is chosen only if there is no better one.
func (r *Roster) Pick(now time.Time, service string, tried []string) (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := r.candidates(now, service, tried)
	if len(candidates) == 0 {
		return Peer{}, false
	}
	ignoreZone := r.random.Float64() < ignoreZoneShare
	best, bestScore := candidates[0], 0.0
	for i, p := range candidates {
		score := r.score(now, p, ignoreZone)
		if i == 0 || score < bestScore {
			best, bestScore = p, score
		}
	}
	best.startedSinceUpdate++
	best.RateLimit = r.noticesOf(best.Target).RateLimit
	return *best, true
}

// candidates returns at most sampleSize random targets of a service: half of
// them from this node's zone if it has enough, the rest from all zones.
func (r *Roster) candidates(now time.Time, service string, tried []string) []*Peer {
	var sameZone, otherZones []*Peer
	for _, p := range r.ordered {
		switch {
		case p.Target.Service != service || !r.acceptsRequests(now, p) || contains(tried, p.VM):
		case p.Zone == r.zone:
			sameZone = append(sameZone, p)
		default:
			otherZones = append(otherZones, p)
		}
	}
	fromOwnZone := min(sampleSize/2, len(sameZone))
	r.moveSampleToFront(sameZone, fromOwnZone)
	rest := append(otherZones, sameZone[fromOwnZone:]...)
	fromRest := min(sampleSize-fromOwnZone, len(rest))
	r.moveSampleToFront(rest, fromRest)
	return append(sameZone[:fromOwnZone:fromOwnZone], rest[:fromRest]...)
}

// moveSampleToFront moves n random peers to the front of list.
func (r *Roster) moveSampleToFront(list []*Peer, n int) {
	for i := range n {
		j := i + r.random.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
}

// acceptsRequests reports whether the target of a peer may get new requests.
func (r *Roster) acceptsRequests(now time.Time, p *Peer) bool {
	if p.Target.ID == "" || p.Target.Phase != gage.TargetServing || p.Leaving || r.closedZones[p.Zone] || r.noticesOf(p.Target).IsLeaving {
		return false
	}
	if p.VM == r.self {
		return true
	}
	return r.isResponsive(now, p)
}

// score returns the utilization of a target's concurrency limit, raised for
// failures, a cold start, another zone and a node that could not be reached.
// Pick chooses the target with the lowest score.
func (r *Roster) score(now time.Time, p *Peer, ignoreZone bool) float64 {
	score := float64(p.Target.InFlight+p.Target.Queued+p.startedSinceUpdate+1) / float64(max(p.Target.Limit, 1))
	if p.Target.ColdRemaining-now.Sub(p.UpdatedAt) > 0 && p.Target.ColdRate > 0 {
		score = coldUtilization + float64(p.Target.Queued+p.startedSinceUpdate)/p.Target.ColdRate
	}
	score = (score + baseUtilization) * (1 + failureWeight*r.recentFailureShare(now, p)) * (1 + maxJitter*r.random.Float64())
	if p.Zone != r.zone && !ignoreZone {
		score += otherZonePenalty
	}
	if now.Before(p.avoidUntil) {
		score += unreachedPenalty
	}
	return score
}

// recentFailureShare returns the failure share of a peer, reduced by its age.
func (r *Roster) recentFailureShare(now time.Time, p *Peer) float64 {
	if p.failureShare == 0 {
		return 0
	}
	age := now.Sub(p.failureShareAt).Seconds() / failureHalfLife.Seconds()
	return p.failureShare / (1 + age)
}

// Outcome is how a request at a picked target ended.
type Outcome string

// The outcomes of a request at a picked target.
const (
	// Served means that the target answered.
	Served Outcome = "Served"
	// Refused means that the request did not run.
	Refused Outcome = "Refused"
	// Failed means that the target returned an error or no answer.
	Failed Outcome = "Failed"
	// Blocked means that the request failed because a service that the target
	// calls was overloaded, which says nothing about the target.
	Blocked Outcome = "Blocked"
	// Unreached means that no node could be reached at the address.
	Unreached Outcome = "Unreached"
	// Abandoned means that the caller canceled the request.
	Abandoned Outcome = "Abandoned"
)

// Observe records the end of a request at a picked target. Load is the load
// that the target reported with its answer, or nil.
func (r *Roster) Observe(now time.Time, vm string, outcome Outcome, load *gage.TargetState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[vm]
	if p == nil {
		return
	}
	if load != nil && load.ID == p.Target.ID {
		p.Target.InFlight, p.Target.Queued = load.InFlight, load.Queued
		p.startedSinceUpdate = 0
	}
	switch outcome {
	case Served:
		p.failureShare = r.recentFailureShare(now, p) * (1 - failureGain)
		p.failureShareAt = now
	case Failed:
		share := r.recentFailureShare(now, p)
		p.failureShare, p.failureShareAt = share+failureGain*(1-share), now
	case Unreached:
		p.avoidUntil = now.Add(avoidDuration)
	case Refused, Blocked, Abandoned:
	}
}
