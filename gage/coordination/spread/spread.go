// Package spread replicates the documents in the store to all nodes by gossip. A
// few nodes of each zone are readers, which read the store; the readers change
// every half minute. The other nodes learn of new revisions from their neighbors
// and pull each new revision once, as a delta against the one that they hold. The
// messages also say how recently the readers of each zone reached the store, so
// that an isolated node can detect its isolation.
package spread

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/fresh"
)

// Options are the dependencies of a Spread.
type Options struct {
	Members gage.Membership
	Store   gage.Store
	Peer    Peer
	Clock   gage.Clock
	// Random must not be used by others, since Spread guards it with its own lock.
	Random  *rand.Rand
	Logger  *zap.Logger
	Metrics *metrics.Set
}

// replicatedPrefixes are the key prefixes of the documents that are replicated.
var replicatedPrefixes = []string{gage.StoreConfigKey, gage.StoreSharePrefix}

// Spread implements gage.Documents.
type Spread struct {
	options  Options
	counters *counters
	random   *lockedRand

	mu        sync.Mutex
	documents *documentTable
	// zones is guarded by mu.
	zones *fresh.Table
	// requestsSent counts the exchange requests; guarded by mu.
	requestsSent int
	// unpushed holds, by key, the revisions that pushLoop has not announced yet;
	// guarded by mu.
	unpushed map[string]int64
	// pulling holds, by key, the wanted revision of each pull in flight; guarded by
	// mu.
	pulling map[string]int64

	packer        packer
	neighborCache neighborCache
	notifier      *notifier
	// pullQueue holds pulls of documents that are newer at a peer.
	pullQueue chan pullTask
	// pushWake wakes pushLoop.
	pushWake chan struct{}
}

// New returns a Spread without documents. It replicates once Run is called.
func New(o Options) *Spread {
	return &Spread{
		options:   o,
		counters:  newCounters(o.Metrics),
		random:    &lockedRand{source: o.Random},
		documents: newDocumentTable(),
		zones:     fresh.New(o.Members.Self().Zone),
		unpushed:  make(map[string]int64),
		pulling:   make(map[string]int64),
		notifier:  newNotifier(),
		pullQueue: make(chan pullTask, pullQueueCapacity),
		pushWake:  make(chan struct{}, 1),
	}
}

// Run replicates documents until ctx ends.
func (s *Spread) Run(ctx context.Context) {
	loops := []func(context.Context){s.readLoop, s.gossipLoop, s.pushLoop, s.notifyLoop}
	for range pullWorkers {
		loops = append(loops, s.pullLoop)
	}
	var loopGroup sync.WaitGroup
	for _, loop := range loops {
		loopGroup.Go(func() { loop(ctx) })
	}
	loopGroup.Wait()
}

// Latest returns the newest revision of a document that this node holds. It
// reports false if the node holds none.
func (s *Spread) Latest(key string) (gage.Document, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.documents.latest[key]
	return d, ok
}

// Subscribe calls onChange for every document whose key begins with prefix: for
// the held revision and then for each newer one. Run makes all calls on one
// goroutine. Revisions that are replaced before their call are skipped.
func (s *Spread) Subscribe(prefix string, onChange func(gage.Document)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing := make([]gage.Document, 0, len(s.documents.latest))
	for _, d := range s.documents.latest {
		existing = append(existing, d)
	}
	s.notifier.subscribe(prefix, onChange, existing)
}

// Offer stores a document that this node has read, written or pulled, if it is
// newer than the held revision.
func (s *Spread) Offer(d gage.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeIfNewer(d)
}

// storeIfNewer stores a document if it is newer than the held revision, and
// notifies pushLoop and the subscribers. It reports whether it stored the
// document. The caller holds mu.
func (s *Spread) storeIfNewer(d gage.Document) bool {
	if !isReplicated(d.Key) || !s.documents.put(d) {
		return false
	}
	s.counters.documentsStored.Inc()
	s.unpushed[d.Key] = d.Revision
	s.notifier.enqueue(d)
	select {
	case s.pushWake <- struct{}{}:
	default:
	}
	return true
}

// ConfirmedAt returns the latest time at which this node is known to have held
// everything in the store, from its own reads or from the zone ages of peers. The
// zero time means never.
func (s *Spread) ConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.zones.ConfirmedAt()
}

// Verdict returns the verdict on whether this node's configuration is recent
// enough at now to admit callers that authenticate with keys.
func (s *Spread) Verdict(now time.Time) fresh.Verdict {
	s.mu.Lock()
	view := fresh.View{
		Generation: s.documents.latest[gage.StoreConfigKey].Revision,
		Reports:    s.zones.Reports(),
	}
	s.mu.Unlock()
	return fresh.Decide(now, view, fresh.IsolationBound)
}

func isReplicated(key string) bool {
	for _, prefix := range replicatedPrefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// lockedRand is a rand.Rand that is safe for concurrent use.
type lockedRand struct {
	mu     sync.Mutex
	source *rand.Rand
}

// fraction returns a random number in [0, 1).
func (r *lockedRand) fraction() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Float64()
}

// intN returns a random number in [0, n).
func (r *lockedRand) intN(n int) int {
	return int(r.fraction() * float64(n))
}

// jitter returns a random duration within 20 % of d, so that nodes that start
// together do not stay synchronized.
func (r *lockedRand) jitter(d time.Duration) time.Duration {
	return time.Duration((0.8 + 0.4*r.fraction()) * float64(d))
}

// sleep waits for d. It reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
