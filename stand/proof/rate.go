package proof

import (
	"context"
	"fmt"
	"time"

	"github.com/greengagewind/greengagewind/stand/check"
	"github.com/greengagewind/greengagewind/stand/fleet"
	"github.com/greengagewind/greengagewind/stand/limits"
	"github.com/greengagewind/greengagewind/stand/record"
)

const (
	greedy       = "familias"
	greedyDemand = 240
	lowRate      = 20
	lowBurst     = 5
	graceStep    = 250 * time.Millisecond
)

// rateOverFleet sends four times a workspace's rate at one node and then at
// all, while nodes are killed and frozen, the store is down, and a generation
// lowers the rate.
func rateOverFleet() Scenario {
	var lowered time.Time
	return Scenario{
		Point: "RateOverFleet",
		Run: func(ctx context.Context, b *Bench) error {
			demand := callers(greedy, greedyDemand, search, dates)
			entry := b.Fleet.VMs[0].EntryURL()
			if err := b.Send(ctx, steady(4*time.Second, 2*time.Second, demand), 0, entry); err != nil {
				return err
			}
			return b.During(ctx, steady(34*time.Second, 2*time.Second, demand), 0, func(ctx context.Context) (err error) {
				lowered, err = rateFaults(ctx, b)
				return err
			})
		},
		Judge: func(in check.Input) Result {
			high := check.Rate(in)
			low := check.Rate(underLow(in, lowered.Add(promptly)))
			result := judge(high, low)
			result.Figure = fmt.Sprintf("%d runs, worst interval %.2f over; served %.0f%% of the rate; lower rate kept from %s on",
				high.Checked, overshoot(in), 100*servedOfRate(in, lowered), keptFrom(in, lowered))
			return result
		},
	}
}

func rateFaults(ctx context.Context, b *Bench) (lowered time.Time, err error) {
	machines := b.Fleet.VMs
	sleep(ctx, 2*time.Second)
	if err := b.killNode(ctx, machines[0]); err != nil {
		return lowered, err
	}
	sleep(ctx, 2*time.Second)
	if err := freezeNode(ctx, machines[1]); err != nil {
		return lowered, err
	}
	sleep(ctx, 2*time.Second)
	if err := b.Fleet.SetStoreFault(ctx, fleet.StoreFault{Mode: "Down"}); err != nil {
		return lowered, err
	}
	sleep(ctx, time.Second)
	if err := b.killNode(ctx, machines[2]); err != nil {
		return lowered, err
	}
	sleep(ctx, 4*time.Second)
	if err := b.Fleet.SetStoreFault(ctx, fleet.StoreFault{Mode: "None"}); err != nil {
		return lowered, err
	}
	sleep(ctx, time.Second)
	b.Config.Set("Workspace", greedy, "Rate", lowRate)
	b.Config.Set("Workspace", greedy, "Burst", lowBurst)
	return b.Apply(ctx)
}

// underLow keeps the runs from a time on and holds them against the lower rate.
func underLow(in check.Input, from time.Time) check.Input {
	in.Limits = map[string]limits.Limit{greedy: {Name: greedy, Rate: lowRate, Burst: lowBurst}}
	in.Runs = runsFrom(in.Runs, from)
	return in
}

func runsFrom(runs []record.Run, from time.Time) []record.Run {
	var kept []record.Run
	for _, run := range runs {
		if run.StartMicros >= from.UnixMicro() {
			kept = append(kept, run)
		}
	}
	return kept
}

// overshoot returns by how many requests the worst interval broke the rate.
func overshoot(in check.Input) float64 {
	return max(0, -check.LowestLevels(in)[greedy])
}

// servedOfRate is the share of what the rate allowed that ran before a time.
func servedOfRate(in check.Input, until time.Time) float64 {
	first, ran := int64(0), 0
	for _, run := range in.Runs {
		if run.Workspace != greedy || run.StartMicros >= until.UnixMicro() {
			continue
		}
		if first == 0 || run.StartMicros < first {
			first = run.StartMicros
		}
		ran++
	}
	limit := in.Limits[greedy]
	seconds := until.Sub(time.UnixMicro(first)).Seconds()
	return float64(ran) / (limit.Rate*seconds + limit.Burst)
}

// keptFrom returns how long after the apply the lower rate was kept.
func keptFrom(in check.Input, lowered time.Time) time.Duration {
	for grace := time.Duration(0); grace < promptly; grace += graceStep {
		if check.Rate(underLow(in, lowered.Add(grace))).Violations == 0 {
			return grace
		}
	}
	return promptly
}
