// Package dedup ensures that a call with an idempotency key runs at most once.
// Each shard of the keys has a home and two witnesses, which are the holders of
// the shard's slots. The home grants or refuses claims on keys. It grants a claim
// only after at least one witness has recorded it.
package dedup

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/table"
)

// The limits of one process, over all slots that it holds.
const (
	maxKeys          = 300_000
	maxAnswerBytes   = 16 << 20
	maxPendingClaims = 4096
	maxNotices       = 8192
)

// KeeperOptions are the dependencies of a Keeper.
type KeeperOptions struct {
	Self   gage.Process
	Shares gage.Shares
	Peers  Peers
	// Clock is read again after each wait for another node.
	Clock   gage.Clock
	Logger  *zap.Logger
	Metrics *metrics.Set
	// Go starts a task of bounded duration. If nil, each task runs on a new
	// goroutine.
	Go func(task func())
}

// Keeper holds the tables of the slots that this process serves. It is safe
// for concurrent use.
type Keeper struct {
	options KeeperOptions

	mu        sync.Mutex
	budget    table.Budget
	heldSlots map[slotID]*heldSlot
	// pendingClaims is the number of claims that no witness has recorded yet. It
	// is at most maxPendingClaims.
	pendingClaims int

	// notices is the queue of outcomes to be sent to witnesses.
	notices chan notice
	counts  counts
}

type counts struct {
	granted        *metrics.Counter
	duplicates     *metrics.Counter
	refused        *metrics.Counter
	notCovered     *metrics.Counter
	noticesDropped *metrics.Counter
}

// NewKeeper returns a keeper without records. Call Run to start it.
func NewKeeper(options KeeperOptions) *Keeper {
	set := options.Metrics
	if options.Go == nil {
		options.Go = func(task func()) { go task() }
	}
	k := &Keeper{
		options:   options,
		budget:    table.Budget{MaxKeys: maxKeys, MaxAnswerBytes: maxAnswerBytes},
		heldSlots: make(map[slotID]*heldSlot),
		notices:   make(chan notice, maxNotices),
		counts: counts{
			granted:        set.GetOrCreateCounter(`gage_claims_total{Answer="Granted"}`),
			duplicates:     set.GetOrCreateCounter(`gage_claims_total{Answer="Duplicate"}`),
			refused:        set.GetOrCreateCounter(`gage_claims_total{Answer="Refused"}`),
			notCovered:     set.GetOrCreateCounter(`gage_claims_total{Answer="NotCovered"}`),
			noticesDropped: set.GetOrCreateCounter(`gage_claim_notices_dropped_total`),
		},
	}
	set.GetOrCreateGauge(`gage_claim_keys`, func() float64 { return float64(k.Keys()) })
	return k
}

// Keys returns the number of records in all tables of this process.
func (k *Keeper) Keys() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.budget.Keys
}
