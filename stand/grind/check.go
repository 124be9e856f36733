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
	// revocationBound is how long after its withdrawal a key may still be accepted
	// by a node.
	revocationBound = 5 * time.Second
	// configBound is how long a node that can reach the store may take to adopt a
	// new configuration.
	configBound = 2 * time.Second
	// evacuationBound is how long after the start of its evacuation a zone may
	// still get new requests.
	evacuationBound = 5 * time.Second
	// drainBound is how long after announcing that it leaves a target may still get
	// new requests.
	drainBound = 2 * time.Second
	// settleTime is how long a VM or the store must have been undisturbed before
	// the time bounds above apply to it.
	settleTime = 3 * time.Second
	// storeDisturbanceMargin is added to time bounds to allow for disturbances of
	// the store.
	storeDisturbanceMargin = 5 * time.Second
	// leftBound is how long after its caller has left a request may still reach a target.
	leftBound = 500 * time.Millisecond

	// In each rateWindow a workspace may have at most (rate × rateWindow + burst) ×
	// (1 + rateOverage) + rateSlack runs.
	rateWindow  = 5 * time.Second
	rateOverage = 0.1
	rateSlack   = 20

	// In each coldWindow of one second a cold target may start at most coldRate ×
	// coldOverage + coldSlack runs. coldRate is in requests per second.
	coldWindow  = time.Second
	coldOverage = 1.5
	coldSlack   = 5
	coldRate    = 20

	// In each retryWindow a service may get at most retryRatio × first attempts +
	// retrySlack retries. The start of each window that is checked is retryStep
	// after that of the previous one.
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
	// Route and Workspace are names. Key is the API key that the request carried.
	Route, Workspace, Key string
	Idempotent            bool
	// Status is the HTTP status, or 0 when no answer arrived.
	Status int
	// WrongAnswer reports that the answer had status 200, but no signature or the
	// wrong body.
	WrongAnswer    bool
	Sent, Received time.Time
	// LeftAt is when the caller closed its connection without waiting for the answer,
	// zero if it did not.
	LeftAt time.Time
	// Target is the ID of the target that made the answer, or "".
	Target string
	// NamesRateLimit and SaysLeaving report what the target said of itself in the answer.
	NamesRateLimit, SaysLeaving bool
}

// Execution is a run with the VM and availability zone of its target.
type Execution struct {
	plat.Run
	VM, Zone string
	// Service is that of the target.
	Service string
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
	// ZoneClosed is the start of the evacuation of a zone.
	ZoneClosed ChangeKind = "ZoneClosed"
	// ZoneOpened is the end of the evacuation of a zone.
	ZoneOpened ChangeKind = "ZoneOpened"
	// TargetLeaves is the announcement of a target that it leaves.
	TargetLeaves ChangeKind = "TargetLeaves"
	// TargetBegins is the start of a new incarnation of a target.
	TargetBegins ChangeKind = "TargetBegins"
	// WrittenAgain is when the operator has written again what a restored store had lost.
	WrittenAgain ChangeKind = "WrittenAgain"
	// RateLimitNamed is the start of the time in which a target names a rate limit in its
	// responses, and RateLimitEnded the end.
	RateLimitNamed ChangeKind = "RateLimitNamed"
	RateLimitEnded ChangeKind = "RateLimitEnded"
)

// Change is one change in the fleet.
type Change struct {
	// At is when the change was acknowledged.
	At   time.Time
	Kind ChangeKind
	// Object identifies what changed: an API key by its text, a target by its ID,
	// and a route, workspace or zone by its name.
	Object string
	// VM is the VM of a target. It is "" unless Object is a target.
	VM string
	// Rate, in requests per second, is set only if Kind is RateSet or RateLimitNamed, and
	// Burst only if it is RateSet.
	Rate, Burst float64
	// ColdFor is how long the new incarnation stays cold. It is set only if Kind is
	// TargetBegins.
	ColdFor time.Duration
}

// Record is the data of a soak that Check works on.
type Record struct {
	Outcomes []Outcome
	// Runs are ordered by time.
	Runs []Execution
	// Arrivals maps the name of each service to the arrivals at its targets,
	// ordered by time.
	Arrivals map[string][]plat.Arrival
	// Changes are ordered by time.
	Changes []Change
	// Disturbed reports whether a component was disturbed at any time between from
	// and to. The component is storeName, targetsName, the name of a VM, or "" for
	// any component.
	Disturbed func(component string, from, to time.Time) bool
	// Stopping reports whether a planned stop of a VM was in progress at any time
	// between from and to.
	Stopping func(vm string, from, to time.Time) bool
}

// storeName is the component name of the store.
const storeName = "store"

// checker collects the violations of guarantees in a record.
type checker struct {
	*Record
	runsByID map[string][]Execution
	// vmOf is the VM of each request of a caller, by request ID.
	vmOf       map[string]string
	violations []string
}

// Check returns one line for each violation of a guarantee. The lines are sorted.
func Check(r *Record) []string {
	c := &checker{Record: r, runsByID: make(map[string][]Execution), vmOf: make(map[string]string, len(r.Outcomes))}
	for _, run := range r.Runs {
		c.runsByID[run.ID] = append(c.runsByID[run.ID], run)
	}
	for _, o := range r.Outcomes {
		c.vmOf[o.ID] = o.VM
	}
	for i := range r.Outcomes {
		c.checkOutcome(&r.Outcomes[i])
	}
	c.checkServices()
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
	runs := c.runsByID[o.ID]
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
	if o.Status == 0 && o.LeftAt.IsZero() && len(runs) > 0 && c.Stopping(o.VM, o.Sent, o.Received) && !c.anyDisturbed(o.Sent.Add(-settleTime), o.Received) {
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
	c.checkLeft(o, summary)
	c.checkKey(o, summary)
	c.checkRoute(o, summary)
}

// anyDisturbed reports whether any component was disturbed at any time between from
// and to.
func (c *checker) anyDisturbed(from, to time.Time) bool { return c.Disturbed("", from, to) }

// checkKey checks two guarantees. A request whose key was withdrawn more than
// revocationBound ago must not run. A node must not refuse a key that is in force
// in every configuration that the node may hold.
func (c *checker) checkKey(o *Outcome, summary string) {
	addedAt, withdrawnAt := c.validity(KeyAdded, KeyWithdrawn, o.Key)
	if !withdrawnAt.IsZero() && o.Sent.After(withdrawnAt.Add(revocationBound)) && len(c.runsByID[o.ID]) > 0 && !c.startedBeforeRewrite(o) {
		c.addViolation("no request with a withdrawn key runs", "%s, %s after it was withdrawn", summary, o.Sent.Sub(withdrawnAt))
	}
	knownFrom := addedAt.Add(configBound + storeDisturbanceMargin)
	if c.Disturbed(o.VM, addedAt, o.Sent) || c.Disturbed(storeName, addedAt, o.Sent) {
		knownFrom = addedAt.Add(maxFaultTime + settleTime + configBound + storeDisturbanceMargin)
	}
	isValid := o.Sent.After(knownFrom) && (withdrawnAt.IsZero() || o.Received.Before(withdrawnAt))
	if isValid && (o.Status == http.StatusUnauthorized || o.Status == http.StatusForbidden) {
		c.addViolation("a valid request is not denied", "%s", summary)
	}
}

// startedBeforeRewrite reports whether the node that received a request may have started
// between a restore of the store and the operator's writing again, and may not have read
// since. If all nodes start then, none can know what the store has lost.
func (c *checker) startedBeforeRewrite(o *Outcome) bool {
	for _, change := range c.Changes {
		restoredAt, knownAt := change.At.Add(-maxRewriteDelay), change.At.Add(configBound)
		if change.Kind == WrittenAgain && o.Sent.After(restoredAt) && o.Sent.Before(knownAt) && c.Disturbed(o.VM, restoredAt.Add(-restartTime), o.Sent) {
			return true
		}
	}
	return false
}

// validity returns in from when an object was last added, and in to when it was
// removed after that. A time is zero when there was no such change.
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

// checkRoute checks that an undisturbed node serves a route that was added, and
// refuses requests on a route that was removed. Both hold once configBound has
// passed since the change. It also checks that no request is answered with 400.
func (c *checker) checkRoute(o *Outcome, summary string) {
	if o.Status == http.StatusBadRequest {
		c.addViolation("a valid request is not denied", "%s", summary)
	}
	last, exists := c.lastRouteChange(o.Route, o.Sent)
	if c.Disturbed(o.VM, o.Sent.Add(-settleTime), o.Received) || c.Disturbed(storeName, last.At.Add(-settleTime), o.Sent) {
		return
	}
	if !exists || o.Sent.Sub(last.At) < configBound {
		return
	}
	if last.Kind == RouteRemoved && len(c.runsByID[o.ID]) > 0 {
		c.addViolation("no request runs on a route that was removed", "%s, %s after it was removed", summary, o.Sent.Sub(last.At))
	}
	if last.Kind == RouteAdded && o.Status == http.StatusNotFound && !c.changedBetween(o.Route, last.At, o.Received) {
		c.addViolation("a route that was added is known", "%s, %s after it was added", summary, o.Sent.Sub(last.At))
	}
}

// lastRouteChange returns the last change of a route before a time, if there was
// one.
func (c *checker) lastRouteChange(route string, before time.Time) (last Change, exists bool) {
	for _, change := range c.Changes {
		isRouteChange := change.Kind == RouteAdded || change.Kind == RouteRemoved
		if isRouteChange && change.Object == route && change.At.Before(before) {
			last, exists = change, true
		}
	}
	return last, exists
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

// serviceOf maps the beginning of each path to the service that runs its requests.
var serviceOf = map[string]string{"/look/": "search", "/lodge/": "custody", "/custody/": "custody", "/venue/": "ceremony", "/" + temporaryRoute + "/": "ceremony"}

// checkServices checks that each request runs at a target of its service. Addresses go from
// targets of one service to those of another.
func (c *checker) checkServices() {
	for _, r := range c.Runs {
		for prefix, service := range serviceOf {
			if strings.HasPrefix(r.URI, prefix) && r.Service != "" && r.Service != service {
				c.addViolation("a request runs at a target of its service", "request %s, %s, at %s of %s", r.ID, r.URI, r.ExpectedTarget, r.Service)
			}
		}
	}
}

// checkRates checks the rate and burst of each workspace that has a RateSet change.
func (c *checker) checkRates() {
	sentAt := make(map[string]time.Time, len(c.Outcomes))
	for _, o := range c.Outcomes {
		sentAt[o.ID] = o.Sent
	}
	isLimited := make(map[string]bool)
	for _, change := range c.Changes {
		isLimited[change.Object] = isLimited[change.Object] || change.Kind == RateSet
	}
	runs := make(map[string][]Execution)
	for _, r := range c.Runs {
		if _, isFromCaller := sentAt[r.ID]; isFromCaller && isLimited[r.Workspace] {
			runs[r.Workspace] = append(runs[r.Workspace], r)
		}
	}
	for workspace, workspaceRuns := range runs {
		c.checkRate(workspace, workspaceRuns, sentAt)
	}
}

func (c *checker) checkRate(workspace string, runs []Execution, sentAt map[string]time.Time) {
	for _, first := range runs {
		from := sentAt[first.ID]
		end, n := from.Add(rateWindow), 0
		for _, r := range runs {
			if !sentAt[r.ID].Before(from) && !r.At.After(end) {
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

// maxAllowedRuns returns how many runs a workspace may have in the rateWindow
// between from and to. It assumes the highest rate that a node may still enforce in
// the window, since nodes adopt a change of the rate with a delay.
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

// checkZones checks that an evacuated zone gets no new requests after
// evacuationBound.
func (c *checker) checkZones() {
	for i, closing := range c.Changes {
		if closing.Kind != ZoneClosed {
			continue
		}
		reopenedAt := c.nextChange(i, ZoneOpened, closing.Object)
		for _, r := range c.Runs {
			isTooLate := r.Zone == closing.Object && r.At.After(closing.At.Add(evacuationBound)) && r.At.Before(reopenedAt)
			if !isTooLate || c.Disturbed(r.VM, r.At.Add(-settleTime), r.At) || c.Disturbed(storeName, closing.At.Add(-settleTime), r.At) {
				continue
			}
			c.addViolation("an evacuated zone gets no new requests", "request %s at %s, %s after the evacuation began", r.ID, r.VM, r.At.Sub(closing.At))
		}
	}
}

// nextChange returns the time of the next change after c.Changes[i] that has the
// given kind and object. When there is none, it returns a time one hour after
// c.Changes[i].
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
	for i, change := range c.Changes {
		switch change.Kind {
		case TargetLeaves:
			c.checkDraining(change, byTarget[change.Object])
		case TargetBegins:
			c.checkColdTarget(change, byTarget[change.Object])
		case RateLimitNamed:
			c.checkRateLimit(change, c.nextChange(i, RateLimitEnded, change.Object), byTarget[change.Object])
		}
	}
	c.checkSaidLeaving(byTarget)
}

// checkDraining checks that a target gets no new requests after drainBound, also after a
// restart of its node. The runs are those at the target.
func (c *checker) checkDraining(leaving Change, runs []Execution) {
	for _, r := range runs {
		if r.At.After(leaving.At.Add(drainBound)) && !c.Disturbed(r.VM, r.At.Add(-settleTime), r.At) && !c.Disturbed(c.originOf(r.ID), r.At.Add(-settleTime), r.At) {
			c.addViolation("a leaving target gets no new requests", "request %s at %s, %s after it announced that it leaves", r.ID, leaving.Object, r.At.Sub(leaving.At))
		}
	}
}

// checkColdTarget checks the bound on the runs that a target starts while it is
// cold. The runs are those at the target, ordered by time.
func (c *checker) checkColdTarget(start Change, runs []Execution) {
	const limit = coldRate*coldOverage + coldSlack
	warmAt := start.At.Add(start.ColdFor)
	for i, first := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.At.After(warmAt) || r.At.Sub(first.At) > coldWindow {
				break
			}
			n++
		}
		if n > limit {
			c.addViolation("a cold target gets no more than its cold rate", "%s had %d runs in %s from %s on, %.0f are allowed", start.Object, n, coldWindow,
				first.At.UTC().Format(eventTimeLayout), limit)
			return
		}
	}
}

// checkRetries checks the bound on the retries that a service gets. The first
// arrival of a request is its first attempt, and all further arrivals are retries.
// The bound is stricter than that of the nodes, because it does not count first
// attempts that nodes refused before they reached a target.
func (c *checker) checkRetries(service string, arrivals []plat.Arrival) {
	if len(arrivals) == 0 {
		return
	}
	hasArrived := make(map[string]bool, len(arrivals))
	var firstAttempts, retries []time.Time
	for _, a := range arrivals {
		if hasArrived[a.ID] {
			retries = append(retries, a.At)
			continue
		}
		hasArrived[a.ID] = true
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

// countServed counts the requests sent at or after a time, and how many of them were
// served. It leaves out requests that a node may rightly refuse: those on the
// temporary route, those whose key was refused, and those beyond the rate of their
// workspace. It also leaves out those whose callers left. If from is zero, it counts no
// request.
func countServed(outcomes []Outcome, from time.Time) (served, counted int) {
	for _, o := range outcomes {
		if from.IsZero() || o.Sent.Before(from) || !o.LeftAt.IsZero() || strings.HasPrefix(o.Route, temporaryRoute) {
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
