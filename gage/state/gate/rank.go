package gate

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/shed"
)

// The bounds of the advertised rank.
const (
	rankWindow = 250 * time.Millisecond
	// refusedShare is the share of the calls of a rank that must be refused
	// before the rank is advertised as shed.
	refusedShare = 0.95
	// waitingShare is the share of calls that may have to wait in a window
	// that counts as slack.
	waitingShare = 0.1
	minArrivals  = 3
	// refusedWindows is how many windows in a row must be so.
	refusedWindows = 3
	// maxHold is the longest run of slack windows asked for before a rank is
	// let in again.
	maxHold = 16
)

// ranks finds the lowest rank that is being shed. A rank is advertised as shed
// once nearly all of its calls were refused in several windows in a row. It is let in again,
// one rank at a time, after a run of windows with slack; the run doubles each
// time the rank has to be shed again at once, so that upstream nodes do not
// swing.
type ranks struct {
	// shed lies between 1, so that the highest importance is never refused
	// upstream, and len(gage.Importances), which sheds none.
	shed     int
	windowAt time.Time
	arrived  []int
	refused  []int
	waited   int
	// lowest is the lowest rank that was refused in all of the last windows,
	// and windows counts them.
	lowest  int
	windows int
	// slack counts the windows with slack in a row.
	slack int
	// hold is the run of slack windows asked for.
	hold     int
	raisedAt time.Time
}

func newRanks(now time.Time) *ranks {
	return &ranks{
		shed:     len(gage.Importances),
		windowAt: now,
		arrived:  make([]int, shed.RankCount),
		refused:  make([]int, shed.RankCount),
		hold:     1,
	}
}

func (r *ranks) arrive(rank int) {
	r.arrived[rank]++
}

func (r *ranks) refuse(rank int) {
	r.refused[rank]++
}

func (r *ranks) wait() {
	r.waited++
}

// roll closes the window when it is long enough.
func (r *ranks) roll(now time.Time) {
	if now.Sub(r.windowAt) < rankWindow {
		return
	}
	lowest := r.lowestRefused()
	if lowest >= r.shed {
		r.windows = 0
		r.lowest = 0
		r.raise(now)
	} else {
		r.lowest = max(r.lowest, lowest)
		r.windows++
	}
	if r.windows >= refusedWindows {
		r.lower(now, r.lowest)
	}
	r.windowAt = now
	r.waited = 0
	clear(r.arrived)
	clear(r.refused)
}

// lowestRefused returns the lowest rank from which on nearly all calls of the
// window were refused.
func (r *ranks) lowestRefused() int {
	lowest := len(gage.Importances)
	for rank := lowest - 1; rank >= 1; rank-- {
		if r.arrived[rank] == 0 {
			continue
		}
		if r.arrived[rank] < minArrivals || float64(r.refused[rank]) < refusedShare*float64(r.arrived[rank]) {
			break
		}
		lowest = rank
	}
	return lowest
}

func (r *ranks) lower(now time.Time, rank int) {
	if now.Sub(r.raisedAt) <= time.Duration(r.hold+refusedWindows)*rankWindow {
		r.hold = min(2*r.hold, maxHold)
	}
	r.shed = rank
	r.slack = 0
	r.lowest = 0
	r.windows = 0
}

func (r *ranks) raise(now time.Time) {
	if !r.hasSlack() {
		r.slack = 0
		return
	}
	r.slack++
	if r.shed == len(gage.Importances) {
		r.hold = max(1, r.hold/2)
		return
	}
	if r.slack >= r.hold {
		r.shed++
		r.slack = 0
		r.raisedAt = now
	}
}

func (r *ranks) hasSlack() bool {
	arrived := 0
	for _, n := range r.arrived {
		arrived += n
	}
	return float64(r.waited) <= waitingShare*float64(arrived)
}
