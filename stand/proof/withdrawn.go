package proof

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/stand/check"
	"github.com/greengagewind/greengagewind/stand/fleet"
	"github.com/greengagewind/greengagewind/stand/load"
	"github.com/greengagewind/greengagewind/stand/record"
)

// reactionLimit is the time within which the fleet must react to a change, such
// as a withdrawn key, a lowered rate, a target that left or a restarted node.
const reactionLimit = 10 * time.Second

// outageLength is how long the store is down after an apply.
const outageLength = reactionLimit + 4*time.Second

// keyWithdrawn withdraws a key while a node is frozen and the callers stay
// connected. Then it withdraws another key with an apply through a node and takes
// the store down right after the apply.
func keyWithdrawn() Scenario {
	var storeUpAppliedAt, storeDownAppliedAt time.Time
	return Scenario{
		Point: "KeyWithdrawn",
		Run: func(ctx context.Context, h *Harness) error {
			return h.During(ctx, withdrawnKeyPlan(), 0, func(ctx context.Context) (err error) {
				sleep(ctx, 2*time.Second)
				if storeUpAppliedAt, err = h.withdrawWithFrozenNode(ctx); err != nil {
					return err
				}
				sleep(ctx, 2*time.Second)
				storeDownAppliedAt, err = h.withdrawBeforeOutage(ctx, "--node", h.Fleet.VMs[2].OperatorURL())
				return err
			})
		},
		Judge: func(in check.Input) Result {
			last := lastRun(in.Runs, "casa-austral").Sub(storeUpAppliedAt)
			result := judgeOutage(in, storeDownAppliedAt, "casa-rioplata")
			result.require(last < reactionLimit, "a withdrawn key still ran %s after the apply", last)
			result.Figure = fmt.Sprintf("last run %s after the apply with a frozen node; %s",
				last.Round(time.Millisecond), result.Figure)
			return result
		},
	}
}

// keyWithdrawnAtStore withdraws a key with an apply to the store, without a node,
// and takes the store down right after the apply.
func keyWithdrawnAtStore() Scenario {
	var storeDownAppliedAt time.Time
	return Scenario{
		Point: "KeyWithdrawnAtStore",
		Run: func(ctx context.Context, h *Harness) error {
			return h.During(ctx, withdrawnKeyPlan(), 0, func(ctx context.Context) (err error) {
				sleep(ctx, 4*time.Second)
				storeDownAppliedAt, err = h.withdrawBeforeOutage(ctx)
				return err
			})
		},
		Judge: func(in check.Input) Result {
			return judgeOutage(in, storeDownAppliedAt, "casa-rioplata", "casa-austral")
		},
	}
}

func withdrawnKeyPlan() *load.Plan {
	return steadyPlan(30*time.Second, 2*time.Second,
		workspaceLoad("casa-austral", 60, searchRequest, lodgeRequest),
		workspaceLoad("casa-pampa", 60, searchRequest, lodgeRequest),
		workspaceLoad("casa-rioplata", 30, searchRequest, datesRequest),
	)
}

// judgeOutage checks that requests with the key withdrawn just before the outage
// stopped running, that they were refused as having an unknown key or for lack
// of a configuration, and that the other workspaces were served meanwhile.
func judgeOutage(in check.Input, storeDownAppliedAt time.Time, others ...string) Result {
	last := lastRun(in.Runs, "casa-pampa").Sub(storeDownAppliedAt)
	result := judge(check.Owner(in))
	result.require(last < reactionLimit, "with the store down a withdrawn key still ran %s after the apply", last)
	from, until := storeDownAppliedAt.Add(reactionLimit).UnixMicro(), storeDownAppliedAt.Add(outageLength).UnixMicro()
	reasons, served := make(map[string]int), make(map[string]int)
	for _, sent := range in.Sent {
		if sent.SentMicros < from || sent.SentMicros >= until {
			continue
		}
		if sent.Whole {
			served[sent.Workspace]++
		}
		if sent.Workspace == "casa-pampa" {
			reasons[sent.Reason]++
		}
	}
	for reason, number := range reasons {
		expected := reason == string(gage.ReasonUnknownKey) || reason == string(gage.ReasonNoConfig)
		result.require(expected, "%d requests with the withdrawn key were refused as %q", number, reason)
	}
	result.require(len(reasons) > 0, "no request was sent with the withdrawn key")
	for _, workspace := range others {
		result.require(served[workspace] > 0, "%s was not served while the store was down", workspace)
	}
	result.Figure = fmt.Sprintf("last run %s after the apply with the store down right after it", last.Round(time.Millisecond))
	return result
}

func (h *Harness) withdrawWithFrozenNode(ctx context.Context) (time.Time, error) {
	freezeDone := make(chan error, 1)
	go func() { freezeDone <- freezeNode(ctx, h.Fleet.VMs[1]) }()
	sleep(ctx, time.Second)
	h.replaceKey("casa-austral")
	appliedAt, err := h.Apply(ctx)
	return appliedAt, errors.Join(err, <-freezeDone)
}

func (h *Harness) withdrawBeforeOutage(ctx context.Context, flags ...string) (time.Time, error) {
	h.replaceKey("casa-pampa")
	appliedAt, err := h.Apply(ctx, flags...)
	if err != nil {
		return appliedAt, err
	}
	if err := h.Fleet.SetStoreFault(ctx, fleet.StoreFault{Mode: "Down"}); err != nil {
		return appliedAt, err
	}
	sleep(ctx, outageLength)
	return appliedAt, h.Fleet.SetStoreFault(ctx, fleet.StoreFault{Mode: "None"})
}

// replaceKey withdraws the key of a workspace by replacing it in the
// configuration.
func (h *Harness) replaceKey(workspace string) {
	digest := fmt.Sprintf("sha256:%x", sha256.Sum256([]byte("another key of "+workspace)))
	h.Config.Set("Workspace", workspace, "KeyDigests", []string{digest})
}

// lastRun returns when the last run for a workspace began, or the Unix epoch if
// there was none.
func lastRun(runs []record.Run, workspace string) time.Time {
	last := int64(0)
	for _, run := range runs {
		if run.Workspace == workspace {
			last = max(last, run.StartMicros)
		}
	}
	return time.UnixMicro(last)
}
