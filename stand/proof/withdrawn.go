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

// promptly is what the letters mean by a few seconds.
const promptly = 10 * time.Second

// outage is how long the store is down after an apply.
const outage = promptly + 4*time.Second

// keyWithdrawn withdraws a key whose callers stay connected, while a node is
// frozen, and then another one through a node, with the store down at once
// after the apply.
func keyWithdrawn() Scenario {
	var up, down time.Time
	return Scenario{
		Point: "KeyWithdrawn",
		Run: func(ctx context.Context, b *Bench) error {
			return b.During(ctx, keyedCallers(), 0, func(ctx context.Context) (err error) {
				sleep(ctx, 2*time.Second)
				if up, err = b.withdrawWithAFrozenNode(ctx); err != nil {
					return err
				}
				sleep(ctx, 2*time.Second)
				down, err = b.withdrawBeforeOutage(ctx, "--node", b.Fleet.VMs[2].OperatorURL())
				return err
			})
		},
		Judge: func(in check.Input) Result {
			first := lastRun(in.Runs, "casa-austral").Sub(up)
			result := judgeOutage(in, down, "casa-rioplata")
			result.hold(first < promptly, "a withdrawn key still ran %s after the apply", first)
			result.Figure = fmt.Sprintf("last run %s after the apply, a node being frozen; %s",
				first.Round(time.Millisecond), result.Figure)
			return result
		},
	}
}

// keyWithdrawnAtStore withdraws a key at the store alone, which goes down at
// once after the apply.
func keyWithdrawnAtStore() Scenario {
	var down time.Time
	return Scenario{
		Point: "KeyWithdrawnAtStore",
		Run: func(ctx context.Context, b *Bench) error {
			return b.During(ctx, keyedCallers(), 0, func(ctx context.Context) (err error) {
				sleep(ctx, 4*time.Second)
				down, err = b.withdrawBeforeOutage(ctx)
				return err
			})
		},
		Judge: func(in check.Input) Result { return judgeOutage(in, down, "casa-rioplata", "casa-austral") },
	}
}

func keyedCallers() *load.Plan {
	return steady(30*time.Second, 2*time.Second,
		callers("casa-austral", 60, search, lodge),
		callers("casa-pampa", 60, search, lodge),
		callers("casa-rioplata", 30, search, dates),
	)
}

// judgeOutage holds that the key withdrawn just before the outage stopped, that
// it was refused for being withdrawn and for nothing else, and that the others
// went on in the meantime.
func judgeOutage(in check.Input, down time.Time, others ...string) Result {
	last := lastRun(in.Runs, "casa-pampa").Sub(down)
	result := judge(check.Owner(in))
	result.hold(last < promptly, "with the store down a withdrawn key still ran %s after the apply", last)
	from, until := down.Add(promptly).UnixMicro(), down.Add(outage).UnixMicro()
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
		known := reason == string(gage.ReasonUnknownKey) || reason == string(gage.ReasonNoConfig)
		result.hold(known, "%d requests with the withdrawn key were refused as %q", number, reason)
	}
	result.hold(len(reasons) > 0, "nothing came with the withdrawn key")
	for _, workspace := range others {
		result.hold(served[workspace] > 0, "%s was not served while the store was down", workspace)
	}
	result.Figure = fmt.Sprintf("last run %s after the apply with the store down at once", last.Round(time.Millisecond))
	return result
}

func (b *Bench) withdrawWithAFrozenNode(ctx context.Context) (time.Time, error) {
	frozen := make(chan error, 1)
	go func() { frozen <- freezeNode(ctx, b.Fleet.VMs[1]) }()
	sleep(ctx, time.Second)
	b.replaceKey("casa-austral")
	at, err := b.Apply(ctx)
	return at, errors.Join(err, <-frozen)
}

func (b *Bench) withdrawBeforeOutage(ctx context.Context, flags ...string) (time.Time, error) {
	b.replaceKey("casa-pampa")
	at, err := b.Apply(ctx, flags...)
	if err != nil {
		return at, err
	}
	if err := b.Fleet.SetStoreFault(ctx, fleet.StoreFault{Mode: "Down"}); err != nil {
		return at, err
	}
	sleep(ctx, outage)
	return at, b.Fleet.SetStoreFault(ctx, fleet.StoreFault{Mode: "None"})
}

// replaceKey withdraws a workspace's key by giving it another one.
func (b *Bench) replaceKey(workspace string) {
	digest := fmt.Sprintf("sha256:%x", sha256.Sum256([]byte("another key of "+workspace)))
	b.Config.Set("Workspace", workspace, "KeyDigests", []string{digest})
}

// lastRun returns when the last run for a workspace began.
func lastRun(runs []record.Run, workspace string) time.Time {
	last := int64(0)
	for _, run := range runs {
		if run.Workspace == workspace {
			last = max(last, run.StartMicros)
		}
	}
	return time.UnixMicro(last)
}
