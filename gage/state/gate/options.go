package gate

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/limit"
	"github.com/greengagewind/greengagewind/gage/state/ramp"
	"github.com/greengagewind/greengagewind/gage/state/shed"
)

// The bounds of a gate.
const (
	// MaxInFlight bounds the calls in flight at one target under any policy.
	MaxInFlight = 4096
	// queueCapacity bounds the calls that wait for one target.
	queueCapacity = 512
	// defaultStart is the first limit of a target without a capacity hint,
	// and the highest first limit of one that does not ramp up.
	defaultStart = 32
	// lowestLimit is the concurrency that is always left to a target.
	lowestLimit = 4
)

// The patience of the queue: the longer of a time and of what the target
// takes to answer so many calls, up to maxWait.
const (
	longWait   = 100 * time.Millisecond
	longCalls  = 10
	shortWait  = 20 * time.Millisecond
	shortCalls = 2
	maxWait    = time.Second
	// outrankingWaits is how many long waits a call may wait while lower ranks
	// are served: enough for a burst of its rank to pass.
	outrankingWaits = 3
	// expireInterval is the least time between searches of a full queue.
	expireInterval = 5 * time.Millisecond
)

// Options configure a gate.
type Options struct {
	Policy gage.Policy
	// Discipline orders the calls of one workspace and class. It is
	// DisciplineOrder when empty.
	Discipline shed.Discipline
	// MaxConcurrency caps the limit; 0 means no cap but MaxInFlight.
	MaxConcurrency int
	// CapacityHint is the target's own word on its slots, or 0.
	CapacityHint int
	// ColdStart is how long a new target ramps up, or 0.
	ColdStart time.Duration
	// ColdConcurrency is the concurrency that a cold target is first given.
	ColdConcurrency int
}

func (o Options) discipline() shed.Discipline {
	if o.Policy != gage.PolicyAdaptive {
		return shed.DisciplineOldest
	}
	if o.Discipline == "" {
		return shed.DisciplineOrder
	}
	return o.Discipline
}

func (o Options) ceiling() int {
	if o.MaxConcurrency > 0 {
		return min(o.MaxConcurrency, MaxInFlight)
	}
	return MaxInFlight
}

// fixed returns the limit of the policies that measure nothing.
func (o Options) fixed() int {
	if o.MaxConcurrency <= 0 && o.CapacityHint > 0 {
		return min(o.CapacityHint, MaxInFlight)
	}
	if o.MaxConcurrency <= 0 {
		return defaultStart
	}
	return o.ceiling()
}

func (o Options) limit() limit.Options {
	floor := min(lowestLimit, o.ceiling())
	if o.ColdConcurrency > 0 {
		floor = min(floor, o.ColdConcurrency)
	}
	start := defaultStart
	if o.CapacityHint > 0 {
		start = o.CapacityHint
	}
	if o.ColdStart <= 0 {
		start = min(start, defaultStart)
	}
	return limit.Options{
		Start:   min(max(start, floor), o.ceiling()),
		Floor:   floor,
		Ceiling: o.ceiling(),
	}
}

func (o Options) ramp() ramp.Options {
	return ramp.Options{ColdStart: o.ColdStart, InitialConcurrency: max(o.ColdConcurrency, 1)}
}

// flatten makes all calls equal under the policies that know no importance.
func (o Options) flatten(e shed.Entry) shed.Entry {
	if o.Policy == gage.PolicyAdaptive {
		return e
	}
	e.Rank = 0
	e.Nested = false
	e.Workspace = ""
	return e
}
