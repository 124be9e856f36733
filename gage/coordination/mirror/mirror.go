// Package mirror maintains a node's copy of the documents that operators write
// to the store, such as the configuration. A few nodes read the store. The other
// nodes learn from them which revision is current, and fetch newer documents
// from them.
package mirror

import (
	"context"
	"errors"
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
	// readerCount is the number of nodes of a fleet that read the store regularly.
	readerCount = 2
	// takeoverTime is how long a node that has taken over goes on reading after it has
	// reached the store.
	takeoverTime = 4 * time.Second
	// fetchTimeout bounds the time to fetch the documents from another node.
	fetchTimeout = 500 * time.Millisecond
)

// Snapshot is the state of the documents at one revision of the store. It is
// immutable.
type Snapshot struct {
	// StoreRevision is the revision of the store up to which Entries includes all
	// changes, or 0 if the documents have not been loaded.
	StoreRevision int64 `msgpack:"Seen"`
	// Revision is the store's revision at the last change of Entries, or 0 if the
	// documents have not been loaded.
	Revision int64
	// Entries are the documents by their key in the store.
	Entries map[string]gage.Entry
}

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
	// OnChange is called with each newer snapshot, by Run and by the goroutines that
	// fetch from other nodes. The calls do not overlap, and each has a newer snapshot
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
	// isFetching is true while a fetch from another node is running.
	isFetching bool
	// isStoreLost is true while calls to the store fail. Only Run uses it.
	isStoreLost bool
	// failures is the number of calls to the store that have failed since the last
	// success. Only Run uses it.
	failures int
	// readsUntil is the time until which this node reads the store because it has taken
	// over from the regular readers. Only Run uses it.
	readsUntil time.Time
}

// New returns an empty mirror.
func New(options Options) *Mirror {
	return &Mirror{options: options}
}

// Latest returns the newest snapshot and the latest time at which it was known
// to be current.
func (m *Mirror) Latest() (Snapshot, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.latest, m.confirmedAt
}

// Run reads the store once at the start. After that, until ctx ends, it reads the
// store while this node is one of the readers, and while the snapshot has not been
// confirmed for so long that it takes over from them.
func (m *Mirror) Run(ctx context.Context) {
	first := true
	for ctx.Err() == nil {
		now := m.options.Clock.Now()
		snapshot, confirmedAt := m.Latest()
		rank := m.options.ReadRank(now)
		age := gage.Elapsed(now, confirmedAt)
		takesOver := age > m.takeoverAge(rank)
		if !first && rank >= readerCount && !takesOver && !now.Before(m.readsUntil) {
			sleep(ctx, roleCheckInterval)
			continue
		}
		if !first && rank >= readerCount && takesOver && now.After(m.readsUntil) && m.failures == 0 {
			m.options.Logger.Info("StoreReadTakenOver", zap.Int("Rank", rank), zap.Duration("ConfirmationAge", age), zap.Int64("Revision", snapshot.Revision))
		}
		first = false
		var err error
		pause := time.Duration(0)
		if snapshot.StoreRevision == 0 {
			err = m.load(ctx, now)
			pause = rankSettlingTime
		} else {
			err = m.poll(ctx, now, snapshot, takesOver)
		}
		m.logReachability(err)
		if err != nil {
			pause = m.pauseAfterFailure(rank)
			m.failures++
		} else {
			m.failures = 0
			if takesOver && snapshot.StoreRevision != 0 {
				m.readsUntil = now.Add(takeoverTime)
			}
		}
		sleep(ctx, pause)
	}
}

// shareOfDelay returns a share of Options.MaxDelay.
func (m *Mirror) shareOfDelay(share float64) time.Duration {
	return time.Duration(share * float64(m.options.MaxDelay()))
}

// takeoverAge returns the age of the last confirmation above which a node of a rank
// reads the store, although it is not a regular reader.
func (m *Mirror) takeoverAge(rank int) time.Duration {
	return m.shareOfDelay(min(takeoverShare+float64(max(rank-readerCount, 0))*takeoverStepShare, takeoverLimitShare))
}

// pauseAfterFailure returns the pause after a call that has failed.
func (m *Mirror) pauseAfterFailure(rank int) time.Duration {
	if rank < readerCount {
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

// load reads all documents from the store.
func (m *Mirror) load(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, revision, err := m.options.Store.List(ctx, m.options.Prefix)
	if err != nil {
		return err
	}
	s := Snapshot{StoreRevision: revision, Entries: make(map[string]gage.Entry, len(entries))}
	for _, e := range entries {
		s.Entries[e.Key] = e
		s.Revision = max(s.Revision, e.Revision)
	}
	current, _ := m.Latest()
	switch {
	case sameRevisions(s.Entries, current.Entries):
		s.Revision = current.Revision
	case s.Revision <= current.Revision:
		// The entries differ although none has a newer revision, so that a key
		// was deleted. The revision of the deletion is at most that of the store.
		s.Revision = revision
	}
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
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	changes, revision, err := m.options.Store.Poll(ctx, m.options.Prefix, s.StoreRevision, wait)
	if errors.Is(err, gage.ErrCompacted) {
		return m.load(ctx, m.options.Clock.Now())
	}
	if err != nil {
		return err
	}
	next := Snapshot{StoreRevision: max(revision, s.StoreRevision), Revision: s.Revision, Entries: s.Entries}
	if len(changes) > 0 {
		next.Entries = applyChanges(s.Entries, changes)
	}
	for _, e := range changes {
		next.Revision = max(next.Revision, e.Revision)
		next.StoreRevision = max(next.StoreRevision, e.Revision)
	}
	m.advance(next, now)
	return nil
}

// applyChanges returns a copy of old with the changes. A change without a value
// is a deletion.
func applyChanges(old map[string]gage.Entry, changes []gage.Entry) map[string]gage.Entry {
	updated := make(map[string]gage.Entry, len(old)+len(changes))
	for key, e := range old {
		updated[key] = e
	}
	for _, e := range changes {
		if e.Revision < updated[e.Key].Revision {
			continue
		}
		if e.Value == nil {
			delete(updated, e.Key)
			continue
		}
		updated[e.Key] = e
	}
	return updated
}

// advance makes s the latest snapshot if it is newer. Unless s is older than the
// latest snapshot, advance also records that s was current at confirmedAt.
func (m *Mirror) advance(s Snapshot, confirmedAt time.Time) {
	m.changes.Lock()
	defer m.changes.Unlock()
	m.mu.Lock()
	isNewer := s.Revision > m.latest.Revision
	if isNewer {
		m.latest = s
	} else if s.Revision == m.latest.Revision {
		m.latest.StoreRevision = max(m.latest.StoreRevision, s.StoreRevision)
	}
	if s.Revision >= m.latest.Revision && confirmedAt.After(m.confirmedAt) {
		m.confirmedAt = confirmedAt
	}
	m.mu.Unlock()
	if isNewer {
		m.options.OnChange(m.options.Clock.Now(), s)
	}
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

// ObservePeer processes the report of the node at address that its documents have
// the given revision, which was current at confirmedAt. If the revision is newer
// than the latest snapshot, ObservePeer starts to fetch the documents from that
// node, unless a fetch is running. If the revision is not newer, ObservePeer only
// records the confirmation.
func (m *Mirror) ObservePeer(ctx context.Context, address string, revision int64, confirmedAt time.Time) {
	m.mu.Lock()
	isBehind := revision > m.latest.Revision
	if !isBehind && revision > 0 && confirmedAt.After(m.confirmedAt) {
		m.confirmedAt = confirmedAt
	}
	startFetch := isBehind && !m.isFetching
	m.isFetching = m.isFetching || startFetch
	m.mu.Unlock()
	if startFetch {
		go m.fetch(ctx, address, revision, confirmedAt)
	}
}

func (m *Mirror) fetch(ctx context.Context, address string, revision int64, confirmedAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	s, err := m.options.Fetch(ctx, address)
	m.mu.Lock()
	m.isFetching = false
	m.mu.Unlock()
	if err != nil {
		m.options.Logger.Warn("DocumentsNotFetched", zap.String("Address", address), zap.Int64("Revision", revision), zap.Error(err))
		return
	}
	if s.Revision < revision {
		// The confirmation is for a newer revision than the fetched one.
		confirmedAt = time.Time{}
	}
	m.advance(s, confirmedAt)
}
