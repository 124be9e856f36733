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

// leavingService is the service whose targets leave; its slow runs are in
// flight when they do.
const leavingService = "search"

// departure is a target that leaves and when it said so, or vanished.
type departure struct {
	way    string
	target string
	at     time.Time
	// until is when it was started again, if it was.
	until time.Time
	// last is when it was last asked for new work, counted from at.
	last time.Duration
}

// leavingCold is how long the targets of the layouts start cold. The operators'
// file asks for longer, so that all targets would still be held to their cold
// concurrency when four of six leave; this scenario is not about that.
const leavingCold = 3 * time.Second

// targetLeaves has one target drain, one leave without draining, one stop as
// planned, and one vanish without a word.
func targetLeaves() Scenario {
	var departures []*departure
	house := &emptyHouse{}
	return Scenario{
		Point: "TargetLeaves",
		Prepare: func(b *Bench) {
			b.Config.Set("Service", leavingService, "ColdStart", leavingCold.String())
			b.eachTarget(leavingService, func(t *fleet.Target) { t.ColdStart = fleet.Duration(leavingCold) })
		},
		Run: func(ctx context.Context, b *Bench) error {
			plan := steady(24*time.Second, 2*time.Second, callers("casa-austral", 100, search))
			return b.During(ctx, plan, 1, func(ctx context.Context) (err error) {
				departures, err = depart(ctx, b, house)
				return err
			})
		},
		Judge: func(in check.Input) Result {
			result := judge()
			result.holdNone(check.NotRun(in))
			result.hold(len(departures) == 4, "only %d targets left", len(departures))
			for _, d := range departures {
				if d.way == "vanished" {
					d.last = house.last().Sub(d.at)
				} else {
					d.last = lastAt(in.Runs, d.target, d.until).Sub(d.at)
				}
				result.hold(d.last < promptly, "%s, which %s, had new work after %s", d.target, d.way, d.last)
				result.Figure += fmt.Sprintf("%s %s, ", d.way, max(0, d.last).Round(time.Millisecond))
			}
			cut := cutRuns(in.Runs, departures)
			result.hold(len(cut) == 0, "cut: %v", cut)
			whole, all, doubt := outcomes(in.Sent)
			result.hold(100*whole >= 97*all, "only %d of %d requests were answered", whole, all)
			result.Figure += fmt.Sprintf("runs cut %d, %d of %d answered, %d attempts in doubt", len(cut), whole, all, doubt)
			return result
		},
	}
}

func depart(ctx context.Context, b *Bench, house *emptyHouse) ([]*departure, error) {
	backs := b.Fleet.Targets(leavingService)
	for _, back := range backs {
		if err := back.SetFault(ctx, "slow", fleet.Fault{Factor: 15}); err != nil {
			return nil, err
		}
	}
	sleep(ctx, 3*time.Second)
	drained, left, stopped, vanished := backs[0], backs[1], backs[2], backs[3]
	var departures []*departure
	note := func(way string, back *fleet.RunningTarget) {
		departures = append(departures, &departure{way: way, target: back.Name, at: time.Now()})
	}
	if err := b.tell(ctx, http.MethodPost, drained.Name, "/drain"); err != nil {
		return nil, err
	}
	note("drained", drained)
	if err := b.tell(ctx, http.MethodDelete, left.Name, ""); err != nil {
		return nil, err
	}
	note("left", left)
	note("stopped", stopped)
	if err := stopped.Process.Stop(stopTimeout); err != nil {
		return nil, err
	}
	sleep(ctx, 2*time.Second)
	vanished.Process.Kill()
	note("vanished", vanished)
	if err := house.open(vanished.URL[len("http://"):]); err != nil {
		return nil, err
	}
	sleep(ctx, promptly+2*time.Second)
	house.close()
	for _, d := range departures {
		d.until = time.Now()
	}
	for _, back := range []*fleet.RunningTarget{stopped, vanished} {
		if err := b.Fleet.StartTarget(back); err != nil {
			return nil, err
		}
	}
	return departures, nil
}

// tell speaks to the node beside a target in the target's name.
func (b *Bench) tell(ctx context.Context, method, target, suffix string) error {
	for _, m := range b.Fleet.VMs {
		for _, back := range m.Targets {
			if back.Name != target {
				continue
			}
			req, err := http.NewRequestWithContext(ctx, method, m.TargetURL()+"/v1/targets/"+target+suffix, http.NoBody)
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
	return fmt.Errorf("there is no target %s", target)
}

func lastAt(runs []record.Run, target string, until time.Time) time.Time {
	last := int64(0)
	for _, run := range runs {
		before := until.IsZero() || run.StartMicros < until.UnixMicro()
		if run.Target == target && before {
			last = max(last, run.StartMicros)
		}
	}
	return time.UnixMicro(last)
}

// cutRuns lists the runs that did not end well at targets that left with a
// word.
func cutRuns(runs []record.Run, departures []*departure) []string {
	var cut []string
	for _, run := range runs {
		for _, d := range departures {
			if run.Target == d.target && d.way != "vanished" && run.Result != record.ResultDone {
				cut = append(cut, fmt.Sprintf("%s at %s: %s", run.ID, run.Target, run.Result))
			}
		}
	}
	return cut
}

// emptyHouse listens at the address of a target that is gone, and notes when
// work still comes. It refuses it as not run.
type emptyHouse struct {
	mu     sync.Mutex
	at     time.Time
	server *http.Server
}

func (h *emptyHouse) open(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	h.server = &http.Server{Handler: h}
	go func() { _ = h.server.Serve(listener) }()
	return nil
}

// ServeHTTP notes one request.
func (h *emptyHouse) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	h.at = time.Now()
	h.mu.Unlock()
	w.Header().Set(header.NotRun, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (h *emptyHouse) last() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.at
}

func (h *emptyHouse) close() { _ = h.server.Close() }
