package score

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The histograms record latencies from one microsecond to one minute.
	lowestMicros  = 1
	highestMicros = 60_000_000
	// significantDigits is the number of significant decimal digits that the
	// histograms preserve.
	significantDigits = 3
)

// PhaseScore holds the measures of the requests whose planned arrival lies in
// one phase.
type PhaseScore struct {
	Name     string
	Role     Role
	Requests int
	// Within counts the requests within their workspace's rate and burst.
	Within int
	// Whole counts all whole requests, including those beyond the rate.
	Whole int
	// Goodput is the number of whole requests per second.
	Goodput float64
	// P50Micros and P99Micros are latency percentiles of whole requests,
	// measured from the planned arrival.
	P50Micros int64
	P99Micros int64
}

func scorePhases(phases []Phase, requests []request) []PhaseScore {
	scores := make([]PhaseScore, 0, len(phases))
	for _, phase := range phases {
		scores = append(scores, scorePhase(phase, requests))
	}
	return scores
}

func scorePhase(phase Phase, requests []request) PhaseScore {
	phaseScore := PhaseScore{Name: phase.Name, Role: phase.Role}
	latencies := newHistogram()
	for _, r := range requests {
		if !phase.contains(r.arrivalMicros) {
			continue
		}
		phaseScore.Requests++
		if r.withinRate {
			phaseScore.Within++
		}
		if r.whole {
			phaseScore.Whole++
			observe(latencies, r.latencyMicros)
		}
	}
	if seconds := float64(phase.EndMicros-phase.StartMicros) / 1e6; seconds > 0 {
		phaseScore.Goodput = float64(phaseScore.Whole) / seconds
	}
	phaseScore.P50Micros = latencies.ValueAtPercentile(50)
	phaseScore.P99Micros = latencies.ValueAtPercentile(99)
	return phaseScore
}

func (p Phase) contains(micros int64) bool {
	return p.StartMicros <= micros && micros < p.EndMicros
}

// goodput returns the number of whole requests per second over all phases.
func goodput(phases []Phase, requests []request) float64 {
	if len(phases) == 0 {
		return 0
	}
	whole := 0
	for _, r := range requests {
		if r.whole {
			whole++
		}
	}
	spanMicros := phases[len(phases)-1].EndMicros - phases[0].StartMicros
	return float64(whole) / (float64(spanMicros) / 1e6)
}

// roleShare returns the share of the requests within the rate that were whole, as
// countWithin counts them, over all phases of a role. It returns -1 when no request
// within the rate arrived in these phases.
func roleShare(phases []Phase, requests []request, role Role) float64 {
	within, whole := 0, 0
	for _, phase := range phases {
		if phase.Role != role {
			continue
		}
		phaseWithin, phaseWhole := countWithin(requests, phase.StartMicros, phase.EndMicros)
		within += phaseWithin
		whole += phaseWhole
	}
	if within == 0 {
		return -1
	}
	return share(whole, within)
}

// countWithin considers the requests that arrived at or after startMicros and
// before endMicros. It returns the number of those within the rate, and how many of
// these count as whole. When a workspace exceeds its rate, the fleet may choose
// which of its requests to serve. Therefore any whole request of a workspace
// counts, up to the workspace's number of requests within the rate.
func countWithin(requests []request, startMicros, endMicros int64) (within, whole int) {
	withinByWorkspace := make(map[string]int)
	wholeByWorkspace := make(map[string]int)
	for _, r := range requests {
		if r.arrivalMicros < startMicros || r.arrivalMicros >= endMicros {
			continue
		}
		if r.withinRate {
			withinByWorkspace[r.workspace]++
		}
		if r.whole {
			wholeByWorkspace[r.workspace]++
		}
	}
	for workspace, number := range withinByWorkspace {
		within += number
		whole += min(number, wholeByWorkspace[workspace])
	}
	return within, whole
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

func observe(h *hdrhistogram.Histogram, micros int64) {
	// RecordValue fails only for values outside the range of the histogram. This
	// cannot happen here, since the value is clamped to that range.
	_ = h.RecordValue(min(max(micros, lowestMicros), highestMicros))
}
