package grind

// checkLeft checks that a request does not run at a target after its caller has left.
func (c *checker) checkLeft(o *Outcome, summary string) {
	for _, r := range c.runsByID[o.ID] {
		if o.LeftAt.IsZero() || !r.At.After(o.LeftAt.Add(leftBound)) {
			continue
		}
		if from := o.Sent.Add(-settleTime); c.Disturbed(o.VM, from, r.At) || c.Disturbed(r.VM, from, r.At) {
			continue
		}
		c.addViolation("a request is not sent on after its caller has left", "%s, run at %s %s after that", summary, r.VM, r.At.Sub(o.LeftAt))
	}
}
