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

// The bounds of a Limiter.
const (
	tickEvery      = 100 * time.Millisecond
	maxDeskEvents  = 2048
	maxHoldEvents  = 2048
	adoptedTimeout = 500 * time.Millisecond
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

// Limiter implements gage.Limiter. One goroutine owns the Desk and another the
// Issuer.
type Limiter struct {
	options Options
	desk    *Desk
	issuer  *Issuer
	// deskEvents and holdEvents are bounded; a full one refuses.
	deskEvents chan deskEvent
	holdEvents chan holdEvent
	done       chan struct{}
	work       sync.WaitGroup
	// waiting holds the calls that the Desk has not decided; the Desk's
	// goroutine owns it.
	waiting map[uint64]chan<- gage.Grant
	lastID  uint64
	counts  counts
}

var _ gage.Limiter = (*Limiter)(nil)

var (
	errStopped = errors.New("the quota holder has stopped")
	errFull    = errors.New("the quota holder has too many asks waiting")
)

// counts are the Limiter's metrics.
type counts struct {
	granted  *metrics.Counter
	refused  *metrics.Counter
	asksSent *metrics.Counter
	issued   *metrics.Counter
	deskFull *metrics.Counter
	holdFull *metrics.Counter
}

// deskEvent is a message to the Desk's goroutine.
type deskEvent func(now time.Time)

// holdEvent is a message to the Issuer's goroutine.
type holdEvent func(now time.Time)

// New returns a Limiter that Run starts.
func New(o Options) *Limiter {
	return &Limiter{
		options:    o,
		desk:       NewDesk(o.Self, o.Shares),
		issuer:     NewIssuer(gage.Process{VM: o.Self.VM, StartedAt: o.Self.StartedAt}, o.Shares),
		deskEvents: make(chan deskEvent, maxDeskEvents),
		holdEvents: make(chan holdEvent, maxHoldEvents),
		done:       make(chan struct{}),
		waiting:    make(map[uint64]chan<- gage.Grant),
		counts: counts{
			granted:  o.Metrics.NewCounter("gage_quota_granted_total"),
			refused:  o.Metrics.NewCounter("gage_quota_refused_total"),
			asksSent: o.Metrics.NewCounter("gage_quota_asks_sent_total"),
			issued:   o.Metrics.NewCounter("gage_quota_issued_total"),
			deskFull: o.Metrics.NewCounter("gage_quota_desk_full_total"),
			holdFull: o.Metrics.NewCounter("gage_quota_holder_full_total"),
		},
	}
}

// Run serves until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	defer l.work.Wait()
	defer close(l.done)
	l.work.Go(func() { l.hold(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.deskEvents:
			e(l.options.Clock.Now())
		}
		l.act(ctx, l.desk.Drain())
	}
}

// Adopt takes in the configuration in force.
func (l *Limiter) Adopt(config *gage.Config) {
	l.postDesk(func(time.Time) { l.desk.Adopt(config) })
	select {
	case l.holdEvents <- func(now time.Time) { l.issuer.Adopt(now, config) }:
	case <-l.done:
	}
}

func (l *Limiter) postDesk(e deskEvent) {
	select {
	case l.deskEvents <- e:
	case <-l.done:
	}
}

// Take implements gage.Limiter.
func (l *Limiter) Take(ctx context.Context, _ time.Time, workspace string) gage.Grant {
	grants := make(chan gage.Grant, 1)
	ids := make(chan uint64, 1)
	ask := func(now time.Time) { ids <- l.admit(now, workspace, grants) }
	select {
	case l.deskEvents <- ask:
	default:
		l.counts.deskFull.Inc()
		return unavailable()
	}
	select {
	case g := <-grants:
		l.count(g)
		return g
	case <-l.done:
		return gage.Grant{Reason: gage.ReasonStopping}
	case <-ctx.Done():
		l.postDesk(func(time.Time) { l.cancel(<-ids, workspace) })
		return gage.Grant{Reason: gage.ReasonCanceled}
	}
}

func unavailable() gage.Grant {
	return gage.Grant{Reason: gage.ReasonQuotaUnavailable, RetryAfter: RetryUnavailable}
}

func (l *Limiter) count(g gage.Grant) {
	if g.OK {
		l.counts.granted.Inc()
		return
	}
	l.counts.refused.Inc()
}

func (l *Limiter) admit(now time.Time, workspace string, grants chan<- gage.Grant) uint64 {
	l.lastID++
	l.waiting[l.lastID] = grants
	l.desk.Ask(now, l.lastID, workspace)
	return l.lastID
}

func (l *Limiter) cancel(id uint64, workspace string) {
	delete(l.waiting, id)
	l.desk.Cancel(id, workspace)
}

func (l *Limiter) act(ctx context.Context, effects DeskEffects) {
	for _, decision := range effects.Decisions {
		if grants, ok := l.waiting[decision.ID]; ok {
			grants <- decision.Grant
			delete(l.waiting, decision.ID)
		}
	}
	for _, send := range effects.Sends {
		l.counts.asksSent.Inc()
		l.work.Go(func() { l.send(ctx, send) })
	}
}

// send carries one ask and tells the Desk when the answer is late.
func (l *Limiter) send(ctx context.Context, s Send) {
	late := time.AfterFunc(HedgeAfter, func() {
		l.postDesk(func(now time.Time) { l.desk.Late(now, s.Flight) })
	})
	defer late.Stop()
	asking, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	var answer TakeReply
	var err error
	if s.Local {
		answer, err = l.Issue(asking, s.Ask)
	} else {
		answer, err = l.options.Peers.Take(asking, s.Address, s.Ask)
	}
	l.postDesk(func(now time.Time) { l.desk.Answered(now, s.Flight, answer, err == nil) })
}
