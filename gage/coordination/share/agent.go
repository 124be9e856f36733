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

// The intervals, timeouts and queue size of an Agent.
const (
	tickInterval   = 100 * time.Millisecond
	confirmTimeout = 800 * time.Millisecond
	storeTimeout   = 2 * time.Second
	eventQueueSize = 256
)

// Options are the dependencies of an Agent.
type Options struct {
	Self       gage.Member
	Store      gage.Store
	Documents  gage.Documents
	Membership gage.Membership
	Peers      Peers
	Clock      gage.Clock
	// Random is used only by the goroutine that calls Run. No other goroutine
	// may use it.
	Random  *rand.Rand
	Logger  *zap.Logger
	Metrics *metrics.Set
}

// Agent runs a Keeper on one goroutine and performs the Effects that it
// requests. It implements gage.Shares.
type Agent struct {
	options  Options
	keeper   *Keeper
	events   chan event
	done     chan struct{}
	snapshot atomic.Pointer[Snapshot]
	// callGoroutines counts the goroutines that call the store or another node.
	callGoroutines sync.WaitGroup

	storeCalls     *metrics.Counter
	storeErrors    *metrics.Counter
	requestsSent   *metrics.Counter
	eventsRejected *metrics.Counter
}

var _ gage.Shares = (*Agent)(nil)

// event is a function that Run calls on the Keeper's goroutine.
type event func(now time.Time)

// New returns an Agent that does nothing until Run is called.
func New(o Options) *Agent {
	a := &Agent{
		options:        o,
		events:         make(chan event, eventQueueSize),
		done:           make(chan struct{}),
		storeCalls:     o.Metrics.NewCounter("gage_share_store_calls_total"),
		storeErrors:    o.Metrics.NewCounter("gage_share_store_errors_total"),
		requestsSent:   o.Metrics.NewCounter("gage_share_asks_sent_total"),
		eventsRejected: o.Metrics.NewCounter("gage_share_events_full_total"),
	}
	a.keeper = NewKeeper(o.Clock.Now(), Settings{
		Self:         o.Self,
		TakeoverWait: fence.LeaseDuration + fence.DriftMargin,
		Jitter:       o.Random.Float64,
	})
	a.snapshot.Store(a.keeper.Snapshot())
	return a
}

// Run processes events until ctx ends. For a graceful shutdown, call Stop
// before ending ctx.
func (a *Agent) Run(ctx context.Context) {
	defer a.callGoroutines.Wait()
	defer close(a.done)
	a.options.Documents.Subscribe(gage.StoreSharePrefix, func(d gage.Document) {
		a.post(ctx, func(now time.Time) { a.keeper.HandleDocument(now, d) })
	})
	ticker := time.NewTicker(tickInterval)
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
		a.perform(ctx, a.keeper.Drain())
	}
}

// post queues an event for Run. It waits while the queue is full, and drops the
// event once Run has returned or ctx has ended.
func (a *Agent) post(ctx context.Context, e event) {
	select {
	case a.events <- e:
	case <-a.done:
	case <-ctx.Done():
	}
}

func (a *Agent) publish() {
	previous := a.snapshot.Load()
	current := a.keeper.Snapshot()
	a.snapshot.Store(current)
	for shard := range current.Leases {
		for slot, lease := range current.Leases[shard] {
			if lease.Epoch == previous.Leases[shard][slot].Epoch {
				continue
			}
			a.options.Logger.Info("ShareSlotChanged",
				zap.Int("Shard", shard),
				zap.Int("Slot", slot),
				zap.Uint64("HeldEpoch", lease.Epoch),
			)
		}
	}
}

func (a *Agent) perform(ctx context.Context, effects Effects) {
	for _, d := range effects.Offers {
		a.options.Documents.Offer(d)
	}
	for _, out := range effects.Requests {
		a.requestsSent.Inc()
		a.callGoroutines.Go(func() { a.sendConfirm(ctx, out) })
	}
	if effects.StoreCall != nil {
		a.storeCalls.Inc()
		a.callGoroutines.Go(func() { a.callStore(ctx, *effects.StoreCall) })
	}
}

func (a *Agent) sendConfirm(ctx context.Context, out OutgoingConfirm) {
	callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	reply, err := a.options.Peers.Confirm(callCtx, out.Address, out.Request)
	if err != nil {
		return
	}
	a.post(ctx, func(now time.Time) { a.keeper.HandleReply(now, out, reply) })
}

func (a *Agent) callStore(ctx context.Context, call StoreCall) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if call.IsList {
		entries, _, err := a.options.Store.List(callCtx, gage.StoreSharePrefix)
		a.recordStoreError(err)
		a.post(ctx, func(now time.Time) { a.keeper.HandleList(now, call, entries, err) })
		return
	}
	value, err := Encode(call.Record)
	var entry gage.Entry
	if err == nil {
		entry, _, err = a.options.Store.Swap(callCtx, Key(call.Shard), call.Revision, value, 0)
	}
	a.recordStoreError(err)
	a.post(ctx, func(now time.Time) { a.keeper.HandleSwap(now, call, entry, err) })
}

func (a *Agent) recordStoreError(err error) {
	if err == nil {
		return
	}
	a.storeErrors.Inc()
	a.options.Logger.Warn("ShareStoreCallFailed", zap.Error(err))
}

// Confirm answers another node's request. It returns an error when the event
// queue is full, the Agent has stopped or ctx has ended.
func (a *Agent) Confirm(ctx context.Context, request ConfirmRequest) (ConfirmReply, error) {
	replies := make(chan ConfirmReply, 1)
	e := func(now time.Time) { replies <- a.keeper.Confirm(now, request) }
	select {
	case a.events <- e:
	default:
		a.eventsRejected.Inc()
		return ConfirmReply{}, fmt.Errorf("confirm share slots: event queue is full (%d events)", eventQueueSize)
	}
	select {
	case reply := <-replies:
		return reply, nil
	case <-a.done:
		return ConfirmReply{}, fmt.Errorf("confirm share slots: agent has stopped")
	case <-ctx.Done():
		return ConfirmReply{}, fmt.Errorf("confirm share slots: %w", ctx.Err())
	}
}

// Stop hands over all slots of this process and returns once the store has
// recorded the handovers, or with an error when ctx ends. It may be called only
// while Run is running.
func (a *Agent) Stop(ctx context.Context) error {
	a.post(ctx, func(now time.Time) { a.keeper.Stop(now) })
	for {
		allReleased := make(chan bool, 1)
		a.post(ctx, func(time.Time) { allReleased <- a.keeper.Done() })
		select {
		case isReleased := <-allReleased:
			if isReleased {
				return nil
			}
		case <-a.done:
			return nil
		case <-ctx.Done():
			return fmt.Errorf("hand over share slots: %w", ctx.Err())
		}
		if err := pause(ctx, tickInterval); err != nil {
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
	if shard < 0 || shard >= gage.ShardCount {
		return nil
	}
	return a.snapshot.Load().Slots[shard]
}

// HeldEpoch implements gage.Shares.
func (a *Agent) HeldEpoch(shard, slot int, now time.Time) (uint64, bool) {
	return a.snapshot.Load().HeldEpoch(shard, slot, now)
}

// HeldEpoch returns the epoch of this process's lease on a slot and whether
// the lease is valid at now. Without a lease the epoch is 0.
func (s *Snapshot) HeldEpoch(shard, slot int, now time.Time) (uint64, bool) {
	if shard < 0 || shard >= gage.ShardCount || slot < 0 || slot >= gage.MaxSlotsPerShard {
		return 0, false
	}
	lease := s.Leases[shard][slot]
	return lease.Epoch, lease.Epoch > 0 && now.Before(lease.ExpiresAt)
}
