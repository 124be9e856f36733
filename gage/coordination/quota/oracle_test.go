package quota_test

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// configGracePeriod is how long calls may still use tokens that were granted under a
// configuration, once all processes have replaced that configuration.
const configGracePeriod = 300 * time.Millisecond

// oracle checks, in true time, that the calls with a token stayed within the
// limits in force.
type oracle struct {
	// callTimes are the times at which tokens were used, by workspace.
	callTimes map[string][]time.Time
	// spans holds the configurations that were in use over time, in order of time.
	spans []configSpan
}

// configSpan is a span of time in which the same configurations were in use. It
// ends where the next one begins.
type configSpan struct {
	startsAt time.Time
	// oldestIndex and newestIndex are indexes in simulation.configs.
	oldestIndex, newestIndex int
	// rate and burst are the highest rate and the highest burst in these
	// configurations, by workspace.
	rate, burst map[string]float64
}

func newOracle() *oracle {
	return &oracle{callTimes: make(map[string][]time.Time)}
}

func (o *oracle) recordCall(workspace string, now time.Time) {
	o.callTimes[workspace] = append(o.callTimes[workspace], now)
}

// recordConfigs records which configurations are in use from now on. These are the
// oldest configuration that a running process has adopted, the newest one that was
// applied, and all between them.
func (o *oracle) recordConfigs(sim *simulation) {
	newest := len(sim.configs) - 1
	oldest := newest
	for _, n := range sim.nodes {
		if n.isRunning && n.configIndex >= 0 {
			oldest = min(oldest, n.configIndex)
		}
	}
	if newest < 0 {
		return
	}
	if len(o.spans) > 0 && o.spans[len(o.spans)-1].oldestIndex == oldest && o.spans[len(o.spans)-1].newestIndex == newest {
		return
	}
	s := configSpan{startsAt: sim.now, oldestIndex: oldest, newestIndex: newest, rate: make(map[string]float64), burst: make(map[string]float64)}
	for _, config := range sim.configs[oldest:] {
		for _, workspace := range config.Workspaces {
			s.rate[workspace.Name] = math.Max(s.rate[workspace.Name], workspace.Rate)
			s.burst[workspace.Name] = math.Max(s.burst[workspace.Name], workspace.Burst)
		}
	}
	o.spans = append(o.spans, s)
}

// check returns an error for an interval in which a workspace exceeded its
// limits, or nil.
func (o *oracle) check() error {
	for workspace, times := range o.callTimes {
		if err := o.checkWorkspace(workspace, times); err != nil {
			return err
		}
	}
	return nil
}

// checkWorkspace checks every interval: the number of calls may exceed the number
// that the rate allows by at most the largest burst in use in the interval. It makes
// one pass for each burst. A pass considers only intervals in which no larger burst
// was in use, and in which no call came within configGracePeriod after a larger burst
// was in use. excess is the level of a leaky bucket that drains at the rate. It equals
// the largest excess of all considered intervals that end at the current call.
func (o *oracle) checkWorkspace(workspace string, times []time.Time) error {
	for _, burst := range o.distinctBursts(workspace) {
		excess := 0.0
		for i, at := range times {
			lookback := at.Add(-configGracePeriod)
			if i > 0 && times[i-1].Before(lookback) {
				lookback = times[i-1]
			}
			allowed, largest := o.limitsBetween(workspace, lookback, at)
			if largest > burst {
				excess = 0
				continue
			}
			if i > 0 {
				allowed, _ = o.limitsBetween(workspace, times[i-1], at)
			}
			excess = math.Max(1, excess+1-allowed)
			if excess > burst+1e-6 {
				return fmt.Errorf("%s: in an interval up to %v, %v calls exceeded the rate; burst is %v", workspace, at, excess, burst)
			}
		}
	}
	return nil
}

func (o *oracle) distinctBursts(workspace string) []float64 {
	var bursts []float64
	for _, s := range o.spans {
		if !slices.Contains(bursts, s.burst[workspace]) {
			bursts = append(bursts, s.burst[workspace])
		}
	}
	return bursts
}

// limitsBetween returns the number of calls that the rate allows from start to
// end, and the largest burst that was in use in that time.
func (o *oracle) limitsBetween(workspace string, start, end time.Time) (allowed, burst float64) {
	for i, s := range o.spans {
		from, to := s.startsAt, end
		if i+1 < len(o.spans) && o.spans[i+1].startsAt.Before(end) {
			to = o.spans[i+1].startsAt
		}
		if from.Before(start) {
			from = start
		}
		if to.Before(from) {
			continue
		}
		allowed += s.rate[workspace] * to.Sub(from).Seconds()
		burst = math.Max(burst, s.burst[workspace])
	}
	return allowed, burst
}
