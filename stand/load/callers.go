package load

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagewind/greengagewind/stand/record"
)

// callers sends the requests of all workspaces in one trial.
type callers struct {
	plan *Plan
	// keys maps each workspace to its API key. A workspace that is not in keys
	// sends its requests without a key.
	keys map[string]string
	// directURLs holds the base URLs of the targets for direct requests.
	directURLs []string
	seed       uint64
	// retries is the minimum number of retries of a failed request. A phase may
	// set a higher minimum.
	retries int
	sender  *sender
	// slots is a semaphore that bounds the requests in flight.
	slots chan struct{}
	// directCount counts the requests marked Direct; every second one is sent
	// directly to a target.
	directCount atomic.Int64
	inFlight    sync.WaitGroup
}

// run sends the request of every arrival until the plan or ctx ends, and returns
// when no request is in flight.
func (c *callers) run(ctx context.Context, start time.Time) {
	var generators sync.WaitGroup
	for index := range c.plan.Workspace {
		arrivals := NewArrivals(c.plan, index, len(c.sender.entryURLs), c.seed)
		generators.Go(func() { c.generate(ctx, start, arrivals) })
	}
	generators.Wait()
	c.inFlight.Wait()
}

func (c *callers) generate(ctx context.Context, start time.Time, arrivals *Arrivals) {
	for {
		arrival, ok := arrivals.Next()
		if !ok || !sleepUntil(ctx, start.Add(arrival.Offset)) {
			return
		}
		r := c.request(arrivals.workspace, arrival, start)
		for range 1 + arrival.Request.Copies {
			c.launch(r)
			r.entry++
		}
	}
}

func (c *callers) request(workspace Workspace, arrival Arrival, start time.Time) request {
	r := request{
		id:        fmt.Sprintf("%s-%x-%d", workspace.Name, start.UnixMicro(), arrival.Sequence),
		workspace: workspace.Name,
		key:       c.keys[workspace.Name],
		phase:     arrival.Phase,
		retries:   max(c.retries, arrival.Retries),
		spec:      arrival.Request,
		arrived:   start.Add(arrival.Offset),
		entry:     arrival.Entry,
	}
	if arrival.Request.Open {
		r.key = ""
	}
	if arrival.Request.Direct && len(c.directURLs) > 0 {
		if number := c.directCount.Add(1); number%2 == 0 {
			r.directURL = c.directURLs[int(number/2)%len(c.directURLs)]
		}
	}
	return r
}

// launch sends r on a new goroutine. When the maximum number of requests is in
// flight, it records r as not sent instead.
func (c *callers) launch(r request) {
	select {
	case c.slots <- struct{}{}:
	default:
		c.sender.record(record.Sent{
			ID: r.id, Workspace: r.workspace, Phase: r.phase,
			Route: r.spec.Name, Method: r.spec.Method, Path: r.spec.Path, Idempotent: r.spec.Idempotent,
			Direct: r.directURL != "", Attempt: 1, Last: true,
			ArrivalMicros: r.arrived.UnixMicro(),
			Outcome:       record.OutcomeNotSent, Reason: reasonInFlight,
		})
		return
	}
	c.inFlight.Go(func() {
		defer func() { <-c.slots }()
		c.sender.send(r)
	})
}

// sleepUntil waits until the time at and returns true, or returns false when ctx
// ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
