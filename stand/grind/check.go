package grind

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/greengagewind/greengagewind/stand/plat"
)

// The bounds that the platform's pages give the fleet.
const (
	revokeBound  = 5 * time.Second
	configBound  = 2 * time.Second
	evacuateZone = 5 * time.Second
	drainBound   = 2 * time.Second
	// settled is for how long a VM or the store must have been undisturbed
	// before bounds on time hold there.
	settled = 3 * time.Second
	// storeStretch is by how much a disturbed store stretches them.
	storeStretch = 5 * time.Second

	rateWindow  = 5 * time.Second
	rateOverage = 0.1
	rateSlack   = 20

	coldWindow  = time.Second
	coldOverage = 1.5
	coldSlack   = 5
	coldPerS    = 20

	repeatWindow = 10 * time.Second
	repeatStep   = time.Second
	repeatRatio  = 0.2
	repeatSlack  = 50
)

// Outcome is a request as its caller saw it.
type Outcome struct {
	ID string
	// VM is where it began.
	VM string
	// Route is the name of its route.
	Route, Workspace, Key string
	Repeatable            bool
	// Status is 0 when there was no answer.
	Status int
	// Mixed tells that a success was not the whole answer to the request.
	Mixed          bool
	Sent, Received time.Time
}

// Execution is a run with where it was.
type Execution struct {
	plat.Run
	VM, Zone string
}

// ChangeKind is what an operator or a target changed.
type ChangeKind string

// The kinds of changes.
const (
	KeyAdded     ChangeKind = "KeyAdded"
	KeyWithdrawn ChangeKind = "KeyWithdrawn"
	RouteAdded   ChangeKind = "RouteAdded"
	RouteRemoved ChangeKind = "RouteRemoved"
	RateSet      ChangeKind = "RateSet"
	ZoneClosed   ChangeKind = "ZoneClosed"
	ZoneOpened   ChangeKind = "ZoneOpened"
	// TargetLeaves and TargetBegins name one lifetime of a target.
	TargetLeaves ChangeKind = "TargetLeaves"
	TargetBegins ChangeKind = "TargetBegins"
)

// Change is one change, from when it was acknowledged.
type Change struct {
	At   time.Time
	Kind ChangeKind
	// What names the key, route, workspace, zone or lifetime.
	What string
	// VM is that of a target.
	VM string
	// Rate and Burst are those of a workspace.
	Rate, Burst float64
	// Cold is how long a target that begins stays cold.
	Cold time.Duration
}

// Record is what callers, targets and operators saw.
type Record struct {
	Outcomes []Outcome
	// Runs and Arrivals are in the order of their times.
	Runs     []Execution
	Arrivals map[string][]plat.Arrival
	// Changes are in the order of their times.
	Changes []Change
	// Disturbed tells whether a VM, or the store, was disturbed in a span.
	Disturbed func(who string, from, to time.Time) bool
	// Stopping tells whether a VM was being stopped as planned in a span.
	Stopping func(vm string, from, to time.Time) bool
}

// theStore names the store where VMs are named.
const theStore = "store"

// checker collects the broken promises.
type checker struct {
	*Record
	byID       map[string][]Execution
	violations []string
}

// Check returns a line for each broken promise.
func Check(r *Record) []string {
	c := &checker{Record: r, byID: make(map[string][]Execution)}
	for _, run := range r.Runs {
		c.byID[run.ID] = append(c.byID[run.ID], run)
	}
	for i := range r.Outcomes {
		c.checkOutcome(&r.Outcomes[i])
	}
	c.checkRates()
	c.checkZones()
	c.checkTargets()
	for service, arrivals := range r.Arrivals {
		c.checkRepeats(service, arrivals)
	}
	sort.Strings(c.violations)
	return c.violations
}

func (c *checker) broken(promise, format string, args ...any) {
	c.violations = append(c.violations, promise+": "+fmt.Sprintf(format, args...))
}

func (c *checker) checkOutcome(o *Outcome) {
	ran := c.byID[o.ID]
	said := fmt.Sprintf("request %s, status %d, %d runs", o.ID, o.Status, len(ran))
	if o.Mixed {
		c.broken("an answer is whole and belongs to its request", "%s", said)
	}
	if !o.Repeatable && len(ran) > 1 {
		c.broken("what may not be repeated runs at most once", "%s", said)
	}
	refusal := o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests
	if !o.Repeatable && refusal && len(ran) > 0 {
		c.broken("what was refused has not run", "%s", said)
	}
	if o.Status == http.StatusOK && len(ran) == 0 {
		c.broken("what was answered has run", "%s", said)
	}
	if o.Status == 0 && len(ran) > 0 && c.Stopping(o.VM, o.Sent, o.Received) && !c.anyDisturbed(o.Sent.Add(-settled), o.Received) {
		c.broken("a planned stop cuts no request", "%s", said)
	}
	for _, r := range ran {
		if r.Workspace != o.Workspace || r.Key != "" {
			c.broken("a run is for the workspace of its key, which stays hidden", "%s", said)
		}
		if r.Millis < 0 || r.Millis > int(deadline.Milliseconds()) {
			c.broken("a run gets no more time than its caller gave", "%s", said)
		}
	}
	c.checkKey(o, said)
	c.checkRoute(o, said)
}

// anyDisturbed reports whether anything was disturbed in a span.
func (c *checker) anyDisturbed(from, to time.Time) bool { return c.Disturbed("", from, to) }

// checkKey holds what is promised of keys: one that was withdrawn is dead
// everywhere, and one that all configurations hold is never turned away.
func (c *checker) checkKey(o *Outcome, said string) {
	added, withdrawn := c.span(KeyAdded, KeyWithdrawn, o.Key)
	if !withdrawn.IsZero() && o.Sent.After(withdrawn.Add(revokeBound)) && len(c.byID[o.ID]) > 0 {
		c.broken("a withdrawn key runs nothing", "%s, %s after it was withdrawn", said, o.Sent.Sub(withdrawn))
	}
	known := added.Add(configBound + storeStretch)
	if c.Disturbed(o.VM, added, o.Sent) || c.Disturbed(theStore, added, o.Sent) {
		known = added.Add(longest + settled + configBound + storeStretch)
	}
	valid := o.Sent.After(known) && (withdrawn.IsZero() || o.Received.Before(withdrawn))
	if valid && (o.Status == http.StatusUnauthorized || o.Status == http.StatusForbidden) {
		c.broken("a proper request is not denied", "%s", said)
	}
}

// span returns when a thing came and when it went, zero while it has not.
func (c *checker) span(came, went ChangeKind, what string) (from, to time.Time) {
	for _, change := range c.Changes {
		switch {
		case change.What == what && change.Kind == came:
			from, to = change.At, time.Time{}
		case change.What == what && change.Kind == went:
			to = change.At
		}
	}
	return from, to
}

// checkRoute holds that an undisturbed node follows routes that come and go.
func (c *checker) checkRoute(o *Outcome, said string) {
	if o.Status == http.StatusBadRequest {
		c.broken("a proper request is not denied", "%s", said)
	}
	last, before := c.lastChange(o.Route, o.Sent)
	if c.Disturbed(o.VM, o.Sent.Add(-settled), o.Received) || c.Disturbed(theStore, last.At.Add(-settled), o.Sent) {
		return
	}
	if !before || o.Sent.Sub(last.At) < configBound {
		return
	}
	if last.Kind == RouteRemoved && len(c.byID[o.ID]) > 0 {
		c.broken("a route that was removed runs nothing", "%s, %s after it was removed", said, o.Sent.Sub(last.At))
	}
	if last.Kind == RouteAdded && o.Status == http.StatusNotFound && !c.changes(o.Route, last.At, o.Received) {
		c.broken("a route that was added is known", "%s, %s after it was added", said, o.Sent.Sub(last.At))
	}
}

// lastChange returns the last change of a route before a time.
func (c *checker) lastChange(route string, at time.Time) (last Change, found bool) {
	for _, change := range c.Changes {
		isRoute := change.Kind == RouteAdded || change.Kind == RouteRemoved
		if isRoute && change.What == route && change.At.Before(at) {
			last, found = change, true
		}
	}
	return last, found
}

func (c *checker) changes(what string, after, before time.Time) bool {
	for _, change := range c.Changes {
		if change.What == what && change.At.After(after) && change.At.Before(before) {
			return true
		}
	}
	return false
}

// checkRates holds that no workspace gets more than its rate and burst.
func (c *checker) checkRates() {
	sent := make(map[string]time.Time, len(c.Outcomes))
	for _, o := range c.Outcomes {
		sent[o.ID] = o.Sent
	}
	limited := make(map[string]bool)
	for _, change := range c.Changes {
		limited[change.What] = limited[change.What] || change.Kind == RateSet
	}
	runs := make(map[string][]Execution)
	for _, r := range c.Runs {
		if _, caller := sent[r.ID]; caller && limited[r.Workspace] {
			runs[r.Workspace] = append(runs[r.Workspace], r)
		}
	}
	for workspace, of := range runs {
		c.checkRate(workspace, of, sent)
	}
}

func (c *checker) checkRate(workspace string, runs []Execution, sent map[string]time.Time) {
	for _, first := range runs {
		from := sent[first.ID]
		end, n := from.Add(rateWindow), 0
		for _, r := range runs {
			if !sent[r.ID].Before(from) && !r.At.After(end) {
				n++
			}
		}
		if most := c.mostAllowed(workspace, from, end); float64(n) > most {
			c.broken("no workspace gets more than its rate", "%s had %d runs in %s from %s on, %.0f are allowed", workspace, n, rateWindow,
				from.UTC().Format(eventTime), most)
			return
		}
	}
}

// mostAllowed returns how many runs a workspace may have in a window, by the
// highest of the rates that may be in force.
func (c *checker) mostAllowed(workspace string, from, to time.Time) float64 {
	from = from.Add(-rateWindow - configBound - storeStretch - settled - longest)
	most := 0.0
	for _, change := range c.Changes {
		if change.Kind != RateSet || change.What != workspace || change.At.After(to) {
			continue
		}
		allowed := (change.Rate*rateWindow.Seconds()+change.Burst)*(1+rateOverage) + rateSlack
		if change.At.Before(from) {
			most = allowed
			continue
		}
		most = max(most, allowed)
	}
	return most
}

// checkZones holds that a zone taken out gets no new work.
func (c *checker) checkZones() {
	for i, closed := range c.Changes {
		if closed.Kind != ZoneClosed {
			continue
		}
		until := c.next(i, ZoneOpened, closed.What)
		for _, r := range c.Runs {
			late := r.Zone == closed.What && r.At.After(closed.At.Add(evacuateZone)) && r.At.Before(until)
			if !late || c.Disturbed(r.VM, r.At.Add(-settled), r.At) || c.Disturbed(theStore, closed.At.Add(-settled), r.At) {
				continue
			}
			c.broken("a zone taken out gets no new work", "request %s at %s, %s after it was taken out", r.ID, r.VM, r.At.Sub(closed.At))
		}
	}
}

// next returns when the next change of a kind comes, or the far future.
func (c *checker) next(i int, kind ChangeKind, what string) time.Time {
	for _, change := range c.Changes[i+1:] {
		if change.Kind == kind && change.What == what {
			return change.At
		}
	}
	return c.Changes[i].At.Add(time.Hour)
}

// checkTargets holds what is promised of targets that leave or begin.
func (c *checker) checkTargets() {
	of := make(map[string][]Execution)
	for _, r := range c.Runs {
		of[r.Expected] = append(of[r.Expected], r)
	}
	for _, change := range c.Changes {
		switch change.Kind {
		case TargetLeaves:
			c.checkLeaving(change, of[change.What])
		case TargetBegins:
			c.checkCold(change, of[change.What])
		}
	}
}

func (c *checker) checkLeaving(left Change, runs []Execution) {
	for _, r := range runs {
		if r.At.After(left.At.Add(drainBound)) && !c.Disturbed(r.VM, left.At.Add(-settled), r.At) {
			c.broken("a leaving target gets no new work", "request %s at %s, %s after it said so", r.ID, left.What, r.At.Sub(left.At))
		}
	}
}

func (c *checker) checkCold(began Change, runs []Execution) {
	const most = coldPerS*coldOverage + coldSlack
	warm := began.At.Add(began.Cold)
	for i, first := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.At.After(warm) || r.At.Sub(first.At) > coldWindow {
				break
			}
			n++
		}
		if n > most {
			c.broken("a cold target gets no more than it bears", "%s had %d runs in %s from %s on, %.0f are allowed", began.What, n, coldWindow,
				first.At.UTC().Format(eventTime), most)
			return
		}
	}
}

// checkRepeats holds the bound on what a service gets beyond the first arrival
// of each request. Requests that were refused on the way are not counted,
// which is stricter.
func (c *checker) checkRepeats(service string, arrivals []plat.Arrival) {
	if len(arrivals) == 0 {
		return
	}
	seen := make(map[string]bool, len(arrivals))
	var firsts, repeats []time.Time
	for _, a := range arrivals {
		if seen[a.ID] {
			repeats = append(repeats, a.At)
			continue
		}
		seen[a.ID] = true
		firsts = append(firsts, a.At)
	}
	end := arrivals[len(arrivals)-1].At
	for from := arrivals[0].At; from.Before(end); from = from.Add(repeatStep) {
		requests := max(within(firsts, from), within(firsts, from.Add(-repeatWindow/2)), within(firsts, from.Add(-repeatWindow)))
		most := repeatRatio*float64(requests) + repeatSlack
		if n := within(repeats, from); float64(n) > most {
			c.broken("repeats are bounded", "%s had %d repeats in %s from %s on, %.0f are allowed", service, n, repeatWindow,
				from.UTC().Format(eventTime), most)
			return
		}
	}
}

// within counts the times in the window that begins at from.
func within(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(repeatWindow)) {
			n++
		}
	}
	return n
}

// servedAfter counts the requests sent after a time, and those of them that
// were served, leaving out those that no configuration allows.
func servedAfter(outcomes []Outcome, from time.Time) (served, all int) {
	for _, o := range outcomes {
		if from.IsZero() || o.Sent.Before(from) || strings.HasPrefix(o.Route, passingRoute) {
			continue
		}
		if o.Status == http.StatusUnauthorized || o.Status == http.StatusTooManyRequests {
			continue
		}
		all++
		if o.Status == http.StatusOK {
			served++
		}
	}
	return served, all
}
