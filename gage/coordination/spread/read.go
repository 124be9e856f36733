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
	// readInterval is the time between two readings by one reader.
	readInterval = time.Second
	// readersPerZone is how many nodes of a zone read the store at a time.
	readersPerZone = 2
	// epochLength is how long the same nodes are readers.
	epochLength = 30 * time.Second
	// readTimeout bounds one reading with all documents that it fetches.
	readTimeout = 4 * time.Second
)

// read is the duty that reads the store while this node is a reader.
func (s *Spread) read(ctx context.Context) {
	if !sleep(ctx, time.Duration(s.random.float()*float64(readInterval))) {
		return
	}
	reached := true
	for {
		if now := s.options.Clock.Now(); s.shouldRead(now) {
			err := s.readOnce(ctx, now)
			if reached != (err == nil) {
				s.options.Logger.Info("StoreReachable", zap.Bool("Reachable", err == nil), zap.Error(err))
			}
			reached = err == nil
		}
		if !sleep(ctx, s.random.around(readInterval)) {
			return
		}
	}
}

func (s *Spread) shouldRead(now time.Time) bool {
	members, self := s.options.Members.Members(), s.options.Members.Self()
	epoch := now.Unix() / int64(epochLength/time.Second)
	if elect.IsReader(members, self, epoch, readersPerZone) {
		return true
	}
	// When word of the store is overdue, about as many nodes read as there are
	// readers, in case those hang or are only thought to live.
	s.mu.Lock()
	overdue := s.overdue(now)
	s.mu.Unlock()
	return overdue && s.random.float()*float64(elect.ZoneSize(members, self)) < readersPerZone
}

// readOnce compares the store with the table and fetches what is newer. The
// view then holds everything that the store had accepted when the reading
// began.
func (s *Spread) readOnce(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	report := fresh.Report{Zone: s.options.Members.Self().Zone, TriedAt: now}
	s.report(report)
	if err := s.catchUp(ctx); err != nil {
		s.counts.readFailed.Inc()
		return err
	}
	report.ReachedAt = now
	s.report(report)
	s.counts.read.Inc()
	return nil
}

func (s *Spread) report(r fresh.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zones.Merge(r)
}

// catchUp fetches what the store holds and the table lacks. The heads held
// before the listing show a store that has lost writes; those held after it
// may rightly be newer than the listing.
func (s *Spread) catchUp(ctx context.Context) error {
	s.mu.Lock()
	before := s.docs.heads()
	s.mu.Unlock()
	entries, err := s.list(ctx)
	if err != nil {
		return err
	}
	listed := make(map[string]int64, len(entries))
	for _, e := range entries {
		listed[e.Key] = e.Revision
	}
	for _, h := range before {
		if listed[h.Key] < h.Revision {
			return fmt.Errorf("the store lacks %s at revision %d", h.Key, h.Revision)
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

// list returns the store's documents, without values where it can.
func (s *Spread) list(ctx context.Context) ([]gage.Entry, error) {
	list := s.options.Store.List
	if lister, ok := s.options.Store.(gage.KeyLister); ok {
		list = lister.ListKeys
	}
	all, _, err := list(ctx, gage.StoreRoot)
	if err != nil {
		return nil, err
	}
	var entries []gage.Entry
	for _, e := range all {
		if travels(e.Key) {
			entries = append(entries, e)
		}
	}
	return entries, nil
}

func (s *Spread) readDocument(ctx context.Context, listed gage.Entry) error {
	e, err := s.options.Store.Get(ctx, listed.Key)
	if err != nil {
		return err
	}
	if e.Revision < listed.Revision {
		return fmt.Errorf("the store holds %s at revision %d, but listed %d", e.Key, e.Revision, listed.Revision)
	}
	s.Offer(gage.Document{Key: strings.Clone(e.Key), Revision: e.Revision, Value: e.Value})
	return nil
}
