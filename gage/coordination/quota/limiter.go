package quota

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
)

// The interval of Issuer.Tick, the capacities of the event queues and the timeout of
// an AdoptedRequest.
const (
	issuerTickInterval = 100 * time.Millisecond
	maxRequesterEvents = 2048
	maxIssuerEvents    = 2048
	adoptedTimeout     = 500 * time.Millisecond
)

// Options are the dependencies of a Limiter.
type Options struct {
	Self    gage.Member
	Shares  gage.Shares
	Peers   Peers
	Clock   gage.Clock
	Logger  *zap.Logger
	Metrics *metrics.Set
}

// Limiter implements gage.Limiter. It runs the Requester and the Issuer on one
// goroutine each.
type Limiter struct {
	options   Options
	requester *Requester
	issuer    *Issuer
	// requesterEvents and issuerEvents are the bounded queues of the two
	// goroutines.
	requesterEvents chan requesterEvent
	issuerEvents    chan issuerEvent
	// done is closed when Run stops processing events.
	done chan struct{}
	// workers counts the goroutines that Run has started.
	workers sync.WaitGroup
	// undecided holds the calls without a Decision, by ID. Only the goroutine of
	// Run uses undecided and lastCallID.
	undecided  map[uint64]chan<- gage.Grant
	lastCallID uint64
	counters   counters
}

var _ gage.Limiter = (*Limiter)(nil)

var (
	errStopped   = errors.New("the quota limiter has stopped")
	errQueueFull = errors.New("the event queue is full")
)

// counters are the Limiter's metrics.
type counters struct {
	granted            *metrics.Counter
	refused            *metrics.Counter
	requestsSent       *metrics.Counter
	issued             *metrics.Counter
	requesterQueueFull *metrics.Counter
	issuerQueueFull    *metrics.Counter
}

// requesterEvent is a function to run on the Requester's goroutine.
type requesterEvent func(now time.Time)

// issuerEvent is a function to run on the Issuer's goroutine.
type issuerEvent func(now time.Time)

// New returns a Limiter. It does not serve calls until Run is called.
func New(o Options) *Limiter {
	return &Limiter{
		options:         o,
		requester:       NewRequester(o.Self, o.Shares),
		issuer:          NewIssuer(gage.Process{VM: o.Self.VM, StartedAt: o.Self.StartedAt}, o.Shares),
		requesterEvents: make(chan requesterEvent, maxRequesterEvents),
		issuerEvents:    make(chan issuerEvent, maxIssuerEvents),
		done:            make(chan struct{}),
		undecided:       make(map[uint64]chan<- gage.Grant),
		counters: counters{
			granted:            o.Metrics.NewCounter("gage_quota_granted_total"),
			refused:            o.Metrics.NewCounter("gage_quota_refused_total"),
			requestsSent:       o.Metrics.NewCounter("gage_quota_asks_sent_total"),
			issued:             o.Metrics.NewCounter("gage_quota_issued_total"),
			requesterQueueFull: o.Metrics.NewCounter("gage_quota_desk_full_total"),
			issuerQueueFull:    o.Metrics.NewCounter("gage_quota_holder_full_total"),
		},
	}
}

// Run processes events until ctx ends and all its goroutines have returned. It
// may be called once.
func (l *Limiter) Run(ctx context.Context) {
	defer l.workers.Wait()
	defer close(l.done)
	l.workers.Go(func() { l.runIssuer(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.requesterEvents:
			event(l.options.Clock.Now())
		}
		l.execute(ctx, l.requester.Drain())
	}
}

// Adopt puts a configuration in force, unless it is not newer than the current
// one. It blocks while an event queue is full.
func (l *Limiter) Adopt(config *gage.Config) {
	l.postRequester(func(time.Time) { l.requester.Adopt(config) })
	select {
	case l.issuerEvents <- func(now time.Time) { l.issuer.Adopt(now, config) }:
	case <-l.done:
	}
}

// postRequester queues an event for the Requester's goroutine. It blocks while
// the queue is full.
func (l *Limiter) postRequester(event requesterEvent) {
	select {
	case l.requesterEvents <- event:
	case <-l.done:
	}
}

// Take implements gage.Limiter. It refuses the call at once when the
// Requester's event queue is full.
func (l *Limiter) Take(ctx context.Context, _ time.Time, workspace string) gage.Grant {
	grants := make(chan gage.Grant, 1)
	ids := make(chan uint64, 1)
	event := func(now time.Time) { ids <- l.requestToken(now, workspace, grants) }
	select {
	case l.requesterEvents <- event:
	default:
		l.counters.requesterQueueFull.Inc()
		return unavailableGrant()
	}
	select {
	case grant := <-grants:
		l.countGrant(grant)
		return grant
	case <-l.done:
		return gage.Grant{Reason: gage.ReasonStopping}
	case <-ctx.Done():
		l.postRequester(func(time.Time) { l.cancel(<-ids, workspace) })
		return gage.Grant{Reason: gage.ReasonCanceled}
	}
}

func unavailableGrant() gage.Grant {
	return gage.Grant{Reason: gage.ReasonQuotaUnavailable, RetryAfter: UnavailableRetryAfter}
}

func (l *Limiter) countGrant(grant gage.Grant) {
	if grant.OK {
		l.counters.granted.Inc()
		return
	}
	l.counters.refused.Inc()
}

// requestToken assigns an ID to the call, requests a token for the call and returns
// the ID.
func (l *Limiter) requestToken(now time.Time, workspace string, grants chan<- gage.Grant) uint64 {
	l.lastCallID++
	l.undecided[l.lastCallID] = grants
	l.requester.Request(now, l.lastCallID, workspace)
	return l.lastCallID
}

func (l *Limiter) cancel(id uint64, workspace string) {
	delete(l.undecided, id)
	l.requester.Cancel(id, workspace)
}

func (l *Limiter) execute(ctx context.Context, effects Effects) {
	for _, decision := range effects.Decisions {
		if grants, ok := l.undecided[decision.ID]; ok {
			grants <- decision.Grant
			delete(l.undecided, decision.ID)
		}
	}
	for _, out := range effects.Requests {
		l.counters.requestsSent.Inc()
		l.workers.Go(func() { l.sendTake(ctx, out) })
	}
}

// sendTake sends one request and passes its reply or failure to the Requester. If no
// reply arrives within HedgeDelay, it marks the request as overdue and continues to
// wait.
func (l *Limiter) sendTake(ctx context.Context, out OutgoingTake) {
	hedge := time.AfterFunc(HedgeDelay, func() {
		l.postRequester(func(now time.Time) { l.requester.MarkOverdue(now, out.ID) })
	})
	defer hedge.Stop()
	callCtx, cancel := context.WithTimeout(ctx, out.Timeout)
	defer cancel()
	var reply TakeReply
	var err error
	if out.Local {
		reply, err = l.Issue(callCtx, out.Request)
	} else {
		reply, err = l.options.Peers.Take(callCtx, out.Address, out.Request)
	}
	l.postRequester(func(now time.Time) { l.requester.HandleReply(now, out.ID, reply, err == nil) })
}
