package grind

import (
	"strings"
	"time"
)

// The bounds that the documentation of the users' platform sets for targets that name a rate
// limit.
const (
	// From settleTime after it first named its rate limit, a target may in each
	// limitWindow get at most limit × limitWindow × limitOverage + limitSlack requests
	// from the nodes that had passed the limit on limitKnownAfter before.
	limitWindow     = 4 * time.Second
	limitOverage    = 1.5
	limitSlack      = 5
	limitKnownAfter = 500 * time.Millisecond
)

// passedOn returns when each VM first passed an answer of a target on for which says is
// true, by the name of the VM.
func (c *checker) passedOn(target string, after time.Time, says func(o *Outcome) bool) map[string]time.Time {
	first := make(map[string]time.Time)
	for i := range c.Outcomes {
		o := &c.Outcomes[i]
		if o.Target != target || o.Sent.Before(after) || !says(o) {
			continue
		}
		if at, isKnown := first[o.VM]; !isKnown || o.Received.Before(at) {
			first[o.VM] = o.Received
		}
	}
	return first
}

// originOf returns the VM at which the request of a run began, or "" if it is not known.
// Targets make the ID of a nested call from that of its parent, their service and a number.
func (c *checker) originOf(id string) string {
	if vm, isCallers := c.vmOf[id]; isCallers {
		return vm
	}
	for range 2 {
		id = id[:max(strings.LastIndexByte(id, '-'), 0)]
	}
	if parents := c.runsByID[id]; len(parents) == 1 {
		return parents[0].VM
	}
	return ""
}

// checkRateLimit checks the bound on the requests that a target gets while it names a rate
// limit, which it does until end. A VM that was disturbed after it had passed the limit on
// may have forgotten it. The runs are those at the target, ordered by time.
func (c *checker) checkRateLimit(named Change, end time.Time, runs []Execution) {
	passedOn := c.passedOn(named.Object, named.At, func(o *Outcome) bool { return o.NamesRateLimit })
	var counted []time.Time
	for _, r := range runs {
		vm := c.originOf(r.ID)
		at, isKnown := passedOn[vm]
		isCounted := isKnown && r.At.After(at.Add(limitKnownAfter)) && r.At.After(named.At.Add(settleTime)) && r.At.Before(end)
		if isCounted && !c.Disturbed(vm, at, r.At) {
			counted = append(counted, r.At)
		}
	}
	limit := named.Rate*limitWindow.Seconds()*limitOverage + limitSlack
	for i, from := range counted {
		n := 0
		for _, at := range counted[i:] {
			if at.Sub(from) >= limitWindow {
				break
			}
			n++
		}
		if float64(n) > limit {
			c.addViolation("a target gets no more than the limit that it names", "%s had %d requests in %s from %s on, %.0f are allowed", named.Object, n, limitWindow,
				from.UTC().Format(eventTimeLayout), limit)
			return
		}
	}
}

// checkSaidLeaving checks that a VM that has passed on an answer in which a target says
// that it leaves sends that target no later request of a caller.
func (c *checker) checkSaidLeaving(byTarget map[string][]Execution) {
	sentAt := make(map[string]time.Time, len(c.Outcomes))
	for _, o := range c.Outcomes {
		sentAt[o.ID] = o.Sent
	}
	for target, runs := range byTarget {
		passedOn := c.passedOn(target, time.Time{}, func(o *Outcome) bool { return o.SaysLeaving })
		for _, r := range runs {
			vm := c.vmOf[r.ID]
			at, isKnown := passedOn[vm]
			if isKnown && sentAt[r.ID].After(at.Add(drainBound)) && !c.Disturbed(vm, at, r.At) {
				c.addViolation("a target that says in its responses that it leaves gets no new requests", "request %s at %s, sent %s after %s had passed that on",
					r.ID, target, sentAt[r.ID].Sub(at), vm)
			}
		}
	}
}
