package proof

import (
	"context"
	"fmt"
	"time"

	"github.com/greengagewind/greengagewind/stand/check"
	"github.com/greengagewind/greengagewind/stand/fleet"
	"github.com/greengagewind/greengagewind/stand/record"
)

const (
	coldSlots    = 4
	coldDuration = 5 * time.Second
	// coldGrace is how long a target that turned cold unannounced may receive
	// more than its cold concurrency, until the fleet detects that it is cold.
	coldGrace = 2 * time.Second
	// fullUseShare is the ratio of a target's runs to the mean of the other
	// targets above which the target counts as fully used.
	fullUseShare = 0.8
)

// coldTarget restarts one target under load and lets another one turn cold
// unannounced, while its health endpoint reports that it is healthy. The load
// keeps about 8 runs in progress at each target; a cold target has 4 slots.
func coldTarget() Scenario {
	var restarted time.Time
	var targetNames []string
	return Scenario{
		Point: "ColdTarget",
		Prepare: func(h *Harness) {
			h.Config.Set("Service", "search", "ColdConcurrency", coldSlots)
			h.Config.Set("Service", "search", "ColdStart", coldDuration.String())
			h.changeTargets("search", func(t *fleet.Target) {
				t.ServiceTime = fleet.Duration(200 * time.Millisecond)
				t.ColdStart = fleet.Duration(coldDuration)
				t.ColdSlots = coldSlots
			})
		},
		Run: func(ctx context.Context, h *Harness) error {
			plan := steadyPlan(32*time.Second, 2*time.Second, workspaceLoad("casa-austral", 240, searchRequest))
			return h.During(ctx, plan, 0, func(ctx context.Context) (err error) {
				for _, target := range h.Fleet.Targets("search") {
					targetNames = append(targetNames, target.Name)
				}
				restarted, err = makeTargetsCold(ctx, h)
				return err
			})
		},
		Judge: func(in check.Input) Result {
			in.ColdGrace = coldGrace
			cold := check.Cold(in)
			result := judge(cold)
			afterStart, afterTurningCold := coldConcurrency(in.Runs)
			fullAfter := timeToFullUse(in.Runs, targetNames, restarted)
			result.require(fullAfter > 0, "the restarted target did not return to full use")
			answered, total, _ := countOutcomes(in.Sent)
			result.Figure = fmt.Sprintf("at most %d concurrent runs after a start and %d after turning cold, limit %d (%d runs over it); full use after %s; %d of %d answered",
				afterStart, afterTurningCold, coldSlots, cold.Violations, fullAfter.Round(time.Millisecond), answered, total)
			return result
		},
	}
}

func makeTargetsCold(ctx context.Context, h *Harness) (restarted time.Time, err error) {
	targets := h.Fleet.Targets("search")
	sleep(ctx, 8*time.Second)
	if err := targets[1].SetFault(ctx, "health", fleet.Fault{Healthy: true}); err != nil {
		return restarted, err
	}
	if err := targets[1].SetFault(ctx, "cold", fleet.Fault{Seconds: coldDuration.Seconds()}); err != nil {
		return restarted, err
	}
	sleep(ctx, 4*time.Second)
	if err := targets[0].Process.Stop(stopTimeout); err != nil {
		return restarted, err
	}
	return time.Now(), h.Fleet.StartTarget(targets[0])
}

// changeTargets calls change for each target of a service in the layout.
func (h *Harness) changeTargets(service string, change func(t *fleet.Target)) {
	for i := range h.Layout.VM {
		for j := range h.Layout.VM[i].Target {
			if t := &h.Layout.VM[i].Target[j]; t.Service == service {
				change(t)
			}
		}
	}
}

// coldConcurrency returns the maximum number of concurrent runs at targets that
// were cold after a start, and at targets that had turned cold unannounced more
// than coldGrace before.
func coldConcurrency(runs []record.Run) (afterStart, afterTurningCold int) {
	for _, run := range runs {
		switch {
		case !run.Cold || run.Service != "search":
		case !run.TurnedCold:
			afterStart = max(afterStart, run.Concurrency)
		case run.ColdMicros >= coldGrace.Microseconds():
			afterTurningCold = max(afterTurningCold, run.Concurrency)
		}
	}
	return afterStart, afterTurningCold
}

// timeToFullUse returns how long after restarted the target targetNames[0] was
// fully used again: the end of the first second in which it began at least
// fullUseShare of the mean number of runs of the other targets. It returns 0 if
// there was no such second within 30 s.
func timeToFullUse(runs []record.Run, targetNames []string, restarted time.Time) time.Duration {
	if len(targetNames) == 0 {
		return 0
	}
	second := time.Second.Microseconds()
	for elapsed := int64(0); elapsed < 30; elapsed++ {
		from := restarted.UnixMicro() + elapsed*second
		counts := make(map[string]int)
		others := 0
		for _, run := range runs {
			if run.StartMicros < from || run.StartMicros >= from+second || run.Service != "search" {
				continue
			}
			counts[run.Target]++
			if run.Target != targetNames[0] {
				others++
			}
		}
		mean := float64(others) / float64(len(targetNames)-1)
		if mean > 0 && float64(counts[targetNames[0]]) >= fullUseShare*mean {
			return time.Duration(elapsed+1) * time.Second
		}
	}
	return 0
}
