package route

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxRandomDraws is how many times a target is drawn at random before the
	// list is scanned in order.
	maxRandomDraws = 4
	// crossZoneMargin is how much lower the score of a target in another zone
	// must be for it to be preferred over one in the router's own zone.
	crossZoneMargin = 0.25
	// Of the calls that would be refused as overload, one in probeOneIn is sent to a
	// target nevertheless, so that the router detects the recovery of targets.
	probeOneIn         = 20
	shedRetryAfter     = 500 * time.Millisecond
	noTargetRetryAfter = time.Second
)

// filter states which targets a random draw excludes.
type filter struct {
	excludeTried, excludeEjected, excludeFull bool
}

// filters are applied in order, strictest first, until one leaves a target.
var filters = []filter{
	{excludeTried: true, excludeEjected: true, excludeFull: true},
	{excludeTried: true, excludeEjected: true},
	{excludeTried: true},
}

// picker holds the inputs of one Pick call.
type picker struct {
	random rand.Source
	// now is in Unix nanoseconds.
	now int64
	// rank is the importance rank of the call; 0 is the most important.
	rank            int
	coldConcurrency int64
	// tried names the targets of earlier attempts of the call.
	tried []string
}

// pickTarget returns a target of the service, which must have at least one.
func (p *picker) pickTarget(s *service) *target {
	for _, f := range filters {
		sameZoneTarget := p.pickLessLoaded(s.sameZone, f)
		if sameZoneTarget != nil && p.skipsOtherZones(sameZoneTarget) {
			return sameZoneTarget
		}
		otherZoneTarget := p.pickLessLoaded(s.otherZones, f)
		if best := p.preferSameZone(sameZoneTarget, otherZoneTarget); best != nil {
			return best
		}
	}
	return s.all[p.randomIndex(len(s.all))]
}

// skipsOtherZones reports whether t needs no comparison with targets of other
// zones: its score is so low that none can be better by crossZoneMargin.
func (p *picker) skipsOtherZones(t *target) bool {
	return t.score(p.now, p.coldConcurrency) <= crossZoneMargin && !t.sheds(p.now, p.rank)
}

// preferSameZone returns sameZoneTarget unless otherZoneTarget has a score lower
// by more than crossZoneMargin or only sameZoneTarget sheds the call. Either
// argument may be nil.
func (p *picker) preferSameZone(sameZoneTarget, otherZoneTarget *target) *target {
	if sameZoneTarget == nil || otherZoneTarget == nil {
		if sameZoneTarget != nil {
			return sameZoneTarget
		}
		return otherZoneTarget
	}
	if sameZoneTarget.sheds(p.now, p.rank) && !otherZoneTarget.sheds(p.now, p.rank) {
		return otherZoneTarget
	}
	if sameZoneTarget.score(p.now, p.coldConcurrency) > otherZoneTarget.score(p.now, p.coldConcurrency)+crossZoneMargin {
		return otherZoneTarget
	}
	return sameZoneTarget
}

// pickLessLoaded draws two random targets and returns the less loaded one, or
// nil when the filter excludes all targets.
func (p *picker) pickLessLoaded(list []*target, f filter) *target {
	first := p.drawTarget(list, f, nil)
	if first == nil {
		return nil
	}
	second := p.drawTarget(list, f, first)
	if second == nil {
		return first
	}
	if first.sheds(p.now, p.rank) != second.sheds(p.now, p.rank) {
		if first.sheds(p.now, p.rank) {
			return second
		}
		return first
	}
	if second.score(p.now, p.coldConcurrency) < first.score(p.now, p.coldConcurrency) {
		return second
	}
	return first
}

// drawTarget returns a random target other than exclude that passes the
// filter, or nil when there is none.
func (p *picker) drawTarget(list []*target, f filter, exclude *target) *target {
	if len(list) == 0 {
		return nil
	}
	start := 0
	for range maxRandomDraws {
		start = p.randomIndex(len(list))
		if t := list[start]; t != exclude && p.passes(t, f) {
			return t
		}
	}
	for i := range list {
		if t := list[(start+i)%len(list)]; t != exclude && p.passes(t, f) {
			return t
		}
	}
	return nil
}

func (p *picker) passes(t *target, f filter) bool {
	switch {
	case f.excludeFull && t.full(p.now, p.coldConcurrency):
		return false
	case f.excludeEjected && t.ejected(p.now):
		return false
	}
	return !f.excludeTried || !slices.Contains(p.tried, t.name)
}

// shouldProbe reports whether a call that would be refused as overload is sent
// to a target anyway.
func (p *picker) shouldProbe() bool {
	return p.randomIndex(probeOneIn) == 0
}

// randomIndex returns a random number in [0, n).
func (p *picker) randomIndex(n int) int {
	return int(p.random.Uint64() % uint64(n))
}

// allTargetsShed reports whether, by recent load reports, every target of the
// service would refuse calls of the given importance rank.
func (s *service) allTargetsShed(now int64, rank int) bool {
	for _, t := range s.all {
		if !t.sheds(now, rank) {
			return false
		}
	}
	return true
}

// eject excludes t for ejectionTime, unless more than half of the service's
// targets would then be ejected.
func (s *service) eject(now int64, t *target) {
	ejectedCount := 0
	for _, other := range s.all {
		if other.ejected(now) {
			ejectedCount++
		}
	}
	if 2*(ejectedCount+1) > len(s.all) {
		return
	}
	t.failures.Store(0)
	t.ejectedUntil.Store(now + int64(ejectionTime))
}
