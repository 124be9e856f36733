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
	coldBears  = 4
	coldLength = 5 * time.Second
	// coldGrace is how long a target that turned cold without a word may be
	// overrun before the fleet has noticed.
	coldGrace = 2 * time.Second
	// fullUse is the share of the other targets' runs at which a target counts
	// as fully used.
	fullUse = 0.8
)

// coldTarget restarts one target under load and lets another turn cold
// without a word while its health endpoint says that all is well. The demand
// keeps about 8 runs in progress at each target, of which a cold one bears 4.
func coldTarget() Scenario {
	var restarted time.Time
	var names []string
	return Scenario{
		Point: "ColdTarget",
		Prepare: func(b *Bench) {
			b.Config.Set("Service", "search", "ColdConcurrency", coldBears)
			b.Config.Set("Service", "search", "ColdStart", coldLength.String())
			b.eachTarget("search", func(t *fleet.Target) {
				t.ServiceTime = fleet.Duration(200 * time.Millisecond)
				t.ColdStart = fleet.Duration(coldLength)
				t.ColdSlots = coldBears
			})
		},
		Run: func(ctx context.Context, b *Bench) error {
			plan := steady(32*time.Second, 2*time.Second, callers("casa-austral", 240, search))
			return b.During(ctx, plan, 0, func(ctx context.Context) (err error) {
				for _, back := range b.Fleet.Targets("search") {
					names = append(names, back.Name)
				}
				restarted, err = chill(ctx, b)
				return err
			})
		},
		Judge: func(in check.Input) Result {
			in.ColdGrace = coldGrace
			cold := check.Cold(in)
			result := judge(cold)
			started, chilled := coldConcurrency(in.Runs)
			full := untilFull(in.Runs, names, restarted)
			result.hold(full > 0, "the restarted target was not fully used again")
			whole, all, _ := outcomes(in.Sent)
			result.Figure = fmt.Sprintf("at most %d at once after a start and %d when it turned cold, of %d borne (%d runs over); full use after %s; %d of %d answered",
				started, chilled, coldBears, cold.Violations, full.Round(time.Millisecond), whole, all)
			return result
		},
	}
}

func chill(ctx context.Context, b *Bench) (restarted time.Time, err error) {
	backs := b.Fleet.Targets("search")
	sleep(ctx, 8*time.Second)
	if err := backs[1].SetFault(ctx, "health", fleet.Fault{Healthy: true}); err != nil {
		return restarted, err
	}
	if err := backs[1].SetFault(ctx, "cold", fleet.Fault{Seconds: coldLength.Seconds()}); err != nil {
		return restarted, err
	}
	sleep(ctx, 4*time.Second)
	if err := backs[0].Process.Stop(stopTimeout); err != nil {
		return restarted, err
	}
	return time.Now(), b.Fleet.StartTarget(backs[0])
}

// eachTarget changes the targets of a service in the layout.
func (b *Bench) eachTarget(service string, change func(t *fleet.Target)) {
	for i := range b.Layout.VM {
		for j := range b.Layout.VM[i].Target {
			if t := &b.Layout.VM[i].Target[j]; t.Service == service {
				change(t)
			}
		}
	}
}

// coldConcurrency returns the most runs in progress at cold targets: those that
// had started, and those that turned cold once the grace was over.
func coldConcurrency(runs []record.Run) (started, chilled int) {
	for _, run := range runs {
		switch {
		case !run.Cold || run.Service != "search":
		case !run.Chilled:
			started = max(started, run.Concurrency)
		case run.ColdMicros >= coldGrace.Microseconds():
			chilled = max(chilled, run.Concurrency)
		}
	}
	return started, chilled
}

// untilFull returns how long after its restart the first target began nearly
// as many runs in a second as the others on average, or 0.
func untilFull(runs []record.Run, names []string, restarted time.Time) time.Duration {
	if len(names) == 0 {
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
			if run.Target != names[0] {
				others++
			}
		}
		mean := float64(others) / float64(len(names)-1)
		if mean > 0 && float64(counts[names[0]]) >= fullUse*mean {
			return time.Duration(elapsed+1) * time.Second
		}
	}
	return 0
}
