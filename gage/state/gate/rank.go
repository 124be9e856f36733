package gate

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/shed"
)

// Parameters of the advertised shed rank.
const (
	rankWindow = 250 * time.Millisecond
	// minRefusedShare is the share of the calls of a rank that must be refused in
	// a window for the window to count towards shedding the rank.
	minRefusedShare = 0.95
	// A window counts as having spare capacity if calls were waiting after at most
	// maxWaitingShare of its arrivals.
	maxWaitingShare = 0.1
	// minArrivals is the number of calls of a rank in a window below which the
	// refused share is not evaluated.
	minArrivals = 3
	// minOverloadWindows is the number of consecutive windows in which nearly all
	// calls of a rank must be refused before the rank is shed.
	minOverloadWindows = 3
	// maxRequiredSpareWindows bounds requiredSpareWindows.
	maxRequiredSpareWindows = 16
)

// shedRankTracker determines the ranks that the gate advertises as shed, so that
// upstream nodes refuse them without a call to the target. A rank is shed once
// nearly all of its calls were refused in several consecutive windows. Ranks are
// restored one at a time, each after a number of consecutive windows with spare
// capacity. This number doubles each time a rank must be shed again soon after it
// was restored, so that upstream nodes do not oscillate.
type shedRankTracker struct {
	// rank is the lowest rank that is shed. All higher ranks, which are less
	// important, are shed as well. It is at least 1, so that upstream nodes never
	// refuse calls of the highest importance. At len(gage.Importances), its highest
	// value, nothing is shed.
	rank        int
	windowStart time.Time
	// arrivals and refusals count the calls of the open window by rank.
	arrivals []int
	refusals []int
	// waits counts the arrivals in the open window that left at least one call
	// waiting in the queue.
	waits int
	// refusedFrom is the rank from which on nearly all calls were refused in each
	// of the windows that overloadWindows counts.
	refusedFrom int
	// overloadWindows counts the consecutive windows in which nearly all calls of a
	// rank that is not yet shed were refused.
	overloadWindows int
	// spareWindows counts the consecutive windows with spare capacity.
	spareWindows int
	// requiredSpareWindows is the value of spareWindows at which a rank is restored.
	requiredSpareWindows int
	restoredAt           time.Time
}

func newShedRankTracker(now time.Time) *shedRankTracker {
	return &shedRankTracker{
		rank:                 len(gage.Importances),
		windowStart:          now,
		arrivals:             make([]int, shed.RankCount),
		refusals:             make([]int, shed.RankCount),
		requiredSpareWindows: 1,
	}
}

func (r *shedRankTracker) countArrival(rank int) {
	r.arrivals[rank]++
}

func (r *shedRankTracker) countRefusal(rank int) {
	r.refusals[rank]++
}

func (r *shedRankTracker) countWait() {
	r.waits++
}

// advance evaluates the open window and starts the next one if the window has
// reached its length.
func (r *shedRankTracker) advance(now time.Time) {
	if now.Sub(r.windowStart) < rankWindow {
		return
	}
	refusedFrom := r.windowRefusedFrom()
	if refusedFrom >= r.rank {
		r.overloadWindows = 0
		r.refusedFrom = 0
		r.countSpare(now)
	} else {
		r.refusedFrom = max(r.refusedFrom, refusedFrom)
		r.overloadWindows++
	}
	if r.overloadWindows >= minOverloadWindows {
		r.shedFrom(now, r.refusedFrom)
	}
	r.windowStart = now
	r.waits = 0
	clear(r.arrivals)
	clear(r.refusals)
}

// windowRefusedFrom returns the lowest rank from which on nearly all calls of
// the open window were refused, or len(gage.Importances) if there is none. Ranks
// without calls are skipped.
func (r *shedRankTracker) windowRefusedFrom() int {
	refusedFrom := len(gage.Importances)
	for rank := refusedFrom - 1; rank >= 1; rank-- {
		if r.arrivals[rank] == 0 {
			continue
		}
		if r.arrivals[rank] < minArrivals || float64(r.refusals[rank]) < minRefusedShare*float64(r.arrivals[rank]) {
			break
		}
		refusedFrom = rank
	}
	return refusedFrom
}

// shedFrom sheds the given rank and all less important ones. If this happens soon
// after a rank was restored, the next restoration requires twice as many windows.
func (r *shedRankTracker) shedFrom(now time.Time, rank int) {
	if now.Sub(r.restoredAt) <= time.Duration(r.requiredSpareWindows+minOverloadWindows)*rankWindow {
		r.requiredSpareWindows = min(2*r.requiredSpareWindows, maxRequiredSpareWindows)
	}
	r.rank = rank
	r.spareWindows = 0
	r.refusedFrom = 0
	r.overloadWindows = 0
}

// countSpare counts the open window if it has spare capacity, and restores a
// rank after enough such windows. While nothing is shed, each such window
// halves requiredSpareWindows.
func (r *shedRankTracker) countSpare(now time.Time) {
	if !r.hasSpare() {
		r.spareWindows = 0
		return
	}
	r.spareWindows++
	if r.rank == len(gage.Importances) {
		r.requiredSpareWindows = max(1, r.requiredSpareWindows/2)
		return
	}
	if r.spareWindows >= r.requiredSpareWindows {
		r.rank++
		r.spareWindows = 0
		r.restoredAt = now
	}
}

// hasSpare reports whether the target had spare capacity in the open window.
func (r *shedRankTracker) hasSpare() bool {
	arrivals := 0
	for _, n := range r.arrivals {
		arrivals += n
	}
	return float64(r.waits) <= maxWaitingShare*float64(arrivals)
}
