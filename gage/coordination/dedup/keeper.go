// Package dedup runs a call with an idempotency key at most once. Each shard
// of the keys has a home, which decides, and two witnesses, of which one has
// recorded a claim before the home answers that the call may run.
package dedup

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/table"
)

// The bounds of one process, over all slots that it holds.
const (
	maxKeys        = 300_000
	maxAnswerBytes = 16 << 20
	maxClaims      = 4096
	maxNotices     = 8192
)

// KeeperOptions holds what a Keeper depends on.
type KeeperOptions struct {
	Self   gage.Process
	Shares gage.Shares
	Peers  Peers
	// Clock is read again after each wait for another node.
	Clock   gage.Clock
	Logger  *zap.Logger
	Metrics *metrics.Set
	// Go starts a task of bounded length; nil starts a goroutine.
	Go func(task func())
}

// Keeper holds the tables of the slots that this process serves. It is safe
// for concurrent use.
type Keeper struct {
	options KeeperOptions

	mu    sync.Mutex
	bound table.Budget
	seats map[seatKey]*seat
	// claims counts the claims that wait for witnesses, at most maxClaims.
	claims int

	// notices are settlements on their way to witnesses.
	notices chan notice
	counts  counts
}

type counts struct {
	granted    *metrics.Counter
	duplicates *metrics.Counter
	refused    *metrics.Counter
	uncovered  *metrics.Counter
	lost       *metrics.Counter
}

// NewKeeper returns a keeper that holds nothing.
func NewKeeper(options KeeperOptions) *Keeper {
	set := options.Metrics
	if options.Go == nil {
		options.Go = func(task func()) { go task() }
	}
	k := &Keeper{
		options: options,
		bound:   table.Budget{MaxKeys: maxKeys, MaxAnswerBytes: maxAnswerBytes},
		seats:   make(map[seatKey]*seat),
		notices: make(chan notice, maxNotices),
		counts: counts{
			granted:    set.GetOrCreateCounter(`gage_claims_total{Answer="Granted"}`),
			duplicates: set.GetOrCreateCounter(`gage_claims_total{Answer="Duplicate"}`),
			refused:    set.GetOrCreateCounter(`gage_claims_total{Answer="Refused"}`),
			uncovered:  set.GetOrCreateCounter(`gage_claims_total{Answer="NotCovered"}`),
			lost:       set.GetOrCreateCounter(`gage_claim_notices_dropped_total`),
		},
	}
	set.GetOrCreateGauge(`gage_claim_keys`, func() float64 { return float64(k.Keys()) })
	return k
}

// Keys returns the number of records held over all slots.
func (k *Keeper) Keys() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.bound.Keys
}
