package proof

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/greengagewind/greengagewind/stand/check"
	"github.com/greengagewind/greengagewind/stand/fleet"
)

const (
	// longRun is the minimum length of the runs that count as long.
	longRun = 6 * time.Second
	// slowdownFactor makes runs of 10 ms last from 6.4 s to 9.6 s.
	slowdownFactor  = 800
	longDeadline    = 22 * time.Second
	maxPlanLength   = 4 * time.Minute
	restartInterval = 2 * time.Second
)

// gracefulStops stops and restarts every node and target in turn while long
// requests are in flight.
func gracefulStops() Scenario {
	stops := 0
	slowest := time.Duration(0)
	return Scenario{
		Point: "GracefulStops",
		Prepare: func(h *Harness) {
			h.Config.Set("Route", "lodge", "Deadline", longDeadline.String())
		},
		Run: func(ctx context.Context, h *Harness) error {
			plan := steadyPlan(maxPlanLength, longDeadline,
				workspaceLoad("casa-austral", 4, lodgeRequest),
				workspaceLoad("casa-pampa", 40, searchRequest, datesRequest),
			)
			return h.While(ctx, plan, 3, func(ctx context.Context) (err error) {
				stops, slowest, err = restartAll(ctx, h)
				return err
			})
		},
		Judge: func(in check.Input) Result {
			failures := check.NoFailures(in)
			result := judge(failures, check.Once(in))
			result.requireNone(check.NotRun(in))
			longRuns := 0
			for _, run := range in.Runs {
				if run.EndMicros-run.StartMicros > longRun.Microseconds() {
					longRuns++
				}
			}
			result.require(longRuns > 0, "no request lasted %s", longRun)
			answered, total, _ := countOutcomes(in.Sent)
			result.Figure = fmt.Sprintf("%d stops, the slowest %s, %d requests interrupted; %d lasted over %s; %d of %d answered",
				stops, slowest.Round(time.Millisecond), failures.Violations, longRuns, longRun, answered, total)
			return result
		},
	}
}

func restartAll(ctx context.Context, h *Harness) (stops int, slowest time.Duration, err error) {
	for _, target := range h.Fleet.Targets("custody") {
		if err := target.SetFault(ctx, "slow", fleet.Fault{Factor: slowdownFactor}); err != nil {
			return stops, slowest, err
		}
	}
	sleep(ctx, longRun)
	restart := func(process *fleet.Process, start func() error) error {
		started := time.Now()
		if err := process.Stop(stopTimeout); err != nil {
			return err
		}
		stops++
		slowest = max(slowest, time.Since(started))
		return start()
	}
	for _, m := range h.Fleet.VMs {
		if err := restart(m.Node, func() error { return h.Fleet.StartNode(m) }); err != nil {
			return stops, slowest, err
		}
		if err := awaitNode(ctx, m); err != nil {
			return stops, slowest, err
		}
		sleep(ctx, restartInterval)
	}
	for _, m := range h.Fleet.VMs {
		for _, target := range m.Targets {
			if err := restart(target.Process, func() error { return h.Fleet.StartTarget(target) }); err != nil {
				return stops, slowest, err
			}
			sleep(ctx, restartInterval)
			if target.Service != "custody" {
				continue
			}
			if err := target.SetFault(ctx, "slow", fleet.Fault{Factor: slowdownFactor}); err != nil {
				return stops, slowest, err
			}
		}
	}
	return stops, slowest, nil
}

// awaitNode waits until /readyz of a node answers with status 200, for at most
// reactionLimit.
func awaitNode(ctx context.Context, m *fleet.RunningVM) error {
	for end := time.Now().Add(reactionLimit); time.Now().Before(end); sleep(ctx, pollInterval) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, m.OperatorURL()+"/readyz", http.NoBody)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the node of %s is not ready %s after its start", m.Name, reactionLimit)
}
