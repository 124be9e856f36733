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

// zoneOut takes a zone out of service under load and puts it back in service.
func zoneOut() Scenario {
	var outAt, backAt time.Time
	var targets []string
	return Scenario{
		Point: "ZoneOut",
		Run: func(ctx context.Context, h *Harness) error {
			targets = h.Fleet.ZoneTargets(leavingZone)
			plan := steadyPlan(30*time.Second, 2*time.Second,
				workspaceLoad("casa-austral", 60, searchRequest, datesRequest, lodgeRequest, bookRequest),
				workspaceLoad("casa-pampa", 40, searchRequest, datesRequest, lodgeRequest, bookRequest),
			)
			return h.During(ctx, plan, 0, func(ctx context.Context) (err error) {
				sleep(ctx, 3*time.Second)
				h.Config.Set("Zone", leavingZone, "InService", false)
				if outAt, err = h.Apply(ctx); err != nil {
					return err
				}
				sleep(ctx, reactionLimit+3*time.Second)
				h.Config.Set("Zone", leavingZone, "InService", true)
				backAt, err = h.Apply(ctx)
				return err
			})
		},
		Judge: func(in check.Input) Result {
			in.OutOfServiceGrace = reactionLimit
			for _, target := range targets {
				in.OutOfServicePeriods = append(in.OutOfServicePeriods, check.OutOfServicePeriod{Target: target, FromMicros: outAt.UnixMicro(), ToMicros: backAt.UnixMicro()})
			}
			last, first := lastAndFirstRun(in.Runs, targets, outAt, backAt)
			result := judge(check.Once(in))
			result.requireNone(check.NotRun(in))
			result.requireNone(check.OutOfService(in))
			result.require(first > 0 && first < reactionLimit, "the first run in the zone began %s after the zone was back in service (0s: no run)", first)
			answered, total, unknown := countOutcomes(in.Sent)
			result.require(unknown == 0, "%d attempts failed or have an unknown outcome", unknown)
			result.require(100*answered >= 97*total, "only %d of %d requests were answered", answered, total)
			result.Figure = fmt.Sprintf("last new run %s after the apply; first run after %s back in service; %d of %d answered, %d failed or unknown",
				last.Round(time.Millisecond), first.Round(time.Millisecond), answered, total, unknown)
			return result
		},
	}
}

// lastAndFirstRun returns how long after outAt the last run at the targets began
// before backAt, and how long after backAt the first run began. It returns 0 for
// a run that does not exist.
func lastAndFirstRun(runs []record.Run, targets []string, outAt, backAt time.Time) (last, first time.Duration) {
	inZone := make(map[string]bool)
	for _, target := range targets {
		inZone[target] = true
	}
	for _, run := range runs {
		if !inZone[run.Target] {
			continue
		}
		started := time.UnixMicro(run.StartMicros)
		switch {
		case started.Before(backAt):
			last = max(last, started.Sub(outAt))
		case first == 0 || started.Sub(backAt) < first:
			first = started.Sub(backAt)
		}
	}
	return last, first
}

// countOutcomes returns the number of attempts with a complete answer, the number
// of requests, and the number of attempts that failed or have an unknown outcome.
func countOutcomes(sent []record.Sent) (answered, total, unknown int) {
	for _, attempt := range sent {
		if attempt.Last {
			total++
		}
		switch {
		case attempt.Whole:
			answered++
		case attempt.Outcome != string(gage.OutcomeNotRun):
			unknown++
		}
	}
	return answered, total, unknown
}
