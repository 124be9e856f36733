package gate

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/limit"
	"github.com/greengagewind/greengagewind/gage/state/ramp"
	"github.com/greengagewind/greengagewind/gage/state/shed"
)

// Bounds of a gate.
const (
	// MaxInFlight bounds the calls in flight at one target under any policy.
	MaxInFlight = 4096
	// queueCapacity bounds the calls that wait for one target.
	queueCapacity = 512
	// defaultInitialLimit is the initial limit of a target without a capacity
	// hint. It also bounds the initial limit of a target without a cold start.
	defaultInitialLimit = 32
	// minLimit is the lowest concurrency limit, unless MaxConcurrency or
	// ColdConcurrency is lower.
	minLimit = 4
)

// Limits on the time that calls wait in the queue. The normal limit is the longer
// of normalWait and the time in which the target serves normalWaitCalls. The limit
// for a standing queue is the longer of standingWait and the time in which the
// target serves standingWaitCalls. Neither service time counts for more than
// maxWait.
const (
	normalWait        = 100 * time.Millisecond
	normalWaitCalls   = 10
	standingWait      = 20 * time.Millisecond
	standingWaitCalls = 2
	maxWait           = time.Second
	// burstWaitFactor is the wait limit for a burst relative to the normal limit.
	// It leaves a burst enough time to drain.
	burstWaitFactor = 3
	// expireInterval is the least time between two searches of a full queue for
	// calls that may no longer be admitted.
	expireInterval = 5 * time.Millisecond
)

// Options configure a gate.
type Options struct {
	Policy gage.Policy
	// Discipline is the order in which the calls of one workspace and class are
	// served under PolicyAdaptive. Empty means DisciplineShedOrder. The other
	// policies always use DisciplineOldest.
	Discipline shed.Discipline
	// MaxConcurrency caps the concurrency limit. 0 means MaxInFlight.
	MaxConcurrency int
	// CapacityHint is the number of slots that the target itself reports, or 0 if it
	// reports no number.
	CapacityHint int
	// ColdStart is the length of the cold start of a new target. 0 means that targets
	// do not start cold.
	ColdStart time.Duration
	// ColdConcurrency is the concurrency at the beginning of a cold start.
	ColdConcurrency int
}

func (o Options) discipline() shed.Discipline {
	if o.Policy != gage.PolicyAdaptive {
		return shed.DisciplineOldest
	}
	if o.Discipline == "" {
		return shed.DisciplineShedOrder
	}
	return o.Discipline
}

// ceiling returns the highest concurrency limit.
func (o Options) ceiling() int {
	if o.MaxConcurrency > 0 {
		return min(o.MaxConcurrency, MaxInFlight)
	}
	return MaxInFlight
}

// fixedLimit returns the limit under PolicyFixed and PolicyQueueDelay, which do not
// adapt it.
func (o Options) fixedLimit() int {
	if o.MaxConcurrency <= 0 && o.CapacityHint > 0 {
		return min(o.CapacityHint, MaxInFlight)
	}
	if o.MaxConcurrency <= 0 {
		return defaultInitialLimit
	}
	return o.ceiling()
}

func (o Options) limitOptions() limit.Options {
	floor := min(minLimit, o.ceiling())
	if o.ColdConcurrency > 0 {
		floor = min(floor, o.ColdConcurrency)
	}
	initial := defaultInitialLimit
	if o.CapacityHint > 0 {
		initial = o.CapacityHint
	}
	if o.ColdStart <= 0 {
		initial = min(initial, defaultInitialLimit)
	}
	return limit.Options{
		Start:   min(max(initial, floor), o.ceiling()),
		Floor:   floor,
		Ceiling: o.ceiling(),
	}
}

func (o Options) rampOptions() ramp.Options {
	return ramp.Options{ColdStart: o.ColdStart, InitialConcurrency: max(o.ColdConcurrency, 1)}
}

// removePriority clears what distinguishes the entry from others, under a policy
// that treats all calls alike: its importance, its workspace and whether it is
// nested.
func (o Options) removePriority(e shed.Entry) shed.Entry {
	if o.Policy == gage.PolicyAdaptive {
		return e
	}
	e.Rank = 0
	e.Nested = false
	e.Workspace = ""
	return e
}
