package proof

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/greengagewind/greengagewind/gage/protocol/header"
	"github.com/greengagewind/greengagewind/stand/check"
	"github.com/greengagewind/greengagewind/stand/fleet"
	"github.com/greengagewind/greengagewind/stand/record"
)

// leavingService is the service whose targets leave while their slowed-down
// runs are in flight.
const leavingService = "search"

// departure is the leaving of one target.
type departure struct {
	// way is drained, left, stopped or vanished.
	way    string
	target string
	// at is when the target announced that it leaves, or was killed.
	at time.Time
	// until is the end of the observation. Stopped and vanished targets are
	// restarted right after it.
	until time.Time
	// lastRequestAfter is the time from at to the last request that arrived at the
	// target.
	lastRequestAfter time.Duration
}

// leavingColdStart replaces the cold start of the layout and the longer one of
// the configuration file. With the latter, all targets would still be limited to
// their cold concurrency when four of six leave, which this scenario does not
// test.
const leavingColdStart = 3 * time.Second

// targetLeaves drains one target, deregisters one without draining, stops one
// gracefully and kills one. New requests to each must end within reactionLimit.
func targetLeaves() Scenario {
	var departures []*departure
	listener := &lateListener{}
	return Scenario{
		Point: "TargetLeaves",
		Prepare: func(h *Harness) {
			h.Config.Set("Service", leavingService, "ColdStart", leavingColdStart.String())
			h.changeTargets(leavingService, func(t *fleet.Target) { t.ColdStart = fleet.Duration(leavingColdStart) })
		},
		Run: func(ctx context.Context, h *Harness) error {
			plan := steadyPlan(24*time.Second, 2*time.Second, workspaceLoad("casa-austral", 100, searchRequest))
			return h.During(ctx, plan, 1, func(ctx context.Context) (err error) {
				departures, err = removeTargets(ctx, h, listener)
				return err
			})
		},
		Judge: func(in check.Input) Result {
			result := judge()
			result.requireNone(check.NotRun(in))
			result.require(len(departures) == 4, "only %d targets left", len(departures))
			for _, d := range departures {
				if d.way == "vanished" {
					d.lastRequestAfter = listener.last().Sub(d.at)
				} else {
					d.lastRequestAfter = lastStart(in.Runs, d.target, d.until).Sub(d.at)
				}
				result.require(d.lastRequestAfter < reactionLimit, "%s, which %s, received a new request after %s", d.target, d.way, d.lastRequestAfter)
				result.Figure += fmt.Sprintf("%s %s, ", d.way, max(0, d.lastRequestAfter).Round(time.Millisecond))
			}
			interrupted := interruptedRuns(in.Runs, departures)
			result.require(len(interrupted) == 0, "interrupted: %v", interrupted)
			answered, total, unknown := countOutcomes(in.Sent)
			result.require(100*answered >= 97*total, "only %d of %d requests were answered", answered, total)
			result.Figure += fmt.Sprintf("%d runs interrupted, %d of %d answered, %d attempts with unknown outcome", len(interrupted), answered, total, unknown)
			return result
		},
	}
}

func removeTargets(ctx context.Context, h *Harness, listener *lateListener) ([]*departure, error) {
	targets := h.Fleet.Targets(leavingService)
	for _, target := range targets {
		if err := target.SetFault(ctx, "slow", fleet.Fault{Factor: 15}); err != nil {
			return nil, err
		}
	}
	sleep(ctx, 3*time.Second)
	drained, left, stopped, vanished := targets[0], targets[1], targets[2], targets[3]
	var departures []*departure
	addDeparture := func(way string, target *fleet.RunningTarget) {
		departures = append(departures, &departure{way: way, target: target.Name, at: time.Now()})
	}
	if err := h.callTargetAPI(ctx, http.MethodPost, drained.Name, "/drain"); err != nil {
		return nil, err
	}
	addDeparture("drained", drained)
	if err := h.callTargetAPI(ctx, http.MethodDelete, left.Name, ""); err != nil {
		return nil, err
	}
	addDeparture("left", left)
	addDeparture("stopped", stopped)
	if err := stopped.Process.Stop(stopTimeout); err != nil {
		return nil, err
	}
	sleep(ctx, 2*time.Second)
	vanished.Process.Kill()
	addDeparture("vanished", vanished)
	if err := listener.open(vanished.URL[len("http://"):]); err != nil {
		return nil, err
	}
	sleep(ctx, reactionLimit+2*time.Second)
	listener.close()
	for _, d := range departures {
		d.until = time.Now()
	}
	for _, target := range []*fleet.RunningTarget{stopped, vanished} {
		if err := h.Fleet.StartTarget(target); err != nil {
			return nil, err
		}
	}
	return departures, nil
}

// callTargetAPI sends a request about a target to the target interface of the
// node on the same VM, as the target itself would.
func (h *Harness) callTargetAPI(ctx context.Context, method, name, suffix string) error {
	for _, m := range h.Fleet.VMs {
		for _, target := range m.Targets {
			if target.Name != name {
				continue
			}
			req, err := http.NewRequestWithContext(ctx, method, m.TargetURL()+"/v1/targets/"+name+suffix, http.NoBody)
			if err != nil {
				return err
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return err
			}
			return resp.Body.Close()
		}
	}
	return fmt.Errorf("unknown target %s", name)
}

// lastStart returns when the last run at the target began, or the Unix epoch if
// there was none. A zero until means no limit.
func lastStart(runs []record.Run, target string, until time.Time) time.Time {
	last := int64(0)
	for _, run := range runs {
		inTime := until.IsZero() || run.StartMicros < until.UnixMicro()
		if run.Target == target && inTime {
			last = max(last, run.StartMicros)
		}
	}
	return time.UnixMicro(last)
}

// interruptedRuns describes the runs that did not complete at the departed
// targets, except for those at the vanished one.
func interruptedRuns(runs []record.Run, departures []*departure) []string {
	var interrupted []string
	for _, run := range runs {
		for _, d := range departures {
			if run.Target == d.target && d.way != "vanished" && run.Result != record.ResultDone {
				interrupted = append(interrupted, fmt.Sprintf("%s at %s: %s", run.ID, run.Target, run.Result))
			}
		}
	}
	return interrupted
}

// lateListener listens at the address of a killed target and records when the
// last request arrived. It answers every request with the header that says that
// the request was not run.
type lateListener struct {
	mu            sync.Mutex
	lastRequestAt time.Time
	server        *http.Server
}

func (l *lateListener) open(address string) error {
	tcpListener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l.server = &http.Server{Handler: l}
	go func() { _ = l.server.Serve(tcpListener) }()
	return nil
}

// ServeHTTP records the time of the request and refuses it as not run.
func (l *lateListener) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	l.lastRequestAt = time.Now()
	l.mu.Unlock()
	w.Header().Set(header.NotRun, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (l *lateListener) last() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastRequestAt
}

func (l *lateListener) close() { _ = l.server.Close() }
