package load

import (
	"math/rand/v2"
	"time"
)

// Arrival is one planned request of a workspace. The arrivals are open-loop:
// they do not depend on answers.
type Arrival struct {
	// Offset is the time since the start of the trial.
	Offset time.Duration
	// Phase is the name of the phase.
	Phase string
	// Retries is the minimum number of retries of a failed request in the phase.
	Retries int
	Request Request
	// Entry is the index in Options.Entries of the node that gets the first
	// attempt.
	Entry int
	// Sequence counts the workspace's arrivals from 0.
	Sequence int
}

// Arrivals generates the arrivals of one workspace as a Poisson process.
type Arrivals struct {
	plan      *Plan
	workspace Workspace
	rng       *rand.Rand
	// entryCount is the number of nodes in Options.Entries.
	entryCount int
	// phaseIndex is the index of the current phase in plan.Phase.
	phaseIndex int
	// phaseStart is the start of the current phase, and offset is the time of the
	// last arrival. Both are times since the start of the trial.
	phaseStart time.Duration
	offset     time.Duration
	sequence   int
	// totalWeight is the sum of the weights of the request mix.
	totalWeight float64
}

// NewArrivals returns the arrivals of the workspace plan.Workspace[index], spread
// over entryCount nodes. The same seed gives the same arrivals.
func NewArrivals(plan *Plan, index, entryCount int, seed uint64) *Arrivals {
	a := &Arrivals{
		plan:       plan,
		workspace:  plan.Workspace[index],
		rng:        rand.New(rand.NewPCG(seed, uint64(index))),
		entryCount: entryCount,
	}
	for _, request := range a.workspace.Request {
		a.totalWeight += request.Weight
	}
	return a
}

// Next returns the next arrival, or false after the last phase.
func (a *Arrivals) Next() (Arrival, bool) {
	for a.phaseIndex < len(a.plan.Phase) {
		phase := a.plan.Phase[a.phaseIndex]
		end := a.phaseStart + time.Duration(phase.Duration)
		rate := a.workspace.Rate * phase.Factor
		if factor, ok := phase.Factors[a.workspace.Name]; ok {
			rate *= factor
		}
		if rate > 0 {
			gap := a.rng.ExpFloat64() / rate * float64(time.Second)
			a.offset += time.Duration(gap)
			if a.offset < end {
				return a.arrival(phase), true
			}
		}
		// The next arrival would be after the end of this phase. The gaps of a
		// Poisson process are memoryless, so a new gap may be drawn that begins at
		// the start of the next phase.
		a.phaseIndex++
		a.phaseStart = end
		a.offset = end
	}
	return Arrival{}, false
}

func (a *Arrivals) arrival(phase Phase) Arrival {
	arrival := Arrival{
		Offset:   a.offset,
		Phase:    phase.Name,
		Retries:  phase.Retries,
		Request:  a.pickRequest(),
		Entry:    a.rng.IntN(a.entryCount),
		Sequence: a.sequence,
	}
	a.sequence++
	return arrival
}

// pickRequest draws a request from the mix with a probability proportional to
// its weight.
func (a *Arrivals) pickRequest() Request {
	remaining := a.rng.Float64() * a.totalWeight
	for _, request := range a.workspace.Request {
		remaining -= request.Weight
		if remaining < 0 {
			return request
		}
	}
	return a.workspace.Request[len(a.workspace.Request)-1]
}
