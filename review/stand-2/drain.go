package main

import (
	"errors"
	"fmt"
	"time"
)

// lingers is how long a leaving worker goes on serving.
const lingers = 8 * time.Second

// checkDrain lets a worker leave. It returns errBroken if requests reach the worker too
// long after the acknowledgement.
func (f *fleet) checkDrain(w *worker) error {
	w.setState("draining")
	if !w.report() {
		return errors.New("the heartbeat of the leaving worker was not acknowledged")
	}
	acked := time.Now()
	f.record.add("worker", "%s: leaving acknowledged", w.id)
	time.Sleep(lingers)
	w.leave()
	w.end("exits")
	late := w.ranSince(acked.Add(drainBound))
	if len(late) > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests reached %s later than %s after the acknowledgement, the first %s after it",
			errBroken, len(late), w.id, drainBound, late[0].at.Sub(acked).Round(time.Millisecond))
	}
	return nil
}
