package grind

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/greengagewind/greengagewind/stand/plat"
)

// The bounds that the documentation of the users' platform sets for the fleet.
const (
	// revocationBound is the time after which a withdrawn key is refused by all
	// nodes.
	revocationBound = 5 * time.Second
	// configBound is the time after which a node that can reach the store
	// follows a new configuration.
	configBound = 2 * time.Second
	// evacuationBound is the time after which an evacuated zone gets no new
	// requests.
	evacuationBound = 5 * time.Second
	// drainBound is the time after which a target that announced that it
	// leaves gets no new requests.
	drainBound = 2 * time.Second
	// settleTime is how long a VM or the store must have been undisturbed before
	// the bounds on time apply to it.
	settleTime = 3 * time.Second
	// storeDisturbanceMargin is added to bounds on time to allow for
	// disturbances of the store.
	storeDisturbanceMargin = 5 * time.Second

	// In each rateWindow a workspace may have (rate × window + burst) ×
	// (1 + rateOverage) + rateSlack runs.
	rateWindow  = 5 * time.Second
	rateOverage = 0.1
	rateSlack   = 20

	// In each coldWindow a cold target may have coldRate × coldOverage +
	// coldSlack runs. coldRate is in requests a second.
	coldWindow  = time.Second
	coldOverage = 1.5
	coldSlack   = 5
	coldRate    = 20

	// In each retryWindow a service may get retryRatio × first attempts +
	// retrySlack retries. The windows that are checked begin retryStep apart.
	retryWindow = 10 * time.Second
	retryStep   = time.Second
	retryRatio  = 0.2
	retrySlack  = 50
)

// Outcome is a request and its answer, as its caller recorded them.
type Outcome struct {
	ID string
	// VM is the VM whose node received the request from the caller.
	VM string
	// Route and Workspace are the names of the request's route and workspace,
	// and Key is its API key.
	Route, Workspace, Key string
	Idempotent            bool
	// Status is the HTTP status, or 0 when no answer arrived.
	Status int
	// WrongAnswer reports that an answer with status 200 had no signature or did
	// not have the body that belongs to this request.
	WrongAnswer    bool
	Sent, Received time.Time
}

// Execution is a run with the VM and availability zone of its target.
type Execution struct {
	plat.Run
	VM, Zone string
}

// ChangeKind is the kind of a change that an operator or a target made.
type ChangeKind string

// The kinds of changes.
const (
	KeyAdded     ChangeKind = "KeyAdded"
	KeyWithdrawn ChangeKind = "KeyWithdrawn"
	RouteAdded   ChangeKind = "RouteAdded"
	RouteRemoved ChangeKind = "RouteRemoved"
	RateSet      ChangeKind = "RateSet"
	// ZoneClosed is the start of the evacuation of a zone, ZoneOpened its end.
	ZoneClosed ChangeKind = "ZoneClosed"
	ZoneOpened ChangeKind = "ZoneOpened"
	// TargetLeaves is the announcement of a target that it leaves.
	TargetLeaves ChangeKind = "TargetLeaves"
	// TargetBegins is the start of a new incarnation of a target.
	TargetBegins ChangeKind = "TargetBegins"
)

// Change is one change in the fleet.
type Change struct {
	// At is when the change was acknowledged.
	At   time.Time
	Kind ChangeKind
	// Object is the key, or the name of the route, workspace or zone, or the id
	// of the target.
	Object string
	// VM is the VM of the target; it is set for targets only.
	VM string
	// Rate, in requests a second, and Burst are set for RateSet only.
	Rate, Burst float64
	// ColdFor is how long a new incarnation stays cold.
	ColdFor time.Duration
}

// Record is the data of a soak that Check works on.
type Record struct {
	Outcomes []Outcome
	// Runs are ordered by time.
	Runs []Execution
	// Arrivals are the arrivals by service, ordered by time.
	Arrivals map[string][]plat.Arrival
	// Changes are ordered by time.
	Changes []Change
	// Disturbed reports whether a component was disturbed between two times.
	// The component is the name of a VM, storeName, targetsName, or "" for any.
	Disturbed func(component string, from, to time.Time) bool
	// Stopping reports whether a planned stop of a VM overlaps the period between
	// two times.
	Stopping func(vm string, from, to time.Time) bool
}

// storeName is the component name of the store.
const storeName = "store"

// checker collects the violations of guarantees in a record.
type checker struct {
	*Record
	byID       map[string][]Execution
	violations []string
}

// Check returns a line for each violation of a guarantee, sorted.
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
		c.checkRetries(service, arrivals)
	}
	sort.Strings(c.violations)
	return c.violations
}

func (c *checker) addViolation(guarantee, format string, args ...any) {
	c.violations = append(c.violations, guarantee+": "+fmt.Sprintf(format, args...))
}

func (c *checker) checkOutcome(o *Outcome) {
	runs := c.byID[o.ID]
	summary := fmt.Sprintf("request %s, status %d, %d runs", o.ID, o.Status, len(runs))
	if o.WrongAnswer {
		c.addViolation("an answer is complete and belongs to its request", "%s", summary)
	}
	if !o.Idempotent && len(runs) > 1 {
		c.addViolation("a request that is not idempotent runs at most once", "%s", summary)
	}
	refusal := o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests
	if !o.Idempotent && refusal && len(runs) > 0 {
		c.addViolation("a refused request has not run", "%s", summary)
	}
	if o.Status == http.StatusOK && len(runs) == 0 {
		c.addViolation("a request answered with 200 has run", "%s", summary)
	}
	if o.Status == 0 && len(runs) > 0 && c.Stopping(o.VM, o.Sent, o.Received) && !c.anyDisturbed(o.Sent.Add(-settleTime), o.Received) {
		c.addViolation("a planned stop interrupts no request", "%s", summary)
	}
	for _, r := range runs {
		if r.Workspace != o.Workspace || r.Key != "" {
			c.addViolation("a run has the workspace of its key, and the key is not passed on", "%s", summary)
		}
		if r.DeadlineMillis < 0 || r.DeadlineMillis > int(requestDeadline.Milliseconds()) {
			c.addViolation("a run gets no more time than its caller allows", "%s", summary)
		}
	}
	c.checkKey(o, summary)
	c.checkRoute(o, summary)
}

// anyDisturbed reports whether any component was disturbed between two times.
func (c *checker) anyDisturbed(from, to time.Time) bool { return c.Disturbed("", from, to) }

// checkKey checks that every node refuses a withdrawn key after
// revocationBound, and that no node refuses a key that is in force in every
// configuration a node may hold.
func (c *checker) checkKey(o *Outcome, summary string) {
	added, withdrawn := c.validity(KeyAdded, KeyWithdrawn, o.Key)
	if !withdrawn.IsZero() && o.Sent.After(withdrawn.Add(revocationBound)) && len(c.byID[o.ID]) > 0 {
		c.addViolation("no request with a withdrawn key runs", "%s, %s after it was withdrawn", summary, o.Sent.Sub(withdrawn))
	}
	known := added.Add(configBound + storeDisturbanceMargin)
	if c.Disturbed(o.VM, added, o.Sent) || c.Disturbed(storeName, added, o.Sent) {
		known = added.Add(maxFaultTime + settleTime + configBound + storeDisturbanceMargin)
	}
	valid := o.Sent.After(known) && (withdrawn.IsZero() || o.Received.Before(withdrawn))
	if valid && (o.Status == http.StatusUnauthorized || o.Status == http.StatusForbidden) {
		c.addViolation("a valid request is not denied", "%s", summary)
	}
}

// validity returns when an object was last added and when it was removed after
// that. A time is zero when there was no such change.
func (c *checker) validity(addedKind, removedKind ChangeKind, object string) (from, to time.Time) {
	for _, change := range c.Changes {
		switch {
		case change.Object == object && change.Kind == addedKind:
			from, to = change.At, time.Time{}
		case change.Object == object && change.Kind == removedKind:
			to = change.At
		}
	}
	return from, to
}

// checkRoute checks that an undisturbed node serves an added route and refuses a
// removed one once configBound has passed.
func (c *checker) checkRoute(o *Outcome, summary string) {
	if o.Status == http.StatusBadRequest {
		c.addViolation("a valid request is not denied", "%s", summary)
	}
	last, found := c.lastRouteChange(o.Route, o.Sent)
	if c.Disturbed(o.VM, o.Sent.Add(-settleTime), o.Received) || c.Disturbed(storeName, last.At.Add(-settleTime), o.Sent) {
		return
	}
	if !found || o.Sent.Sub(last.At) < configBound {
		return
	}
	if last.Kind == RouteRemoved && len(c.byID[o.ID]) > 0 {
		c.addViolation("no request runs on a route that was removed", "%s, %s after it was removed", summary, o.Sent.Sub(last.At))
	}
	if last.Kind == RouteAdded && o.Status == http.StatusNotFound && !c.changedBetween(o.Route, last.At, o.Received) {
		c.addViolation("a route that was added is known", "%s, %s after it was added", summary, o.Sent.Sub(last.At))
	}
}

// lastRouteChange returns the last change of a route before a time.
func (c *checker) lastRouteChange(route string, at time.Time) (last Change, found bool) {
	for _, change := range c.Changes {
		isRoute := change.Kind == RouteAdded || change.Kind == RouteRemoved
		if isRoute && change.Object == route && change.At.Before(at) {
			last, found = change, true
		}
	}
	return last, found
}

// changedBetween reports whether an object changed between two times.
func (c *checker) changedBetween(object string, after, before time.Time) bool {
	for _, change := range c.Changes {
		if change.Object == object && change.At.After(after) && change.At.Before(before) {
			return true
		}
	}
	return false
}

// checkRates checks that no workspace with a limit exceeds its rate and burst.
func (c *checker) checkRates() {
	sent := make(map[string]time.Time, len(c.Outcomes))
	for _, o := range c.Outcomes {
		sent[o.ID] = o.Sent
	}
	limited := make(map[string]bool)
	for _, change := range c.Changes {
		limited[change.Object] = limited[change.Object] || change.Kind == RateSet
	}
	runs := make(map[string][]Execution)
	for _, r := range c.Runs {
		if _, fromCaller := sent[r.ID]; fromCaller && limited[r.Workspace] {
			runs[r.Workspace] = append(runs[r.Workspace], r)
		}
	}
	for workspace, workspaceRuns := range runs {
		c.checkRate(workspace, workspaceRuns, sent)
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
		if limit := c.maxAllowedRuns(workspace, from, end); float64(n) > limit {
			c.addViolation("no workspace gets more than its rate", "%s had %d runs in %s from %s on, %.0f are allowed", workspace, n, rateWindow,
				from.UTC().Format(eventTimeLayout), limit)
			return
		}
	}
}

// maxAllowedRuns returns how many runs a workspace may have in a window. It
// takes the highest rate that a node may still apply.
func (c *checker) maxAllowedRuns(workspace string, from, to time.Time) float64 {
	from = from.Add(-rateWindow - configBound - storeDisturbanceMargin - settleTime - maxFaultTime)
	limit := 0.0
	for _, change := range c.Changes {
		if change.Kind != RateSet || change.Object != workspace || change.At.After(to) {
			continue
		}
		allowed := (change.Rate*rateWindow.Seconds()+change.Burst)*(1+rateOverage) + rateSlack
		if change.At.Before(from) {
			limit = allowed
			continue
		}
		limit = max(limit, allowed)
	}
	return limit
}

// checkZones checks that an evacuated zone gets no new requests.
func (c *checker) checkZones() {
	for i, closed := range c.Changes {
		if closed.Kind != ZoneClosed {
			continue
		}
		until := c.nextChange(i, ZoneOpened, closed.Object)
		for _, r := range c.Runs {
			violated := r.Zone == closed.Object && r.At.After(closed.At.Add(evacuationBound)) && r.At.Before(until)
			if !violated || c.Disturbed(r.VM, r.At.Add(-settleTime), r.At) || c.Disturbed(storeName, closed.At.Add(-settleTime), r.At) {
				continue
			}
			c.addViolation("an evacuated zone gets no new requests", "request %s at %s, %s after the evacuation began", r.ID, r.VM, r.At.Sub(closed.At))
		}
	}
}

// nextChange returns the time of the next change of a kind to an object after
// change i, or an hour after change i when there is none.
func (c *checker) nextChange(i int, kind ChangeKind, object string) time.Time {
	for _, change := range c.Changes[i+1:] {
		if change.Kind == kind && change.Object == object {
			return change.At
		}
	}
	return c.Changes[i].At.Add(time.Hour)
}

// checkTargets checks the guarantees for targets that leave and for targets that
// start cold.
func (c *checker) checkTargets() {
	byTarget := make(map[string][]Execution)
	for _, r := range c.Runs {
		byTarget[r.ExpectedTarget] = append(byTarget[r.ExpectedTarget], r)
	}
	for _, change := range c.Changes {
		switch change.Kind {
		case TargetLeaves:
			c.checkDraining(change, byTarget[change.Object])
		case TargetBegins:
			c.checkColdTarget(change, byTarget[change.Object])
		}
	}
}

func (c *checker) checkDraining(leaving Change, runs []Execution) {
	for _, r := range runs {
		if r.At.After(leaving.At.Add(drainBound)) && !c.Disturbed(r.VM, leaving.At.Add(-settleTime), r.At) {
			c.addViolation("a leaving target gets no new requests", "request %s at %s, %s after it announced that it leaves", r.ID, leaving.Object, r.At.Sub(leaving.At))
		}
	}
}

func (c *checker) checkColdTarget(started Change, runs []Execution) {
	const limit = coldRate*coldOverage + coldSlack
	warm := started.At.Add(started.ColdFor)
	for i, first := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.At.After(warm) || r.At.Sub(first.At) > coldWindow {
				break
			}
			n++
		}
		if n > limit {
			c.addViolation("a cold target gets no more than its cold rate", "%s had %d runs in %s from %s on, %.0f are allowed", started.Object, n, coldWindow,
				first.At.UTC().Format(eventTimeLayout), limit)
			return
		}
	}
}

// checkRetries checks the bound on the retries that a service gets, which are all
// arrivals of a request after its first. Requests that nodes refused before they
// reached a target are not counted as first attempts, which makes the bound
// stricter.
func (c *checker) checkRetries(service string, arrivals []plat.Arrival) {
	if len(arrivals) == 0 {
		return
	}
	seen := make(map[string]bool, len(arrivals))
	var firstAttempts, retries []time.Time
	for _, a := range arrivals {
		if seen[a.ID] {
			retries = append(retries, a.At)
			continue
		}
		seen[a.ID] = true
		firstAttempts = append(firstAttempts, a.At)
	}
	end := arrivals[len(arrivals)-1].At
	for from := arrivals[0].At; from.Before(end); from = from.Add(retryStep) {
		requests := max(countInWindow(firstAttempts, from), countInWindow(firstAttempts, from.Add(-retryWindow/2)), countInWindow(firstAttempts, from.Add(-retryWindow)))
		limit := retryRatio*float64(requests) + retrySlack
		if n := countInWindow(retries, from); float64(n) > limit {
			c.addViolation("retries are bounded", "%s had %d retries in %s from %s on, %.0f are allowed", service, n, retryWindow,
				from.UTC().Format(eventTimeLayout), limit)
			return
		}
	}
}

// countInWindow counts the times in the retryWindow that begins at from.
func countInWindow(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(retryWindow)) {
			n++
		}
	}
	return n
}

// countServed counts the requests sent after a time, and how many of these were
// served. It leaves out requests on the temporary route, requests whose key was
// refused, and requests beyond the rate of their workspace, since a node may
// rightly refuse all of these.
func countServed(outcomes []Outcome, since time.Time) (served, counted int) {
	for _, o := range outcomes {
		if since.IsZero() || o.Sent.Before(since) || strings.HasPrefix(o.Route, temporaryRoute) {
			continue
		}
		if o.Status == http.StatusUnauthorized || o.Status == http.StatusTooManyRequests {
			continue
		}
		counted++
		if o.Status == http.StatusOK {
			served++
		}
	}
	return served, counted
}
