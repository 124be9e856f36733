// Package gossip maintains the fleet's membership. Each node probes other nodes
// to detect failures, gossips changes, periodically compares its table with
// that of a peer (anti-entropy), and joins through a bounded number of records
// in the store.
package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
)

// Sender sends messages to other nodes.
type Sender interface {
	// Send sends one message and neither blocks nor waits for an answer. An
	// error means that the message was not delivered; a nil error does not mean
	// that it was delivered.
	Send(ctx context.Context, address string, m Message) error
}

// Options are the inputs of New.
type Options struct {
	// Self is this node's own record. VM, PeerAddress and StartedAt are
	// required.
	Self gage.Member
	// Seeds are peer addresses to join through, in addition to those in the
	// store's rendezvous records.
	Seeds []string
	// Store holds the rendezvous records. If it is nil, none are used.
	Store  gage.Store
	Sender Sender
	// Rand is used only by the goroutine of Agent.Run.
	Rand    *rand.Rand
	Logger  *zap.Logger
	Metrics *metrics.Set
	// Timing may be incomplete: zero fields have defaults.
	Timing Timing
}

// Timing holds the intervals and timeouts of the protocol.
type Timing struct {
	// TickInterval is the time between two checks of all timers.
	TickInterval time.Duration
	// ProbeInterval is the time between two probes by one node.
	ProbeInterval time.Duration
	// DirectProbeTimeout is how long a node waits for an Ack before it
	// requests indirect probes by other nodes. It must exceed the round-trip
	// time between regions.
	DirectProbeTimeout time.Duration
	// ProbeTimeout is how long a node waits for an Ack, direct or relayed,
	// before it suspects the probed node.
	ProbeTimeout time.Duration
	// SpreadInterval is the minimum time between two rounds of messages that
	// are sent only to carry queued updates.
	SpreadInterval time.Duration
	// SyncInterval is the mean time between two table comparisons that a node
	// begins. It is shorter after a comparison that found a difference.
	SyncInterval time.Duration
	// ReconnectInterval is the mean time between two attempts to reach a dead
	// node.
	ReconnectInterval time.Duration
	// GoneRetention is how long a node that is dead or has left stays in the
	// table. Until then this node can reconnect to it without the store, for example
	// after a partition between regions.
	GoneRetention time.Duration
	// RendezvousInterval is the time between two reads of the rendezvous
	// records by a node to which at least one of them is assigned.
	RendezvousInterval time.Duration
}

// The defaults of Timing.
const (
	defaultTickInterval       = 100 * time.Millisecond
	defaultProbeInterval      = time.Second
	defaultDirectProbeTimeout = 500 * time.Millisecond
	defaultProbeTimeout       = 2 * time.Second
	defaultSpreadInterval     = 200 * time.Millisecond
	defaultSyncInterval       = 15 * time.Second
	defaultReconnectInterval  = 5 * time.Second
	defaultGoneRetention      = 2 * time.Hour
	defaultRendezvousInterval = time.Minute
)

func (t Timing) withDefaults() Timing {
	fill(&t.TickInterval, defaultTickInterval)
	fill(&t.ProbeInterval, defaultProbeInterval)
	fill(&t.DirectProbeTimeout, defaultDirectProbeTimeout)
	fill(&t.ProbeTimeout, defaultProbeTimeout)
	fill(&t.SpreadInterval, defaultSpreadInterval)
	fill(&t.SyncInterval, defaultSyncInterval)
	fill(&t.ReconnectInterval, defaultReconnectInterval)
	fill(&t.GoneRetention, defaultGoneRetention)
	fill(&t.RendezvousInterval, defaultRendezvousInterval)
	return t
}

func fill(d *time.Duration, fallback time.Duration) {
	if *d <= 0 {
		*d = fallback
	}
}
