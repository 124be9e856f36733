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
	// longRun is how long requests in flight must last at least.
	longRun = 6 * time.Second
	// longFactor makes runs of 10 ms last from 6.4 s to 9.6 s.
	longFactor   = 800
	longDeadline = 22 * time.Second
	stopsAtMost  = 4 * time.Minute
	settleLength = 2 * time.Second
)

// gracefulStops stops and restarts every node and target in turn while long
// requests are in flight.
func gracefulStops() Scenario {
	stops := 0
	slowest := time.Duration(0)
	return Scenario{
		Point: "GracefulStops",
		Prepare: func(b *Bench) {
			b.Config.Set("Route", "lodge", "Deadline", longDeadline.String())
		},
		Run: func(ctx context.Context, b *Bench) error {
			plan := steady(stopsAtMost, longDeadline,
				callers("casa-austral", 4, lodge),
				callers("casa-pampa", 40, search, dates),
			)
			return b.While(ctx, plan, 3, func(ctx context.Context) (err error) {
				stops, slowest, err = stopAll(ctx, b)
				return err
			})
		},
		Judge: func(in check.Input) Result {
			calm := check.Calm(in)
			result := judge(calm, check.Once(in))
			result.holdNone(check.NotRun(in))
			long := 0
			for _, run := range in.Runs {
				if run.EndMicros-run.StartMicros > longRun.Microseconds() {
					long++
				}
			}
			result.hold(long > 0, "no request lasted %s", longRun)
			whole, all, _ := outcomes(in.Sent)
			result.Figure = fmt.Sprintf("%d stops, the slowest %s, %d requests cut; %d lasted over %s; %d of %d answered",
				stops, slowest.Round(time.Millisecond), calm.Violations, long, longRun, whole, all)
			return result
		},
	}
}

func stopAll(ctx context.Context, b *Bench) (stops int, slowest time.Duration, err error) {
	for _, back := range b.Fleet.Targets("custody") {
		if err := back.SetFault(ctx, "slow", fleet.Fault{Factor: longFactor}); err != nil {
			return stops, slowest, err
		}
	}
	sleep(ctx, longRun)
	stop := func(process *fleet.Process, start func() error) error {
		begun := time.Now()
		if err := process.Stop(stopTimeout); err != nil {
			return err
		}
		stops++
		slowest = max(slowest, time.Since(begun))
		return start()
	}
	for _, m := range b.Fleet.VMs {
		if err := stop(m.Node, func() error { return b.Fleet.StartNode(m) }); err != nil {
			return stops, slowest, err
		}
		if err := awaitNode(ctx, m); err != nil {
			return stops, slowest, err
		}
		sleep(ctx, settleLength)
	}
	for _, m := range b.Fleet.VMs {
		for _, back := range m.Targets {
			if err := stop(back.Process, func() error { return b.Fleet.StartTarget(back) }); err != nil {
				return stops, slowest, err
			}
			sleep(ctx, settleLength)
			if back.Service != "custody" {
				continue
			}
			if err := back.SetFault(ctx, "slow", fleet.Fault{Factor: longFactor}); err != nil {
				return stops, slowest, err
			}
		}
	}
	return stops, slowest, nil
}

// awaitNode waits until a node says that it is ready.
func awaitNode(ctx context.Context, m *fleet.RunningVM) error {
	for end := time.Now().Add(promptly); time.Now().Before(end); sleep(ctx, pollInterval) {
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
	return fmt.Errorf("the node of %s is not ready %s after its start", m.Name, promptly)
}
