package admit

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
	"github.com/greengagewind/greengagewind/gage/state/gate"
	"github.com/greengagewind/greengagewind/gage/state/shed"
)

// The channel capacities and tick intervals of a worker.
const (
	arrivalCapacity      = 512
	cancellationCapacity = 512
	// releaseCapacity exceeds the maximum number of calls in flight, so that
	// sending a release never blocks and no release is lost.
	releaseCapacity = gate.MaxInFlight + 1
	configCapacity  = 16
	// The worker ticks the gate every waitingTickInterval while calls wait, and
	// every idleTickInterval otherwise.
	waitingTickInterval = 5 * time.Millisecond
	idleTickInterval    = 100 * time.Millisecond
	// queueFullRetryAfter is the retry delay of a call that is refused because
	// the arrival channel is full.
	queueFullRetryAfter = 100 * time.Millisecond
)

// slotRelease frees the slot of an admitted call.
type slotRelease struct {
	completion gate.Completion
	// unused is true if the call did not run. completion is then unset.
	unused bool
}

// targetConfig is the announcement of a target with the configuration of its
// service.
type targetConfig struct {
	record  gage.TargetRecord
	service gage.Service
}

// worker admits calls to one target.
type worker struct {
	name          string
	options       Options
	arrivals      chan *slotRequest
	cancellations chan *slotRequest
	releases      chan slotRelease
	configs       chan targetConfig
	// stop is closed to end the worker. done is closed when the worker has ended.
	stop    chan struct{}
	done    chan struct{}
	load    atomic.Pointer[gage.Load]
	metrics *targetMetrics

	// The fields below are accessed only by the goroutine of run.
	gate    *gate.Gate
	current targetConfig
	// lastLoggedCold is the result of gate.Cold that was last logged.
	lastLoggedCold bool
	// latestTime is the last result of now. It never decreases.
	latestTime time.Time
	// lastID is the ID of the last request that arrived.
	lastID uint64
	// waiting holds the requests that the gate has neither admitted nor refused
	// yet, by entry ID.
	waiting map[uint64]*slotRequest
}

func newWorker(name string, options Options) *worker {
	w := &worker{
		name:          name,
		options:       options,
		arrivals:      make(chan *slotRequest, arrivalCapacity),
		cancellations: make(chan *slotRequest, cancellationCapacity),
		releases:      make(chan slotRelease, releaseCapacity),
		configs:       make(chan targetConfig, configCapacity),
		stop:          make(chan struct{}),
		done:          make(chan struct{}),
		metrics:       newTargetMetrics(options.Metrics, name),
		waiting:       make(map[uint64]*slotRequest),
	}
	w.load.Store(&gage.Load{ShedRank: len(gage.Importances)})
	return w
}

// configure sends a configuration to the worker goroutine. It blocks while the
// channel is full: if the configuration were dropped, the worker would continue
// with the previous one.
func (w *worker) configure(record gage.TargetRecord, service gage.Service) {
	select {
	case w.configs <- targetConfig{record: record, service: service}:
	case <-w.done:
	}
}

func (w *worker) run() {
	defer close(w.done)
	select {
	case c := <-w.configs:
		w.applyConfig(c)
	case <-w.stop:
		return
	}
	timer := time.NewTimer(idleTickInterval)
	defer timer.Stop()
	interval := idleTickInterval
	for w.handleEvent(timer) {
		w.publishLoad()
		if next := w.tickInterval(); next != interval {
			interval = next
			timer.Reset(interval)
		}
	}
}

// tickInterval returns the time until the next tick of the gate.
func (w *worker) tickInterval() time.Duration {
	if len(w.waiting) > 0 {
		return waitingTickInterval
	}
	return idleTickInterval
}

// handleEvent waits for one event and handles it. It reports false if the worker
// must end.
func (w *worker) handleEvent(timer *time.Timer) bool {
	select {
	case req := <-w.arrivals:
		w.handleArrival(req)
	case r := <-w.releases:
		w.handleRelease(r)
	case req := <-w.cancellations:
		w.gate.Cancel(w.now(), req.entry.ID)
		delete(w.waiting, req.entry.ID)
	case c := <-w.configs:
		w.applyConfig(c)
	case <-timer.C:
		w.deliver(w.gate.Tick(w.now()))
		timer.Reset(w.tickInterval())
	case <-w.stop:
		w.deliver(w.gate.Drain(w.now()))
		return false
	}
	return true
}

func (w *worker) handleArrival(req *slotRequest) {
	if req.isWithdrawn() {
		return
	}
	w.lastID++
	req.entry.ID = w.lastID
	w.waiting[req.entry.ID] = req
	w.deliver(w.gate.Arrive(w.now(), req.entry))
}

func (w *worker) handleRelease(r slotRelease) {
	if r.unused {
		w.deliver(w.gate.ReleaseUnused(w.now()))
		return
	}
	w.deliver(w.gate.Release(w.now(), r.completion))
}

// deliver sends the decisions of the gate to the callers. If the caller has
// withdrawn a request that the gate admitted, deliver releases the slot. The gate
// may then admit another call.
func (w *worker) deliver(decisions []gate.Decision) {
	unclaimedSlots := 0
	for _, d := range decisions {
		req, ok := w.waiting[d.ID]
		invar.Check(ok, "DecisionForWaiting", "Target", w.name, "ID", d.ID)
		delete(w.waiting, d.ID)
		if !req.decide(d) {
			if d.Admitted {
				unclaimedSlots++
			}
			continue
		}
		w.countDecision(d)
	}
	for ; unclaimedSlots > 0; unclaimedSlots-- {
		w.deliver(w.gate.ReleaseUnused(w.now()))
	}
}

func (w *worker) countDecision(d gate.Decision) {
	if d.Admitted {
		w.metrics.admitted.Inc()
		return
	}
	w.metrics.countRefusal(d.Reason)
}

// applyConfig applies a configuration to the gate. The target starts cold at the
// first configuration and at each new incarnation.
func (w *worker) applyConfig(c targetConfig) {
	options := w.gateOptions(c)
	restarted := w.gate == nil || c.record.Incarnation != w.current.record.Incarnation
	switch {
	case w.gate == nil:
		w.gate = gate.New(w.now(), options)
	case restarted:
		w.gate.Restart(w.now(), options)
	default:
		w.gate.Configure(w.now(), options)
	}
	if c.record.Phase == gage.TargetDraining {
		w.deliver(w.gate.Drain(w.now()))
	}
	if restarted || c.record.Phase != w.current.record.Phase {
		w.options.Logger.Info("TargetSet",
			zap.String("Target", w.name),
			zap.String("Phase", string(c.record.Phase)),
			zap.Uint64("Incarnation", c.record.Incarnation),
			zap.Bool("Restarted", restarted))
	}
	w.current = c
}

func (w *worker) gateOptions(c targetConfig) gate.Options {
	return gate.Options{
		Policy:          w.options.Policy,
		MaxConcurrency:  c.service.MaxConcurrency,
		CapacityHint:    c.record.CapacityHint,
		ColdStart:       c.service.ColdStart,
		ColdConcurrency: c.service.ColdConcurrency,
	}
}

// publishLoad updates the load that Admitter.Load returns and the metrics. It logs
// the start and the end of a cold start.
func (w *worker) publishLoad() {
	load := w.gate.Load()
	w.load.Store(&load)
	w.metrics.setLoad(load)
	if cold := w.gate.Cold(); cold != w.lastLoggedCold {
		w.lastLoggedCold = cold
		w.options.Logger.Info("TargetCold",
			zap.String("Target", w.name),
			zap.Bool("Cold", cold),
			zap.Int("Limit", load.Limit))
	}
}

// now returns the time of the clock, or latestTime if the clock has gone back.
func (w *worker) now() time.Time {
	if now := w.options.Clock.Now(); now.After(w.latestTime) {
		w.latestTime = now
	}
	return w.latestTime
}

// sendCancel asks the worker goroutine to remove a withdrawn request. If the
// channel is full, the request stays in the gate until it is decided or expires.
func (w *worker) sendCancel(req *slotRequest) {
	select {
	case w.cancellations <- req:
	default:
		w.metrics.dropped.Inc()
	}
}

// sendRelease sends a release to the worker goroutine. It does not block.
func (w *worker) sendRelease(r slotRelease) {
	select {
	case w.releases <- r:
	default:
		invar.Check(false, "ReleaseChannelHolds", "Target", w.name)
	}
}

// admission returns the admission of a call. The caller must call exactly one of
// its two release functions, exactly once.
func (w *worker) admission(now time.Time, entry shed.Entry) gage.Admission {
	var released atomic.Bool
	release := func(completion gate.Completion) {
		invar.Check(!released.Swap(true), "ReleasedOnce", "Target", w.name)
		w.sendRelease(slotRelease{completion: completion})
	}
	return gage.Admission{
		Target:     w.name,
		AdmittedAt: now,
		Release: func(_ time.Time, latency time.Duration, failed bool) {
			release(gate.Completion{Entry: entry, Latency: latency, Failed: failed})
		},
		ReleaseShed: func(_ time.Time, latency time.Duration) {
			release(gate.Completion{Entry: entry, Latency: latency, NestedShed: true})
		},
	}
}

func (w *worker) refusal(reason gage.Reason, retryAfter time.Duration) gage.Result {
	r := refusal(w.name, reason, retryAfter)
	r.Load = *w.load.Load()
	return r
}
