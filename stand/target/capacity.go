package target

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxCongestionFactor limits the factor by which congestion lengthens a run.
	maxCongestionFactor = 25.0
	// serviceTimeJitter is the largest deviation of a service time from the mean,
	// as a fraction of the mean.
	serviceTimeJitter = 0.2
)

// Capacity simulates the capacity of a target. A run takes the service time when
// no more runs than slots are in progress at its start. Otherwise the target is
// congested, and the run takes longer by the square of the ratio of runs to slots,
// so that more concurrency yields less throughput. When slots and queue are full,
// further requests are shed. While the target is cold, it is congested when the
// runs exceed its cold slots. Capacity is safe for concurrent use.
type Capacity struct {
	mu        sync.Mutex
	rng       *rand.Rand
	slots     int
	queue     int
	coldSlots int
	// coldStart is how long the target stays cold after it turned cold, and
	// after each overrun of its cold slots.
	coldStart time.Duration
	coldSince time.Time
	coldUntil time.Time
	// turnedCold means that TurnCold was called.
	turnedCold  bool
	serviceTime time.Duration
	faults      Faults
	stats       Stats
}

// Faults are the faults that the control interface injects into runs.
type Faults struct {
	// SlowFactor multiplies service times; 0 means 1.
	SlowFactor float64
	// FailShare and TruncateShare are the probabilities, from 0 to 1, that a run
	// fails or that its answer is truncated.
	FailShare     float64
	TruncateShare float64
}

// Stats holds the counts of a target since its start.
type Stats struct {
	// Runs counts runs started, and Sheds counts requests shed because slots
	// and queue were full.
	Runs  int
	Sheds int
	// Canceled counts runs that the caller canceled.
	Canceled int
	// Concurrency is the number of runs in progress.
	Concurrency int
	// MaxConcurrency is the highest concurrency since the start, and
	// MaxColdConcurrency the highest at the start of a run on the cold target.
	MaxConcurrency     int
	MaxColdConcurrency int
	// ColdOverruns counts runs started on the cold target while all its cold
	// slots were in use.
	ColdOverruns int
	// Cold means that the target is cold now.
	Cold bool
}

// Admission describes one admitted run.
type Admission struct {
	// Duration is the service time of the run, congestion included.
	Duration time.Duration
	// Concurrency is the number of runs in progress, including this one.
	Concurrency int
	// Cold means that the target was cold when the run started.
	Cold bool
	// ColdSlots is the number of slots of the target while it is cold.
	ColdSlots int
	// ColdFor is the time since the start of the target, or since the last call
	// of TurnCold, whether or not the target is still cold.
	ColdFor time.Duration
	// TurnedCold means that the target turned cold through the control interface
	// since its start.
	TurnedCold bool
	// Fail and Truncate mean that the run has to fail, or that its answer has to
	// be truncated, because of an injected fault.
	Fail     bool
	Truncate bool
}

// NewCapacity returns the capacity that o describes. It is cold from now until
// now plus o.ColdStart.
func NewCapacity(o *Options, now time.Time) *Capacity {
	return &Capacity{
		rng:         rand.New(rand.NewPCG(o.Seed, 1)),
		slots:       o.Slots,
		queue:       o.Queue,
		coldSlots:   o.ColdSlots,
		coldStart:   o.ColdStart,
		coldSince:   now,
		coldUntil:   now.Add(o.ColdStart),
		serviceTime: o.ServiceTime,
	}
}

// Begin starts a run and takes a slot for it, which End has to release. It returns
// false when slots and queue are full and the request is shed. A run that exceeds
// the cold slots of a cold target starts the cold period anew.
func (c *Capacity) Begin(now time.Time) (Admission, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stats.Concurrency >= c.slots+c.queue {
		c.stats.Sheds++
		return Admission{}, false
	}
	c.stats.Runs++
	c.stats.Concurrency++
	concurrency := c.stats.Concurrency
	c.stats.MaxConcurrency = max(c.stats.MaxConcurrency, concurrency)
	cold := now.Before(c.coldUntil)
	congestionThreshold := c.slots
	if cold {
		congestionThreshold = min(c.coldSlots, c.slots)
		c.stats.MaxColdConcurrency = max(c.stats.MaxColdConcurrency, concurrency)
		if concurrency > congestionThreshold {
			c.stats.ColdOverruns++
			c.coldUntil = now.Add(c.coldStart)
		}
	}
	return Admission{
		Duration:    c.duration(concurrency, congestionThreshold),
		Concurrency: concurrency,
		Cold:        cold,
		ColdSlots:   c.coldSlots,
		ColdFor:     now.Sub(c.coldSince),
		TurnedCold:  c.turnedCold,
		Fail:        c.rng.Float64() < c.faults.FailShare,
		Truncate:    c.rng.Float64() < c.faults.TruncateShare,
	}, true
}

// End ends a run and releases its slot. canceled means that the caller canceled
// the run.
func (c *Capacity) End(canceled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Concurrency--
	if canceled {
		c.stats.Canceled++
	}
}

// Stats returns the counts, and whether the target is cold at now.
func (c *Capacity) Stats(now time.Time) Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.stats
	stats.Cold = now.Before(c.coldUntil)
	return stats
}

// UpdateFaults passes the current faults to update, which changes them. update is
// called under the lock of c and must not call methods of c.
func (c *Capacity) UpdateFaults(update func(*Faults)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(&c.faults)
}

// TurnCold makes the target cold for coldStart, and sets the cold period of later
// overruns to the same duration.
func (c *Capacity) TurnCold(now time.Time, coldStart time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldStart = coldStart
	c.coldSince = now
	c.turnedCold = true
	c.coldUntil = now.Add(coldStart)
}

// duration returns the service time of a run that starts at the given
// concurrency. Above congestionThreshold runs at once, the target is congested.
func (c *Capacity) duration(concurrency, congestionThreshold int) time.Duration {
	factor := 1 + serviceTimeJitter*(2*c.rng.Float64()-1)
	if c.faults.SlowFactor > 0 {
		factor *= c.faults.SlowFactor
	}
	if concurrency > congestionThreshold {
		overload := float64(concurrency) / float64(congestionThreshold)
		factor *= min(overload*overload, maxCongestionFactor)
	}
	return time.Duration(factor * float64(c.serviceTime))
}
