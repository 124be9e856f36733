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
	limitedWorkspace = "familias"
	offeredRate      = 240
	loweredRate      = 20
	loweredBurst     = 5
	graceStep        = 250 * time.Millisecond
)

// rateOverFleet sends four times a workspace's rate to one node, and then to all
// nodes while nodes are killed and frozen, the store is down and a new
// configuration generation lowers the rate.
func rateOverFleet() Scenario {
	var loweredAt time.Time
	return Scenario{
		Point: "RateOverFleet",
		Run: func(ctx context.Context, h *Harness) error {
			demand := workspaceLoad(limitedWorkspace, offeredRate, searchRequest, datesRequest)
			entry := h.Fleet.VMs[0].EntryURL()
			if err := h.Send(ctx, steadyPlan(4*time.Second, 2*time.Second, demand), 0, entry); err != nil {
				return err
			}
			return h.During(ctx, steadyPlan(34*time.Second, 2*time.Second, demand), 0, func(ctx context.Context) (err error) {
				loweredAt, err = injectRateFaults(ctx, h)
				return err
			})
		},
		Judge: func(in check.Input) Result {
			atFullRate := check.Rate(in)
			atLoweredRate := check.Rate(withLoweredRate(in, loweredAt.Add(reactionLimit)))
			result := judge(atFullRate, atLoweredRate)
			result.Figure = fmt.Sprintf("%d runs, worst interval %.2f over the rate; served %.0f%% of the rate; lowered rate enforced %s after the apply",
				atFullRate.Checked, overshoot(in), 100*servedShare(in, loweredAt), timeToLoweredRate(in, loweredAt))
			return result
		},
	}
}

func injectRateFaults(ctx context.Context, h *Harness) (loweredAt time.Time, err error) {
	vms := h.Fleet.VMs
	sleep(ctx, 2*time.Second)
	if err := h.killNode(ctx, vms[0]); err != nil {
		return loweredAt, err
	}
	sleep(ctx, 2*time.Second)
	if err := freezeNode(ctx, vms[1]); err != nil {
		return loweredAt, err
	}
	sleep(ctx, 2*time.Second)
	if err := h.Fleet.SetStoreFault(ctx, fleet.StoreFault{Mode: "Down"}); err != nil {
		return loweredAt, err
	}
	sleep(ctx, time.Second)
	if err := h.killNode(ctx, vms[2]); err != nil {
		return loweredAt, err
	}
	sleep(ctx, 4*time.Second)
	if err := h.Fleet.SetStoreFault(ctx, fleet.StoreFault{Mode: "None"}); err != nil {
		return loweredAt, err
	}
	sleep(ctx, time.Second)
	h.Config.Set("Workspace", limitedWorkspace, "Rate", loweredRate)
	h.Config.Set("Workspace", limitedWorkspace, "Burst", loweredBurst)
	return h.Apply(ctx)
}

// withLoweredRate returns the input with the lowered rate as the limit and only
// the runs that began at from or later.
func withLoweredRate(in check.Input, from time.Time) check.Input {
	in.Limits = map[string]limits.Limit{limitedWorkspace: {Name: limitedWorkspace, Rate: loweredRate, Burst: loweredBurst}}
	in.Runs = runsFrom(in.Runs, from)
	return in
}

func runsFrom(runs []record.Run, from time.Time) []record.Run {
	var selected []record.Run
	for _, run := range runs {
		if run.StartMicros >= from.UnixMicro() {
			selected = append(selected, run)
		}
	}
	return selected
}

// overshoot returns by how many requests the worst interval exceeded the rate
// and burst.
func overshoot(in check.Input) float64 {
	return max(0, -check.LowestLevels(in)[limitedWorkspace])
}

// servedShare returns the ratio of the runs that began before until to the
// number that the rate and burst allowed from the first run to until.
func servedShare(in check.Input, until time.Time) float64 {
	first, ran := int64(0), 0
	for _, run := range in.Runs {
		if run.Workspace != limitedWorkspace || run.StartMicros >= until.UnixMicro() {
			continue
		}
		if first == 0 || run.StartMicros < first {
			first = run.StartMicros
		}
		ran++
	}
	limit := in.Limits[limitedWorkspace]
	seconds := until.Sub(time.UnixMicro(first)).Seconds()
	return float64(ran) / (limit.Rate*seconds + limit.Burst)
}

// timeToLoweredRate returns how long after the apply the lowered rate was
// enforced, in steps of graceStep and at most reactionLimit.
func timeToLoweredRate(in check.Input, loweredAt time.Time) time.Duration {
	for grace := time.Duration(0); grace < reactionLimit; grace += graceStep {
		if check.Rate(withLoweredRate(in, loweredAt.Add(grace))).Violations == 0 {
			return grace
		}
	}
	return reactionLimit
}
