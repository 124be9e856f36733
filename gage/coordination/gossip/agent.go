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
	// inboxSize bounds the received messages that wait for the agent's
	// goroutine.
	inboxSize = 1024
	// minPublishInterval is the minimum time between two published views. The
	// view that results from a command, such as SetTargets, is published at once.
	minPublishInterval = 250 * time.Millisecond
	// minGenerationPublishInterval replaces minPublishInterval when only
	// configuration generations have changed. It is longer because a new
	// configuration changes the generation of every node.
	minGenerationPublishInterval = 2 * time.Second
)

// Agent runs a Core on one goroutine and publishes its membership table. It
// implements gage.Membership. Its methods are safe for concurrent use.
type Agent struct {
	options  Options
	timing   Timing
	metrics  agentMetrics
	inbox    chan Message
	commands *commandBuffer
	view     atomic.Pointer[view]
	// superseded is closed when a later process uses this VM's name.
	superseded chan struct{}
	// done is closed when Run returns.
	done chan struct{}
	// publishedAt is when the present view was published. Only the goroutine
	// of Run uses it.
	publishedAt time.Time
}

// view is an immutable copy of the membership table.
type view struct {
	Members []gage.Member
	Self    gage.Member
	// Version is the sum of Table.Changes and Table.GenerationChanges at the
	// time of the copy.
	Version uint64
	// Changes is Table.Changes at the time of the copy.
	Changes uint64
	// Replaced is closed when a later view is published.
	Replaced chan struct{}
}

// New returns an agent that sends and processes nothing until Run is called.
func New(o Options) *Agent {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	a := &Agent{
		options:    o,
		timing:     o.Timing.withDefaults(),
		inbox:      make(chan Message, inboxSize),
		commands:   newCommandBuffer(),
		superseded: make(chan struct{}),
		done:       make(chan struct{}),
	}
	self := member.New(time.Time{}, o.Self).Self()
	a.view.Store(&view{Members: []gage.Member{self}, Self: self, Replaced: make(chan struct{})})
	a.metrics = newAgentMetrics(o.Metrics, a)
	return a
}

// Members returns all known nodes, including this one and nodes that are dead or
// have left, so that callers must check Phase. The slice is shared and must not
// be modified. The call neither copies the slice nor blocks.
func (a *Agent) Members() []gage.Member { return a.view.Load().Members }

// Self returns this node's own record as of the last published view.
func (a *Agent) Self() gage.Member { return a.view.Load().Self }

// Version returns a number that increases with every change of the result of
// Members, and a channel that is closed at the next change.
func (a *Agent) Version() (uint64, <-chan struct{}) {
	v := a.view.Load()
	return v.Version, v.Replaced
}

// Superseded returns a channel that is closed when a later process uses this
// VM's name. This process must then stop.
func (a *Agent) Superseded() <-chan struct{} { return a.superseded }

// SetTargets replaces the targets in this node's own record. It copies targets
// and returns before the change takes effect.
func (a *Agent) SetTargets(targets []gage.TargetRecord) {
	targets = append([]gage.TargetRecord(nil), targets...)
	a.submit(func(c *commands) { c.Targets, c.ReplacesTargets = targets, true })
}

// SetGeneration raises the configuration generation in this node's own record. It
// ignores a value that is lower than the present one.
func (a *Agent) SetGeneration(generation int64) {
	a.submit(func(c *commands) { c.Generation = max(c.Generation, generation) })
}

// Receive queues a message from a peer for processing. It returns false when
// the message was dropped because the queue is full.
func (a *Agent) Receive(m Message) bool {
	select {
	case a.inbox <- m:
		return true
	default:
		a.metrics.inboxFull.Inc()
		return false
	}
}

// Leave announces to some peers that this node leaves the fleet. It returns
// when the messages have been passed to Options.Sender, when Run has returned,
// or when ctx is done.
func (a *Agent) Leave(ctx context.Context) {
	sent := make(chan struct{})
	a.submit(func(c *commands) { c.Leave = append(c.Leave, sent) })
	select {
	case <-sent:
	case <-a.done:
	case <-ctx.Done():
	}
}

// Run processes messages, timers and commands until ctx is done. It must be
// called once.
func (a *Agent) Run(ctx context.Context, clock gage.Clock) {
	defer close(a.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if a.options.Store != nil {
		go newRendezvousClient(a).run(ctx)
	}
	core := NewCore(clock.Now(), a.options.Self, a.options.Seeds, a.timing, a.options.Rand)
	ticker := time.NewTicker(a.timing.TickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			now := clock.Now()
			a.sendAll(ctx, core.Tick(now))
			a.publishIfDue(now, core)
		case m := <-a.inbox:
			a.sendAll(ctx, core.Receive(clock.Now(), m))
		case <-a.commands.Ready:
			now := clock.Now()
			a.runCommands(ctx, now, core)
			a.publishNow(now, core)
		}
	}
}

func (a *Agent) runCommands(ctx context.Context, now time.Time, core *Core) {
	c := a.commands.takeAll()
	core.AddContacts(c.Contacts)
	if c.Generation > core.Table.Self().Generation {
		core.SetGeneration(now, c.Generation)
	}
	if c.ReplacesTargets {
		a.sendAll(ctx, core.SetTargets(now, c.Targets))
	}
	if len(c.Leave) == 0 {
		return
	}
	a.sendAll(ctx, core.Leave(now))
	a.options.Logger.Info("GossipLeft", zap.String("VM", a.options.Self.VM))
	for _, sent := range c.Leave {
		close(sent)
	}
}

func (a *Agent) sendAll(ctx context.Context, envelopes []Envelope) {
	for _, e := range envelopes {
		a.metrics.sent.Inc()
		if err := a.options.Sender.Send(ctx, e.Address, e.Message); err != nil {
			a.metrics.sendFailed.Inc()
		}
	}
}

// publishIfDue publishes a new view unless the last one is too recent. The rate
// is limited because each view copies the records of the whole fleet.
func (a *Agent) publishIfDue(now time.Time, core *Core) {
	interval := minPublishInterval
	if core.Table.Changes == a.view.Load().Changes {
		interval = minGenerationPublishInterval
	}
	if now.Sub(a.publishedAt) >= interval {
		a.publishNow(now, core)
	}
}

// publishNow updates the metrics and, if the table has changed, the view.
func (a *Agent) publishNow(now time.Time, core *Core) {
	if core.Superseded {
		a.markSuperseded()
	}
	a.metrics.copyFrom(core)
	old := a.view.Load()
	version := core.Table.Changes + core.Table.GenerationChanges
	if old.Version == version {
		return
	}
	a.publishedAt = now
	a.view.Store(&view{
		Members:  core.Table.Members(),
		Self:     core.Table.Self(),
		Version:  version,
		Changes:  core.Table.Changes,
		Replaced: make(chan struct{}),
	})
	close(old.Replaced)
}

func (a *Agent) markSuperseded() {
	select {
	case <-a.superseded:
	default:
		a.options.Logger.Error("VMSuperseded", zap.String("VM", a.options.Self.VM))
		close(a.superseded)
	}
}
