// Package mirror maintains a node's copy of the documents that operators write
// to the store, such as the configuration. A few nodes read the store. The other
// nodes learn from them which revision is current, and fetch newer documents
// from them.
package mirror

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
)

// These times are shares of Options.MaxDelay. Two polls, the way of the news to all nodes
// and the takeover by the last node fit into it.
const (
	// pollShare is how long the store may wait for a change before it answers a poll.
	pollShare = 0.25
	// If the last confirmation of its snapshot is older than takeoverShare, the next node
	// in order of rank reads the store too, and one more for each takeoverStepShare
	// beyond, all of them at takeoverLimitShare. Confirmations of a regular reader arrive
	// at all nodes before takeoverShare.
	takeoverShare      = 0.8
	takeoverStepShare  = 0.0125
	takeoverLimitShare = 0.95
)

const (
	// minCallInterval is the minimum time between the starts of two calls to the store.
	minCallInterval = 50 * time.Millisecond
	// callTimeout bounds a call to the store. For a poll the time that the store may wait
	// is added.
	callTimeout = 1200 * time.Millisecond
	// retryPause is the pause after a call to the store that failed. It doubles with
	// each failure, up to maxRetryPause, at nodes that are not among the regular readers.
	retryPause    = 300 * time.Millisecond
	maxRetryPause = 1500 * time.Millisecond
	// roleCheckInterval is how often a node that does not read the store checks
	// whether it should.
	roleCheckInterval = 100 * time.Millisecond
	// rankSettlingTime is the pause after the first read. A node that has just started
	// does not know yet which nodes read before it.
	rankSettlingTime = 800 * time.Millisecond
	// takeoverTime is how long a node that has taken over goes on reading after it has
	// reached the store.
	takeoverTime = 4 * time.Second
	// carryTime is how long documents without a version are carried after the store was
	// restored without them: the time that operators have to write them again.
	carryTime = 10 * time.Second
	// fetchTimeout bounds the time to fetch the documents from another node.
	fetchTimeout = 500 * time.Millisecond
)

// ReaderCount is the number of nodes of a fleet that read the store regularly: those with
// an Options.ReadRank below it.
const ReaderCount = 2

// Options holds what a Mirror depends on.
type Options struct {
	Store gage.Poller
	// Prefix is the prefix of the documents' keys in the store.
	Prefix string
	Clock  gage.Clock
	Logger *zap.Logger
	// ReadRank returns the number of live nodes that read the store before this one.
	// The order of the nodes is the same at all of them.
	ReadRank func(now time.Time) int
	// MaxDelay returns the time within which a change in the store must be in force at
	// all nodes that reach it, even if nodes that read it are lost.
	MaxDelay func() time.Duration
	// Version returns the version that its writer gave a document, or 0 if it has none.
	// A lower version never replaces a higher one, whatever the store says.
	Version func(e gage.Entry) int64
	// OnChange is called with each newer snapshot, by Run and by the goroutines that
	// fetch from other nodes. The calls do not overlap, and none has an older snapshot
	// than the one before.
	OnChange func(now time.Time, s Snapshot)
	// Fetch returns the snapshot of the node at address.
	Fetch func(ctx context.Context, address string) (Snapshot, error)
}

// Mirror is one node's copy of the documents. It is safe for concurrent use.
type Mirror struct {
	options Options
	// changes is held while latest is replaced and OnChange runs.
	changes sync.Mutex
	mu      sync.Mutex
	latest  Snapshot
	// confirmedAt is the latest time at which latest was known to be current.
	confirmedAt time.Time
	// carriedUntil holds, for the keys of latest.Carried, when they are given up.
	carriedUntil map[string]time.Time
	// isFetching is true while a fetch from another node is running.
	isFetching bool
	// fetchAfter is when the next fetch may start. It is set when a node did not have the
	// documents that it had reported.
	fetchAfter time.Time
	// isSettled is true once this node has compared its documents with those of another
	// node, or has waited for one in vain.
	isSettled bool
	// isStoreLost is true while calls to the store fail. Only Run uses it.
	isStoreLost bool
	// failures is the number of calls to the store that have failed since the last
	// success. Only Run uses it.
	failures int
	// readsUntil is the time until which this node reads the store because it has taken
	// over from the regular readers. Only Run uses it.
	readsUntil time.Time
	// reloads is the number of calls in a row after which all documents had to be read
	// again. Only Run uses it.
	reloads int
}

// New returns an empty mirror.
func New(options Options) *Mirror {
	return &Mirror{options: options, carriedUntil: make(map[string]time.Time)}
}

// Latest returns the newest snapshot and the latest time at which it was known
// to be current.
func (m *Mirror) Latest() (Snapshot, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.latest, m.confirmedAt
}

// Settled reports whether the documents can be relied on to be the latest that any node
// has seen. Those of a node that has just started cannot: the store may have been restored
// from a copy, and may hold older ones than the other nodes.
func (m *Mirror) Settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isSettled
}

func (m *Mirror) settle() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isSettled = true
}

// Run reads the store once at the start. After that, until ctx ends, it reads the
// store while this node is one of the readers, and while the snapshot has not been
// confirmed for so long that it takes over from them.
func (m *Mirror) Run(ctx context.Context) {
	first := true
	for ctx.Err() == nil {
		now := m.options.Clock.Now()
		m.expireCarried(now)
		snapshot, confirmedAt := m.Latest()
		rank := m.options.ReadRank(now)
		age := gage.Elapsed(now, confirmedAt)
		takesOver := age > m.takeoverAge(rank)
		if !first && rank >= ReaderCount && !takesOver && !now.Before(m.readsUntil) {
			sleep(ctx, roleCheckInterval)
			continue
		}
		if !first && rank >= ReaderCount && takesOver && now.After(m.readsUntil) && m.failures == 0 {
			m.options.Logger.Info("StoreReadTakenOver", zap.Int("Rank", rank), zap.Duration("ConfirmationAge", age), zap.Int64("Revision", snapshot.Revision))
		}
		first = false
		var err error
		isLoad := snapshot.StoreRevision == 0
		pause := time.Duration(0)
		if isLoad {
			err = m.load(ctx, now, snapshot)
			pause = rankSettlingTime
		} else {
			err = m.poll(ctx, now, snapshot, takesOver)
			pause = max(m.pauseAfterReload(), minCallInterval-gage.Elapsed(m.options.Clock.Now(), now))
		}
		m.logReachability(err)
		if err != nil {
			pause = m.pauseAfterFailure(rank)
			m.failures++
		} else {
			m.failures = 0
			if takesOver && !isLoad {
				m.readsUntil = now.Add(takeoverTime)
			}
		}
		sleep(ctx, pause)
		if isLoad && err == nil {
			m.settle()
		}
	}
}

// pauseAfterReload returns the pause after a poll. There is none unless all documents had
// to be read again several times in a row.
func (m *Mirror) pauseAfterReload() time.Duration {
	if m.reloads < 2 {
		return 0
	}
	return min(retryPause<<min(m.reloads-2, 10), maxRetryPause)
}

// shareOfDelay returns a share of Options.MaxDelay.
func (m *Mirror) shareOfDelay(share float64) time.Duration {
	return time.Duration(share * float64(m.options.MaxDelay()))
}

// takeoverAge returns the age of the last confirmation above which a node of a rank
// reads the store, although it is not a regular reader.
func (m *Mirror) takeoverAge(rank int) time.Duration {
	return m.shareOfDelay(min(takeoverShare+float64(max(rank-ReaderCount, 0))*takeoverStepShare, takeoverLimitShare))
}

// pauseAfterFailure returns the pause after a call that has failed.
func (m *Mirror) pauseAfterFailure(rank int) time.Duration {
	if rank < ReaderCount {
		return retryPause
	}
	return min(retryPause<<min(m.failures+1, 10), maxRetryPause)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// logReachability logs when calls to the store begin to fail and when they
// succeed again.
func (m *Mirror) logReachability(err error) {
	if errors.Is(err, context.Canceled) || (err != nil) == m.isStoreLost {
		return
	}
	m.isStoreLost = err != nil
	if m.isStoreLost {
		m.options.Logger.Warn("StoreLost", zap.Error(err))
		return
	}
	m.options.Logger.Info("StoreBack")
}

// errStoreBehind is the error of a call to a store that has fallen behind without
// naming a new era.
const errStoreBehind gage.StoreError = "the store is behind what it has shown before"

// load reads all documents from the store. Known is the latest snapshot at now.
func (m *Mirror) load(ctx context.Context, now time.Time, known Snapshot) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, at, err := m.options.Store.List(ctx, m.options.Prefix)
	if err != nil {
		return err
	}
	if at.Before(gage.StorePosition{Era: known.Era, Revision: known.StoreRevision}) {
		return fmt.Errorf("%w: era %d, revision %d after era %d, revision %d", errStoreBehind, at.Era, at.Revision, known.Era, known.StoreRevision)
	}
	s := Snapshot{Era: at.Era, StoreRevision: at.Revision, Entries: make(map[string]gage.Entry, len(entries))}
	for _, e := range entries {
		s.Entries[e.Key] = e
		s.Revision = max(s.Revision, e.Revision)
	}
	current, _ := m.Latest()
	switch {
	case current.Era != s.Era:
		if len(entries) == 0 && current.StoreRevision > 0 {
			s.Revision = at.Revision
		}
	case sameRevisions(s.Entries, current.Entries):
		s.Revision = current.Revision
	case s.Revision <= current.Revision:
		// The entries differ although none has a newer revision, so that a key
		// was deleted. The revision of the deletion is at most that of the store.
		s.Revision = at.Revision
	}
	s.Version = m.version(s.Entries)
	m.advance(s, now)
	return nil
}

// poll reads the changes after snapshot s and applies them. It waits for a change, or
// returns at once if isUrgent.
func (m *Mirror) poll(ctx context.Context, now time.Time, s Snapshot, isUrgent bool) error {
	wait := m.shareOfDelay(pollShare)
	if isUrgent {
		wait = 0
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	changes, at, err := m.options.Store.Poll(callCtx, m.options.Prefix, s.StoreRevision, wait)
	if errors.Is(err, gage.ErrCompacted) || err == nil && at.Era != s.Era {
		m.reloads++
		return m.load(ctx, m.options.Clock.Now(), s)
	}
	if err != nil {
		return err
	}
	m.reloads = 0
	next := s
	next.StoreRevision = max(at.Revision, s.StoreRevision)
	if len(changes) > 0 {
		next.Entries = applyChanges(s.Entries, changes)
		next.Version = m.version(next.Entries)
		next.Carried = slices.Clone(s.Carried)
	}
	for _, e := range changes {
		next.Revision = max(next.Revision, e.Revision)
		next.StoreRevision = max(next.StoreRevision, e.Revision)
		next.Carried = slices.DeleteFunc(next.Carried, func(key string) bool { return key == e.Key })
	}
	m.dropCarried(s.Era, changes)
	m.advance(next, now)
	return nil
}

// sameRevisions reports whether a and b have the same keys at the same revisions.
func sameRevisions(a, b map[string]gage.Entry) bool {
	if len(a) != len(b) {
		return false
	}
	for key, e := range a {
		if other, ok := b[key]; !ok || other.Revision != e.Revision {
			return false
		}
	}
	return true
}
