// Package admit applies admission control to the calls to the targets on this
// node's VM. Each target has a worker goroutine that owns the target's gate.
// Callers communicate with the worker over bounded channels.
package admit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
	"github.com/greengagewind/greengagewind/gage/state/gate"
)

// Options are the dependencies of an Admitter.
type Options struct {
	Logger  *zap.Logger
	Metrics *metrics.Set
	Clock   gage.Clock
	// Policy defaults to gage.PolicyAdaptive if empty.
	Policy gage.Policy
}

// Admitter implements gage.Admitter.
type Admitter struct {
	options Options
	mu      sync.RWMutex
	// workers maps target names to at most gage.MaxTargetsPerVM workers.
	workers map[string]*worker
	// workerGoroutines counts the running workers. It includes workers of removed
	// targets that have not ended yet.
	workerGoroutines sync.WaitGroup
}

var _ gage.Admitter = (*Admitter)(nil)

// New returns an admitter without targets.
func New(options Options) *Admitter {
	if options.Policy == "" {
		options.Policy = gage.PolicyAdaptive
	}
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	return &Admitter{options: options, workers: make(map[string]*worker)}
}

// SetTarget adds or updates an announced target and applies the configuration
// of its service. A new incarnation starts cold. A target in phase TargetGone is
// removed. SetTarget returns an error if the target is new and the node already
// has gage.MaxTargetsPerVM targets.
func (a *Admitter) SetTarget(now time.Time, record gage.TargetRecord, service gage.Service) error {
	if record.Phase == gage.TargetGone {
		a.RemoveTarget(now, record.Name)
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	w, ok := a.workers[record.Name]
	if !ok {
		if len(a.workers) >= gage.MaxTargetsPerVM {
			return fmt.Errorf("set target %s: this node already has the maximum of %d targets", record.Name, len(a.workers))
		}
		w = a.startWorker(record.Name)
	}
	w.configure(record, service)
	return nil
}

func (a *Admitter) startWorker(name string) *worker {
	w := newWorker(name, a.options)
	a.workers[name] = w
	a.workerGoroutines.Add(1)
	go func() {
		defer a.workerGoroutines.Done()
		w.run()
	}()
	return w
}

// RemoveTarget removes a target and refuses its waiting calls. The slots of its
// calls in flight may still be released afterwards.
func (a *Admitter) RemoveTarget(_ time.Time, name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w, ok := a.workers[name]; ok {
		delete(a.workers, name)
		close(w.stop)
	}
}

// Close removes all targets, refuses their waiting calls and waits until the
// worker goroutines have ended.
func (a *Admitter) Close() {
	a.mu.Lock()
	for name, w := range a.workers {
		delete(a.workers, name)
		close(w.stop)
	}
	a.mu.Unlock()
	a.workerGoroutines.Wait()
}

func (a *Admitter) worker(target string) *worker {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.workers[target]
}

// Load returns the last published load of a target, or the zero Load if the
// target is unknown.
func (a *Admitter) Load(target string) gage.Load {
	w := a.worker(target)
	if w == nil {
		return gage.Load{}
	}
	return *w.load.Load()
}

// Admit blocks until the call is admitted to target or refused. A call whose ctx
// ends before it is admitted is refused. If Outcome is OutcomeNotRun, the call
// was refused. Otherwise it was admitted, and the caller must call either Release
// or ReleaseShed of the admission, exactly once.
func (a *Admitter) Admit(ctx context.Context, target string, c gage.Call) (gage.Admission, gage.Result) {
	w := a.worker(target)
	if w == nil {
		return gage.Admission{}, refusal(target, gage.ReasonNoTarget, 0)
	}
	req := newSlotRequest(c)
	select {
	case w.arrivals <- req:
	default:
		w.metrics.dropped.Inc()
		return gage.Admission{}, w.refusal(gage.ReasonQueueFull, queueFullRetryAfter)
	}
	select {
	case d := <-req.decision:
		return a.handleDecision(w, req, d)
	case <-ctx.Done():
		return a.abandon(w, req, ctx.Err())
	case <-w.done:
		return a.abandon(w, req, nil)
	}
}

// handleDecision returns the admission or the refusal for a decision. It checks
// again whether the call has expired, since the caller's goroutine may have been
// scheduled long after the decision.
func (a *Admitter) handleDecision(w *worker, req *slotRequest, d gate.Decision) (gage.Admission, gage.Result) {
	if !d.Admitted {
		return gage.Admission{}, w.refusal(d.Reason, d.RetryAfter)
	}
	now := a.options.Clock.Now()
	if reason := req.expiryReason(now); reason != gage.ReasonNone {
		w.sendRelease(slotRelease{unused: true})
		return gage.Admission{}, w.refusal(reason, 0)
	}
	return w.admission(now, req.entry), gage.Result{Target: w.name, Load: *w.load.Load()}
}

// abandon withdraws a request whose context has ended or whose target was
// removed. If the request was admitted in the meantime, its slot is released.
// endErr is the error of the context, or nil if the target was removed.
func (a *Admitter) abandon(w *worker, req *slotRequest, endErr error) (gage.Admission, gage.Result) {
	if !req.withdraw() {
		if d := <-req.decision; d.Admitted {
			w.sendRelease(slotRelease{unused: true})
		}
	} else {
		w.sendCancel(req)
	}
	reason := gage.ReasonDraining
	if endErr != nil {
		reason = gage.ReasonCanceled
	}
	if errors.Is(endErr, context.DeadlineExceeded) {
		reason = gage.ReasonDeadline
	}
	return gage.Admission{}, w.refusal(reason, 0)
}

func refusal(target string, reason gage.Reason, retryAfter time.Duration) gage.Result {
	invar.Check(reason != gage.ReasonNone, "RefusalHasReason", "Target", target)
	return gage.Result{
		Outcome:    gage.OutcomeNotRun,
		Reason:     reason,
		Detail:     refusalDetails[reason],
		Target:     target,
		RetryAfter: retryAfter,
	}
}
