package spread

import (
	"context"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/elect"
	"github.com/greengagewind/greengagewind/gage/state/fresh"
)

const (
	// readInterval is the mean time between two reads by the same reader.
	readInterval = time.Second
	// readersPerZone is the number of nodes in a zone that are readers at the same
	// time.
	readersPerZone = 2
	// readerEpochLength is how long the same nodes stay readers.
	readerEpochLength = 30 * time.Second
	// readTimeout bounds one read, including the documents that it fetches.
	readTimeout = 4 * time.Second
)

// readLoop reads the store regularly while shouldRead permits it. The random delay
// of the first read spreads the reads of nodes that start together.
func (s *Spread) readLoop(ctx context.Context) {
	if !sleep(ctx, time.Duration(s.random.fraction()*float64(readInterval))) {
		return
	}
	isReachable := true
	for {
		if now := s.options.Clock.Now(); s.shouldRead(now) {
			err := s.readStore(ctx, now)
			if isReachable != (err == nil) {
				s.options.Logger.Info("StoreReachable", zap.Bool("Reachable", err == nil), zap.Error(err))
			}
			isReachable = err == nil
		}
		if !sleep(ctx, s.random.jitter(readInterval)) {
			return
		}
	}
}

// shouldRead reports whether this node reads the store at now.
func (s *Spread) shouldRead(now time.Time) bool {
	members, self := s.options.Members.Members(), s.options.Members.Self()
	epoch := now.Unix() / int64(readerEpochLength/time.Second)
	if elect.IsReader(members, self, epoch, readersPerZone) {
		return true
	}
	// If the confirmation is overdue, the readers may hang or may have failed
	// without being detected. Each other node of the zone then reads with a
	// probability that lets about readersPerZone nodes read at a time.
	s.mu.Lock()
	overdue := s.confirmationOverdue(now)
	s.mu.Unlock()
	return overdue && s.random.fraction()*float64(elect.ZoneSize(members, self)) < readersPerZone
}

// readStore fetches the documents that are newer in the store than in this node.
// If it succeeds, this node holds everything that the store had accepted at now,
// the time at which the read began. The zone report records the attempt and its success.
func (s *Spread) readStore(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	report := fresh.Report{Zone: s.options.Members.Self().Zone, TriedAt: now}
	s.recordReport(report)
	if err := s.fetchNewer(ctx); err != nil {
		s.counters.readsFailed.Inc()
		return err
	}
	report.ReachedAt = now
	s.recordReport(report)
	s.counters.readsAnswered.Inc()
	return nil
}

func (s *Spread) recordReport(r fresh.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zones.Merge(r)
}

// fetchNewer fetches the documents that are newer in the store than in this node.
// It returns an error if the store lists an older revision of a document than this
// node held before the listing, because the store has then lost a write. A
// document that arrives during the listing may be newer without an error.
func (s *Spread) fetchNewer(ctx context.Context) error {
	s.mu.Lock()
	headsBefore := s.documents.heads()
	s.mu.Unlock()
	entries, err := s.listDocuments(ctx)
	if err != nil {
		return err
	}
	listed := make(map[string]int64, len(entries))
	for _, e := range entries {
		listed[e.Key] = e.Revision
	}
	for _, h := range headsBefore {
		if listed[h.Key] < h.Revision {
			return fmt.Errorf("the store has lost a write: it lacks %s at revision %d", h.Key, h.Revision)
		}
	}
	for _, e := range entries {
		if held, _ := s.Latest(e.Key); e.Revision <= held.Revision {
			continue
		}
		if err := s.readDocument(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// listDocuments returns the entries of the replicated documents in the store,
// without values if the store can list keys alone.
func (s *Spread) listDocuments(ctx context.Context) ([]gage.Entry, error) {
	list := s.options.Store.List
	if lister, ok := s.options.Store.(gage.KeyLister); ok {
		list = lister.ListKeys
	}
	allEntries, _, err := list(ctx, gage.StoreRoot)
	if err != nil {
		return nil, err
	}
	var entries []gage.Entry
	for _, e := range allEntries {
		if isReplicated(e.Key) {
			entries = append(entries, e)
		}
	}
	return entries, nil
}

// readDocument fetches and stores one document. The fetched revision may be newer
// than the listed one. If it is older, readDocument returns an error.
func (s *Spread) readDocument(ctx context.Context, listed gage.Entry) error {
	e, err := s.options.Store.Get(ctx, listed.Key)
	if err != nil {
		return err
	}
	if e.Revision < listed.Revision {
		return fmt.Errorf("the store returned %s at revision %d after listing it at revision %d", e.Key, e.Revision, listed.Revision)
	}
	s.Offer(gage.Document{Key: strings.Clone(e.Key), Revision: e.Revision, Value: e.Value})
	return nil
}
