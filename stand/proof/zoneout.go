package proof

import (
	"context"
	"fmt"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/stand/check"
	"github.com/greengagewind/greengagewind/stand/record"
)

const leavingZone = "zone-b"

// zoneOut takes a zone out of service under load and brings it back.
func zoneOut() Scenario {
	var out, back time.Time
	var targets []string
	return Scenario{
		Point: "ZoneOut",
		Run: func(ctx context.Context, b *Bench) error {
			targets = b.Fleet.ZoneTargets(leavingZone)
			plan := steady(30*time.Second, 2*time.Second,
				callers("casa-austral", 60, search, dates, lodge, book),
				callers("casa-pampa", 40, search, dates, lodge, book),
			)
			return b.During(ctx, plan, 0, func(ctx context.Context) (err error) {
				sleep(ctx, 3*time.Second)
				b.Config.Set("Zone", leavingZone, "InService", false)
				if out, err = b.Apply(ctx); err != nil {
					return err
				}
				sleep(ctx, promptly+3*time.Second)
				b.Config.Set("Zone", leavingZone, "InService", true)
				back, err = b.Apply(ctx)
				return err
			})
		},
		Judge: func(in check.Input) Result {
			in.OutOfServiceGrace = promptly
			for _, target := range targets {
				in.OutOfServicePeriods = append(in.OutOfServicePeriods, check.OutOfServicePeriod{Target: target, FromMicros: out.UnixMicro(), ToMicros: back.UnixMicro()})
			}
			last, first := bounds(in.Runs, targets, out, back)
			result := judge(check.Once(in))
			result.holdNone(check.NotRun(in))
			result.holdNone(check.OutOfService(in))
			result.hold(first > 0 && first < promptly, "the zone had work again only %s after it was brought back", first)
			whole, all, doubt := outcomes(in.Sent)
			result.hold(doubt == 0, "%d requests failed or were left in doubt", doubt)
			result.hold(100*whole >= 97*all, "only %d of %d requests were answered", whole, all)
			result.Figure = fmt.Sprintf("last new work %s after the apply; back at work after %s; %d of %d answered, %d in doubt",
				last.Round(time.Millisecond), first.Round(time.Millisecond), whole, all, doubt)
			return result
		},
	}
}

// bounds returns how long after out the targets had their last new work, and
// how long after back the first.
func bounds(runs []record.Run, targets []string, out, back time.Time) (last, first time.Duration) {
	among := make(map[string]bool)
	for _, target := range targets {
		among[target] = true
	}
	for _, run := range runs {
		if !among[run.Target] {
			continue
		}
		begun := time.UnixMicro(run.StartMicros)
		switch {
		case begun.Before(back):
			last = max(last, begun.Sub(out))
		case first == 0 || begun.Sub(back) < first:
			first = begun.Sub(back)
		}
	}
	return last, first
}

// outcomes counts the callers' requests that were answered whole, all of them,
// and the attempts that ended neither whole nor as not run.
func outcomes(sent []record.Sent) (whole, all, doubt int) {
	for _, attempt := range sent {
		if attempt.Last {
			all++
		}
		switch {
		case attempt.Whole:
			whole++
		case attempt.Outcome != string(gage.OutcomeNotRun):
			doubt++
		}
	}
	return whole, all, doubt
}
