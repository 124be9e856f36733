// Package mirror keeps a copy of the operators' documents in the store. A few
// nodes read the store; the others fetch what those know and count as current
// what those have confirmed.
package mirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
)

const (
	// pollWait is how long one call for changes waits at the store.
	pollWait = 800 * time.Millisecond
	// callTimeout is how long a call may take beyond its wait.
	callTimeout = 1200 * time.Millisecond
	// retryPause is the pause after a call that failed.
	retryPause = 300 * time.Millisecond
	// idlePause is how often a node that does not read looks whether it should.
	idlePause = 100 * time.Millisecond
	// readAlone is the age of the last confirmation from which every node
	// reads the store itself.
	readAlone = 1800 * time.Millisecond
	// fetchTimeout bounds the time to fetch the documents from another node.
	fetchTimeout = 500 * time.Millisecond
)

// Snapshot is the state of the documents at one revision of the store. It is
// immutable.
type Snapshot struct {
	// Seen is the store's revision up to which Entries is complete.
	Seen int64
	// Revision is that of the last change of Entries, 0 when nothing is known.
	Revision int64
	Entries  map[string]gage.Entry
}

// Options holds what a Mirror depends on.
type Options struct {
	Store  gage.Poller
	Prefix string
	Clock  gage.Clock
	Logger *zap.Logger
	// Reads tells whether this node is one of those that read the store.
	Reads func(now time.Time) bool
	// Changed is called with each newer snapshot, one at a time.
	Changed func(now time.Time, s Snapshot)
	// Fetch gets the snapshot of another node.
	Fetch func(ctx context.Context, address string) (Snapshot, error)
}

// Mirror is the copy of one node.
type Mirror struct {
	options Options
	mu      sync.Mutex
	now     Snapshot
	// confirmed is when the snapshot was last known to be current.
	confirmed time.Time
	fetching  bool
	lost      bool
}

// New returns an empty mirror.
func New(options Options) *Mirror {
	return &Mirror{options: options}
}

// Latest returns the newest snapshot and when it was last known to be current.
func (m *Mirror) Latest() (Snapshot, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now, m.confirmed
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	first := true
	for ctx.Err() == nil {
		now := m.options.Clock.Now()
		snapshot, confirmed := m.Latest()
		due := first || m.options.Reads(now) || now.Sub(confirmed) > readAlone
		first = false
		var err error
		pause := idlePause
		switch {
		case !due:
		case snapshot.Seen == 0:
			err = m.load(ctx, now)
		default:
			pause = 0
			err = m.poll(ctx, now, snapshot)
		}
		if due {
			m.note(err)
		}
		if err != nil {
			pause = retryPause
		}
		sleep(ctx, pause)
	}
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

// note logs when the store is lost and when it is back.
func (m *Mirror) note(err error) {
	if errors.Is(err, context.Canceled) || (err != nil) == m.lost {
		return
	}
	m.lost = err != nil
	if m.lost {
		m.options.Logger.Warn("StoreLost", zap.Error(err))
		return
	}
	m.options.Logger.Info("StoreBack")
}

// load reads the whole state.
func (m *Mirror) load(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, revision, err := m.options.Store.List(ctx, m.options.Prefix)
	if err != nil {
		return err
	}
	s := Snapshot{Seen: revision, Entries: make(map[string]gage.Entry, len(entries))}
	for _, e := range entries {
		s.Entries[e.Key] = e
		s.Revision = max(s.Revision, e.Revision)
	}
	known, _ := m.Latest()
	switch {
	case same(s.Entries, known.Entries):
		s.Revision = known.Revision
	case s.Revision <= known.Revision:
		// The difference is a deletion, which leaves no entry behind.
		s.Revision = revision
	}
	m.advance(s, now)
	return nil
}

// poll waits for changes after a snapshot.
func (m *Mirror) poll(ctx context.Context, now time.Time, s Snapshot) error {
	ctx, cancel := context.WithTimeout(ctx, pollWait+callTimeout)
	defer cancel()
	changes, revision, err := m.options.Store.Poll(ctx, m.options.Prefix, s.Seen, pollWait)
	if errors.Is(err, gage.ErrCompacted) {
		return m.load(ctx, m.options.Clock.Now())
	}
	if err != nil {
		return err
	}
	next := Snapshot{Seen: max(revision, s.Seen), Revision: s.Revision, Entries: s.Entries}
	if len(changes) > 0 {
		next.Entries = merge(s.Entries, changes)
	}
	for _, e := range changes {
		next.Revision = max(next.Revision, e.Revision)
		next.Seen = max(next.Seen, e.Revision)
	}
	m.advance(next, now)
	return nil
}

func merge(old map[string]gage.Entry, changes []gage.Entry) map[string]gage.Entry {
	merged := make(map[string]gage.Entry, len(old)+len(changes))
	for key, e := range old {
		merged[key] = e
	}
	for _, e := range changes {
		if e.Revision < merged[e.Key].Revision {
			continue
		}
		if e.Value == nil {
			delete(merged, e.Key)
			continue
		}
		merged[e.Key] = e
	}
	return merged
}

// advance takes in a snapshot that was current at confirmed.
func (m *Mirror) advance(s Snapshot, confirmed time.Time) {
	m.mu.Lock()
	newer := s.Revision > m.now.Revision
	if newer {
		m.now = s
	} else if s.Revision == m.now.Revision {
		m.now.Seen = max(m.now.Seen, s.Seen)
	}
	if s.Revision >= m.now.Revision && confirmed.After(m.confirmed) {
		m.confirmed = confirmed
	}
	m.mu.Unlock()
	if newer {
		m.options.Changed(m.options.Clock.Now(), s)
	}
}

func same(a, b map[string]gage.Entry) bool {
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

// Hear takes in that another node holds a revision that it knew to be current
// at confirmed, and fetches the documents when they are newer.
func (m *Mirror) Hear(ctx context.Context, address string, revision int64, confirmed time.Time) {
	m.mu.Lock()
	behind := revision > m.now.Revision
	if !behind && revision > 0 && confirmed.After(m.confirmed) {
		m.confirmed = confirmed
	}
	fetch := behind && !m.fetching
	m.fetching = m.fetching || fetch
	m.mu.Unlock()
	if fetch {
		go m.fetch(ctx, address, revision, confirmed)
	}
}

func (m *Mirror) fetch(ctx context.Context, address string, revision int64, confirmed time.Time) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	s, err := m.options.Fetch(ctx, address)
	m.mu.Lock()
	m.fetching = false
	m.mu.Unlock()
	if err != nil {
		m.options.Logger.Warn("DocumentsNotFetched", zap.String("Address", address), zap.Int64("Revision", revision), zap.Error(err))
		return
	}
	if s.Revision < revision {
		// What was confirmed is not what has come.
		confirmed = time.Time{}
	}
	m.advance(s, confirmed)
}
