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

// The bounds of a worker.
const (
	arrivalCapacity = 512
	cancelCapacity  = 512
	// releaseCapacity is above what may be in flight, so that giving a slot
	// back never blocks and is never lost.
	releaseCapacity = gate.MaxInFlight + 1
	settingCapacity = 16
	// tickInterval applies while calls wait, idleInterval otherwise.
	tickInterval   = 5 * time.Millisecond
	idleInterval   = 100 * time.Millisecond
	fullRetryAfter = 100 * time.Millisecond
)

// released is a slot given back.
type released struct {
	end gate.Completion
	// unused tells that the call did not run.
	unused bool
}

// setting is what the node says of a target.
type setting struct {
	record  gage.TargetRecord
	service gage.Service
}

// worker owns the admission to one target.
type worker struct {
	name     string
	options  Options
	arrivals chan *ticket
	cancels  chan *ticket
	releases chan released
	settings chan setting
	stop     chan struct{}
	done     chan struct{}
	load     atomic.Pointer[gage.Load]
	meters   *meters

	// The fields below belong to the goroutine of run.
	gate    *gate.Gate
	current setting
	// cold is what was last logged of the gate.
	cold bool
	// latest is the latest time told to the gate, which never goes back.
	latest time.Time
	nextID uint64
	// tickets holds the calls that wait in the gate.
	tickets map[uint64]*ticket
}

func newWorker(name string, options Options) *worker {
	w := &worker{
		name:     name,
		options:  options,
		arrivals: make(chan *ticket, arrivalCapacity),
		cancels:  make(chan *ticket, cancelCapacity),
		releases: make(chan released, releaseCapacity),
		settings: make(chan setting, settingCapacity),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
		meters:   newMeters(options.Metrics, name),
		tickets:  make(map[uint64]*ticket),
	}
	w.load.Store(&gage.Load{ShedRank: len(gage.Importances)})
	return w
}

// configure hands a setting to the goroutine. It waits while the bounded
// channel is full, since a lost setting would stay wrong.
func (w *worker) configure(record gage.TargetRecord, service gage.Service) {
	select {
	case w.settings <- setting{record: record, service: service}:
	case <-w.done:
	}
}

func (w *worker) run() {
	defer close(w.done)
	select {
	case s := <-w.settings:
		w.set(s)
	case <-w.stop:
		return
	}
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	interval := idleInterval
	for w.step(timer) {
		w.publish()
		if next := w.interval(); next != interval {
			interval = next
			timer.Reset(interval)
		}
	}
}

func (w *worker) interval() time.Duration {
	if len(w.tickets) > 0 {
		return tickInterval
	}
	return idleInterval
}

func (w *worker) step(timer *time.Timer) bool {
	select {
	case t := <-w.arrivals:
		w.arrive(t)
	case r := <-w.releases:
		w.release(r)
	case t := <-w.cancels:
		w.gate.Cancel(w.now(), t.entry.ID)
		delete(w.tickets, t.entry.ID)
	case s := <-w.settings:
		w.set(s)
	case <-timer.C:
		w.apply(w.gate.Tick(w.now()))
		timer.Reset(w.interval())
	case <-w.stop:
		w.apply(w.gate.Drain(w.now()))
		return false
	}
	return true
}

func (w *worker) arrive(t *ticket) {
	if t.withdrawn() {
		return
	}
	w.nextID++
	t.entry.ID = w.nextID
	w.tickets[t.entry.ID] = t
	w.apply(w.gate.Arrive(w.now(), t.entry))
}

func (w *worker) release(r released) {
	if r.unused {
		w.apply(w.gate.ReleaseUnused(w.now()))
		return
	}
	w.apply(w.gate.Release(w.now(), r.end))
}

// apply tells callers what was decided. The slot of a caller that has gone is
// handed back to the gate, which may admit another in its place.
func (w *worker) apply(decisions []gate.Decision) {
	unclaimed := 0
	for _, d := range decisions {
		t, ok := w.tickets[d.ID]
		invar.Check(ok, "DecisionForWaiting", "Target", w.name, "ID", d.ID)
		delete(w.tickets, d.ID)
		if !t.decide(d) {
			if d.Admitted {
				unclaimed++
			}
			continue
		}
		w.count(d)
	}
	for ; unclaimed > 0; unclaimed-- {
		w.apply(w.gate.ReleaseUnused(w.now()))
	}
}

func (w *worker) count(d gate.Decision) {
	if d.Admitted {
		w.meters.admitted.Inc()
		return
	}
	w.meters.refuse(d.Reason)
}

// set takes in what the node says of the target. The first announcement and
// each new incarnation start cold.
func (w *worker) set(s setting) {
	options := w.gateOptions(s)
	restarted := w.gate == nil || s.record.Incarnation != w.current.record.Incarnation
	switch {
	case w.gate == nil:
		w.gate = gate.New(w.now(), options)
	case restarted:
		w.gate.Restart(w.now(), options)
	default:
		w.gate.Configure(w.now(), options)
	}
	if s.record.Phase == gage.TargetDraining {
		w.apply(w.gate.Drain(w.now()))
	}
	if restarted || s.record.Phase != w.current.record.Phase {
		w.options.Logger.Info("TargetSet",
			zap.String("Target", w.name),
			zap.String("Phase", string(s.record.Phase)),
			zap.Uint64("Incarnation", s.record.Incarnation),
			zap.Bool("Restarted", restarted))
	}
	w.current = s
}

func (w *worker) gateOptions(s setting) gate.Options {
	return gate.Options{
		Policy:          w.options.Policy,
		MaxConcurrency:  s.service.MaxConcurrency,
		CapacityHint:    s.record.CapacityHint,
		ColdStart:       s.service.ColdStart,
		ColdConcurrency: s.service.ColdConcurrency,
	}
}

func (w *worker) publish() {
	load := w.gate.Load()
	w.load.Store(&load)
	w.meters.show(load)
	if cold := w.gate.Cold(); cold != w.cold {
		w.cold = cold
		w.options.Logger.Info("TargetCold",
			zap.String("Target", w.name),
			zap.Bool("Cold", cold),
			zap.Int("Limit", load.Limit))
	}
}

// now reads the clock; the time never goes back.
func (w *worker) now() time.Time {
	if now := w.options.Clock.Now(); now.After(w.latest) {
		w.latest = now
	}
	return w.latest
}

// cancel tells the goroutine of a withdrawn ticket. When the channel is full
// the ticket is dropped later, once it is decided or lapses.
func (w *worker) cancel(t *ticket) {
	select {
	case w.cancels <- t:
	default:
		w.meters.dropped.Inc()
	}
}

func (w *worker) giveBack(r released) {
	select {
	case w.releases <- r:
	default:
		invar.Check(false, "ReleaseChannelHolds", "Target", w.name)
	}
}

// admission returns the right to run a call, which gives its slot back once.
func (w *worker) admission(now time.Time, entry shed.Entry) gage.Admission {
	var spent atomic.Bool
	release := func(end gate.Completion) {
		invar.Check(!spent.Swap(true), "ReleasedOnce", "Target", w.name)
		w.giveBack(released{end: end})
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
