package share

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/fence"
)

// The bounds of an Agent.
const (
	tickEvery    = 100 * time.Millisecond
	askTimeout   = 800 * time.Millisecond
	storeTimeout = 2 * time.Second
	maxEvents    = 256
)

// Options are the dependencies of an Agent.
type Options struct {
	Self       gage.Member
	Store      gage.Store
	Documents  gage.Documents
	Membership gage.Membership
	Peers      Peers
	Clock      gage.Clock
	// Random is used by the Agent alone.
	Random  *rand.Rand
	Logger  *zap.Logger
	Metrics *metrics.Set
}

// Agent runs a Keeper on one goroutine and does what it wants done. It
// implements gage.Shares.
type Agent struct {
	options  Options
	keeper   *Keeper
	events   chan event
	done     chan struct{}
	snapshot atomic.Pointer[Snapshot]
	work     sync.WaitGroup

	storeCalls  *metrics.Counter
	storeErrors *metrics.Counter
	asksSent    *metrics.Counter
	eventsFull  *metrics.Counter
}

var _ gage.Shares = (*Agent)(nil)

// event is a message to the Keeper's goroutine.
type event func(now time.Time)

// New returns an Agent that Run starts.
func New(o Options) *Agent {
	a := &Agent{
		options:     o,
		events:      make(chan event, maxEvents),
		done:        make(chan struct{}),
		storeCalls:  o.Metrics.NewCounter("gage_share_store_calls_total"),
		storeErrors: o.Metrics.NewCounter("gage_share_store_errors_total"),
		asksSent:    o.Metrics.NewCounter("gage_share_asks_sent_total"),
		eventsFull:  o.Metrics.NewCounter("gage_share_events_full_total"),
	}
	a.keeper = NewKeeper(o.Clock.Now(), Settings{
		Self:         o.Self,
		TakeoverWait: fence.LeaseDuration + fence.DriftMargin,
		Jitter:       o.Random.Float64,
	})
	a.snapshot.Store(a.keeper.Snapshot())
	return a
}

// Run serves until ctx ends. Stop comes before it in a planned stop.
func (a *Agent) Run(ctx context.Context) {
	defer a.work.Wait()
	defer close(a.done)
	a.options.Documents.Subscribe(gage.StoreSharePrefix, func(d gage.Document) {
		a.post(ctx, func(now time.Time) { a.keeper.HandleDocument(now, d) })
	})
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.keeper.Tick(a.options.Clock.Now(), a.options.Membership.Members)
		case e := <-a.events:
			e(a.options.Clock.Now())
		}
		a.publish()
		a.act(ctx, a.keeper.Drain())
	}
}

// post hands an event to the Keeper's goroutine.
func (a *Agent) post(ctx context.Context, e event) {
	select {
	case a.events <- e:
	case <-a.done:
	case <-ctx.Done():
	}
}

func (a *Agent) publish() {
	before := a.snapshot.Load()
	after := a.keeper.Snapshot()
	a.snapshot.Store(after)
	for shard := range after.Leases {
		for slot, own := range after.Leases[shard] {
			if own.Epoch == before.Leases[shard][slot].Epoch {
				continue
			}
			a.options.Logger.Info("ShareSlotChanged",
				zap.Int("Shard", shard),
				zap.Int("Slot", slot),
				zap.Uint64("HeldEpoch", own.Epoch),
			)
		}
	}
}

func (a *Agent) act(ctx context.Context, effects Effects) {
	for _, d := range effects.Offers {
		a.options.Documents.Offer(d)
	}
	for _, out := range effects.Requests {
		a.asksSent.Inc()
		a.work.Go(func() { a.ask(ctx, out) })
	}
	if effects.StoreCall != nil {
		a.storeCalls.Inc()
		a.work.Go(func() { a.call(ctx, *effects.StoreCall) })
	}
}

func (a *Agent) ask(ctx context.Context, out OutgoingConfirm) {
	asking, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := a.options.Peers.Confirm(asking, out.Address, out.Request)
	if err != nil {
		return
	}
	a.post(ctx, func(now time.Time) { a.keeper.HandleReply(now, out, answer) })
}

func (a *Agent) call(ctx context.Context, call StoreCall) {
	calling, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if call.IsList {
		entries, _, err := a.options.Store.List(calling, gage.StoreSharePrefix)
		a.noteStore(err)
		a.post(ctx, func(now time.Time) { a.keeper.HandleList(now, call, entries, err) })
		return
	}
	value, err := Encode(call.Record)
	var entry gage.Entry
	if err == nil {
		entry, _, err = a.options.Store.Swap(calling, Key(call.Shard), call.Revision, value, 0)
	}
	a.noteStore(err)
	a.post(ctx, func(now time.Time) { a.keeper.HandleSwap(now, call, entry, err) })
}

func (a *Agent) noteStore(err error) {
	if err == nil {
		return
	}
	a.storeErrors.Inc()
	a.options.Logger.Warn("ShareStoreCallFailed", zap.Error(err))
}

// Confirm answers another node's ask.
func (a *Agent) Confirm(ctx context.Context, ask ConfirmRequest) (ConfirmReply, error) {
	answers := make(chan ConfirmReply, 1)
	e := func(now time.Time) { answers <- a.keeper.Confirm(now, ask) }
	select {
	case a.events <- e:
	default:
		a.eventsFull.Inc()
		return ConfirmReply{}, fmt.Errorf("confirm share slots: %d events are waiting", maxEvents)
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-a.done:
		return ConfirmReply{}, fmt.Errorf("confirm share slots: stopped")
	case <-ctx.Done():
		return ConfirmReply{}, fmt.Errorf("confirm share slots: %w", ctx.Err())
	}
}

// Stop gives up all slots and returns once others may take them, or when ctx
// ends. Run must be running.
func (a *Agent) Stop(ctx context.Context) error {
	a.post(ctx, func(now time.Time) { a.keeper.Stop(now) })
	for {
		finished := make(chan bool, 1)
		a.post(ctx, func(time.Time) { finished <- a.keeper.Done() })
		select {
		case done := <-finished:
			if done {
				return nil
			}
		case <-a.done:
			return nil
		case <-ctx.Done():
			return fmt.Errorf("hand over share slots: %w", ctx.Err())
		}
		if err := pause(ctx, tickEvery); err != nil {
			return err
		}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("hand over share slots: %w", ctx.Err())
	}
}

// Slots implements gage.Shares.
func (a *Agent) Slots(shard int) []gage.ShareSlot {
	if shard < 0 || shard >= gage.ShareShards {
		return nil
	}
	return a.snapshot.Load().Slots[shard]
}

// Standing implements gage.Shares.
func (a *Agent) Standing(shard, slot int, now time.Time) (uint64, bool) {
	return a.snapshot.Load().LeaseEpoch(shard, slot, now)
}

// LeaseEpoch returns the epoch of a held slot and whether it stands at now.
func (s *Snapshot) LeaseEpoch(shard, slot int, now time.Time) (uint64, bool) {
	if shard < 0 || shard >= gage.ShareShards || slot < 0 || slot >= gage.ShareSlots {
		return 0, false
	}
	own := s.Leases[shard][slot]
	return own.Epoch, own.Epoch > 0 && now.Before(own.ExpiresAt)
}
