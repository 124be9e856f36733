package grind

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/greengagewind/greengagewind/stand/plat"
)

const (
	// callersPerVM is the number of callers at each VM. A caller sends one request
	// at a time.
	callersPerVM = 3
	// thinkTime is the mean pause of a caller between two requests.
	thinkTime = 20 * time.Millisecond
	// requestDeadline is the deadline that callers set for each request.
	requestDeadline = 3 * time.Second
	// maxPrintedViolations limits the violations that the report lists.
	maxPrintedViolations = 10
)

// callers send requests to all VMs and record their outcomes.
type callers struct {
	cluster  *cluster
	mu       sync.Mutex
	outcomes []Outcome
	// mustServeFrom is the time from which minServedShare of the requests must be
	// served.
	mustServeFrom time.Time
	sendLoops     sync.WaitGroup
	done          chan struct{}
}

func newCallers(c *cluster) *callers {
	return &callers{cluster: c, done: make(chan struct{})}
}

func (c *callers) start(ctx context.Context) {
	for i, v := range c.cluster.vms {
		for j := range callersPerVM {
			c.sendLoops.Add(1)
			random := rand.New(rand.NewPCG(c.cluster.options.Seed, uint64(i*callersPerVM+j+1)))
			go c.sendLoop(ctx, v, random, fmt.Sprintf("%s-%d", v.name, j))
		}
	}
}

// requireServiceFrom sets the time from which minServedShare of the requests must
// be served.
func (c *callers) requireServiceFrom(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mustServeFrom = at
}

func (c *callers) stop() {
	close(c.done)
	c.sendLoops.Wait()
}

func (c *callers) sendLoop(ctx context.Context, v *vm, random *rand.Rand, name string) {
	defer c.sendLoops.Done()
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}, Timeout: requestDeadline + time.Second}
	for n := 0; ; n++ {
		select {
		case <-c.done:
			return
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.Int64N(int64(2 * thinkTime)))):
		}
		o := c.randomRequest(random)
		o.ID, o.VM = fmt.Sprintf("%s-%d", name, n), v.name
		patience := 2 * requestDeadline
		if random.IntN(100) < leavingPercent {
			patience = time.Duration(random.Int64N(int64(maxPatience)))
		}
		send(client, v.address(portCallers), patience, &o)
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
	}
}

const (
	// lodgePercent and temporaryRoutePercent are the percentages of requests on
	// the routes "lodge" and temporaryRoute. All others are on the route "look".
	lodgePercent          = 30
	temporaryRoutePercent = 10
	// withdrawnKeyPercent is the percentage of requests with a withdrawn key. All
	// others have the key in force.
	withdrawnKeyPercent = 5
	// leavingPercent is the percentage of requests whose callers wait for the answer at
	// most a random time up to maxPatience.
	leavingPercent = 5
	maxPatience    = 200 * time.Millisecond
)

// randomRequest returns a request with a random workspace, route and key. It is
// represented by an Outcome without the fields that send sets.
func (c *callers) randomRequest(random *rand.Rand) Outcome {
	o := Outcome{Route: "look", Idempotent: true, Workspace: workspaces[random.IntN(len(workspaces))]}
	switch n := random.IntN(100); {
	case n < lodgePercent:
		o.Route, o.Idempotent = "lodge", false
	case n < lodgePercent+temporaryRoutePercent:
		o.Route = temporaryRoute
	}
	o.Key = c.cluster.operator.key(o.Workspace, random.IntN(100) < withdrawnKeyPercent)
	return o
}

// send sends the request that o describes and sets the times and the answer in o. It
// closes the connection if there is no answer after the time patience. The body is an
// empty stream, so that net/http cannot retry the request.
func send(client *http.Client, address string, patience time.Duration, o *Outcome) {
	method := http.MethodGet
	if !o.Idempotent {
		method = http.MethodPost
	}
	o.Sent = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	defer func() {
		o.Received = time.Now()
		if o.Status == 0 && ctx.Err() != nil {
			o.LeftAt = o.Received
		}
	}()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/"+o.Route+"/1", io.NopCloser(io.LimitReader(emptyReader{}, 0)))
	if err != nil {
		return
	}
	r.Host = host
	r.Header.Set("X-Request-Id", o.ID)
	r.Header.Set("X-Key", o.Key)
	r.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(requestDeadline.Milliseconds()))
	response, err := client.Do(r)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	o.Status = response.StatusCode
	signature := response.Header.Get("X-Response-Signature")
	o.Target = strings.TrimPrefix(signature, plat.SignaturePrefix)
	o.NamesRateLimit, o.SaysLeaving = response.Header.Get(headerRateLimit) != "", response.Header.Get(headerLeaving) != ""
	isCorrect := string(body) == "answer to "+o.ID && signature != ""
	o.WrongAnswer = o.Status == http.StatusOK && !isCorrect
}

type emptyReader struct{}

// Read returns io.EOF.
func (emptyReader) Read([]byte) (int, error) { return 0, io.EOF }

// report prints a summary and the first violations of guarantees. It returns an
// error when there are violations, or when too few of the requests sent from
// mustServeFrom on were served.
func (c *callers) report(out io.Writer) error {
	record := c.cluster.collectRecord(c.outcomes)
	violations := Check(record)
	statuses := make(map[int]int)
	for _, o := range c.outcomes {
		statuses[o.Status]++
	}
	served, counted := countServed(c.outcomes, c.mustServeFrom)
	_, _ = fmt.Fprintf(out, "%d requests, by status (0: no answer): %v\n", len(c.outcomes), statuses)
	_, _ = fmt.Fprintf(out, "%d of %d served in the period without faults at the end; %d store calls; %d faults and maintenance actions, %d changes\n",
		served, counted, c.cluster.store.Calls(), len(c.cluster.events), len(record.Changes))
	for i, v := range violations {
		if i == maxPrintedViolations {
			break
		}
		_, _ = fmt.Fprintln(out, "VIOLATION:", v)
	}
	switch {
	case len(violations) > 0:
		return fmt.Errorf("%d violations of guarantees", len(violations))
	case counted == 0 || float64(served) < minServedShare*float64(counted):
		return fmt.Errorf("%d of %d requests were served in the period without faults, less than a share of %g", served, counted, minServedShare)
	}
	return nil
}

// collectRecord returns the outcomes with the runs, arrivals and changes of the
// whole fleet.
func (c *cluster) collectRecord(outcomes []Outcome) *Record {
	r := &Record{
		Outcomes: outcomes, Arrivals: make(map[string][]plat.Arrival), Changes: c.history.sortedChanges(),
		Disturbed: c.history.disturbed, Stopping: c.history.stopping,
	}
	for _, v := range c.vms {
		for _, t := range v.targets.all() {
			for _, run := range t.Runs() {
				r.Runs = append(r.Runs, Execution{Run: run, VM: v.name, Zone: v.zone, Service: t.Service})
			}
			r.Arrivals[t.Service] = append(r.Arrivals[t.Service], t.Arrivals()...)
		}
	}
	sort.SliceStable(r.Runs, func(i, j int) bool { return r.Runs[i].At.Before(r.Runs[j].At) })
	for _, arrivals := range r.Arrivals {
		sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].At.Before(arrivals[j].At) })
	}
	return r
}
