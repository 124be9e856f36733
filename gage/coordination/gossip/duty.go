package gossip

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/member"
)

const (
	// inboxSize bounds the messages that wait for the duty.
	inboxSize = 1024
	// publishEvery is the shortest time between two views that others' news
	// bring about.
	publishEvery = 250 * time.Millisecond
	// publishGenerationsEvery is the same where only configuration
	// generations changed: a new configuration changes every node's.
	publishGenerationsEvery = 2 * time.Second
)

// Duty owns a core on one goroutine. It implements gage.Membership.
type Duty struct {
	o      Options
	timing Timing
	counts counts
	inbox  chan Message
	orders *orderBox
	view   atomic.Pointer[view]
	// superseded is closed when a later process bears this VM's name.
	superseded chan struct{}
	done       chan struct{}
	// publishedAt belongs to the duty's goroutine.
	publishedAt time.Time
}

// view is an immutable picture of the table.
type view struct {
	Members []gage.Member
	Self    gage.Member
	Version uint64
	// Changes is the table's count of changes.
	Changes uint64
	// Newer is closed when a later view is published.
	Newer chan struct{}
}

// New returns a duty that does nothing until Run.
func New(o Options) *Duty {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	d := &Duty{
		o:          o,
		timing:     o.Timing.withDefaults(),
		inbox:      make(chan Message, inboxSize),
		orders:     newOrderBox(),
		superseded: make(chan struct{}),
		done:       make(chan struct{}),
	}
	self := member.New(time.Time{}, o.Self).Self()
	d.view.Store(&view{Members: []gage.Member{self}, Self: self, Newer: make(chan struct{})})
	d.counts = newCounts(o.Metrics, d)
	return d
}

// Members returns the fleet, this node included, and also nodes that are dead
// or have left: callers look at Phase. The slice is shared and never changes;
// asking for it costs nothing.
func (d *Duty) Members() []gage.Member { return d.view.Load().Members }

// Self returns this node's own record.
func (d *Duty) Self() gage.Member { return d.view.Load().Self }

// Version returns a number that grows with each new result of Members, and a
// channel that is closed when it is outdated.
func (d *Duty) Version() (uint64, <-chan struct{}) {
	v := d.view.Load()
	return v.Version, v.Newer
}

// Superseded is closed when a later process bears this VM's name: this one
// must stop.
func (d *Duty) Superseded() <-chan struct{} { return d.superseded }

// SetTargets replaces the targets in this node's own record.
func (d *Duty) SetTargets(targets []gage.TargetRecord) {
	targets = append([]gage.TargetRecord(nil), targets...)
	d.give(func(o *orders) { o.Targets, o.HasTargets = targets, true })
}

// SetGeneration sets the configuration generation in this node's record.
func (d *Duty) SetGeneration(generation int64) {
	d.give(func(o *orders) { o.Generation = max(o.Generation, generation) })
}

// Receive hands in a message from a peer. It returns false when the message
// was dropped because too many wait.
func (d *Duty) Receive(m Message) bool {
	select {
	case d.inbox <- m:
		return true
	default:
		d.counts.inboxFull.Inc()
		return false
	}
}

// Leave tells the fleet that this node goes, and returns when the messages to
// some peers are handed over or ctx ends.
func (d *Duty) Leave(ctx context.Context) {
	told := make(chan struct{})
	d.give(func(o *orders) { o.Leave = append(o.Leave, told) })
	select {
	case <-told:
	case <-d.done:
	case <-ctx.Done():
	}
}

// Run does the duty's work until ctx ends.
func (d *Duty) Run(ctx context.Context, clock gage.Clock) {
	defer close(d.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if d.o.Store != nil {
		go newKeeper(d).run(ctx)
	}
	core := NewCore(clock.Now(), d.o.Self, d.o.Seeds, d.timing, d.o.Rand)
	ticker := time.NewTicker(d.timing.Tick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			now := clock.Now()
			d.post(ctx, core.Tick(now))
			d.publish(now, core)
		case m := <-d.inbox:
			d.post(ctx, core.Receive(clock.Now(), m))
		case <-d.orders.Waiting:
			now := clock.Now()
			d.obey(ctx, now, core)
			d.publishNow(now, core)
		}
	}
}

func (d *Duty) obey(ctx context.Context, now time.Time, core *Core) {
	o := d.orders.take()
	core.AddContacts(o.Contacts)
	if o.Generation > core.Table.Self().Generation {
		core.SetGeneration(now, o.Generation)
	}
	if o.HasTargets {
		d.post(ctx, core.SetTargets(now, o.Targets))
	}
	if len(o.Leave) == 0 {
		return
	}
	d.post(ctx, core.Leave(now))
	d.o.Logger.Info("GossipLeft", zap.String("VM", d.o.Self.VM))
	for _, told := range o.Leave {
		close(told)
	}
}

func (d *Duty) post(ctx context.Context, sends []Send) {
	for _, s := range sends {
		d.counts.sent.Inc()
		if err := d.o.Peers.Send(ctx, s.Address, s.Message); err != nil {
			d.counts.sendFailed.Inc()
		}
	}
}

// publish replaces the view when the table has changed, but not too often: a
// view of a large fleet is a large slice.
func (d *Duty) publish(now time.Time, core *Core) {
	wait := publishEvery
	if core.Table.Changes == d.view.Load().Changes {
		wait = publishGenerationsEvery
	}
	if now.Sub(d.publishedAt) >= wait {
		d.publishNow(now, core)
	}
}

func (d *Duty) publishNow(now time.Time, core *Core) {
	if core.Superseded {
		d.supersede()
	}
	d.counts.take(core)
	old := d.view.Load()
	version := core.Table.Changes + core.Table.GenerationChanges
	if old.Version == version {
		return
	}
	d.publishedAt = now
	d.view.Store(&view{
		Members: core.Table.Members(),
		Self:    core.Table.Self(),
		Version: version,
		Changes: core.Table.Changes,
		Newer:   make(chan struct{}),
	})
	close(old.Newer)
}

func (d *Duty) supersede() {
	select {
	case <-d.superseded:
	default:
		d.o.Logger.Error("VMSuperseded", zap.String("VM", d.o.Self.VM))
		close(d.superseded)
	}
}
