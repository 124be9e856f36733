package mirror

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
)

// Snapshot is the state of the documents at one position of the store. It is
// immutable.
type Snapshot struct {
	// Era is the era of the store's revisions below. Nodes of earlier versions do not
	// state it.
	Era int64
	// StoreRevision is the revision of the store up to which Entries includes all
	// changes, or 0 if the documents have not been loaded.
	StoreRevision int64 `msgpack:"Seen"`
	// Revision is the store's revision at the last change of Entries, or 0 if the
	// documents have not been loaded.
	Revision int64
	// Version is the highest version of a document in Entries.
	Version int64
	// Entries are the documents by their key in the store. After the store was restored
	// from a copy, it may lack some of them, or have older versions.
	Entries map[string]gage.Entry
	// Carried are the keys of documents without a version that the store had before it
	// was restored, and has not again yet.
	Carried []string
}

// Held returns what the snapshot tells other nodes.
func (s Snapshot) Held() Held {
	return Held{At: gage.StorePosition{Era: s.Era, Revision: s.Revision}, Version: s.Version}
}

// Held describes the documents that a node holds.
type Held struct {
	// At is the position of the store at their last change.
	At gage.StorePosition
	// Version is the highest version of one of them.
	Version int64
}

// lacks reports whether other includes changes that h does not.
func (h Held) lacks(other Held) bool { return h.At.Before(other.At) || h.Version < other.Version }

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

// advance adds what s has and the latest snapshot lacks to the latest snapshot. Unless s
// is older, advance also records that it was current at confirmedAt.
func (m *Mirror) advance(s Snapshot, confirmedAt time.Time) {
	m.changes.Lock()
	defer m.changes.Unlock()
	now := m.options.Clock.Now()
	m.mu.Lock()
	before := m.latest
	next, isChanged := m.merge(now, before, s)
	isOlder := s.Held().At.Before(before.Held().At)
	if isChanged {
		m.latest = next
	} else if s.Held().At == before.Held().At {
		m.latest.StoreRevision = max(before.StoreRevision, s.StoreRevision)
	}
	if !isOlder && confirmedAt.After(m.confirmedAt) {
		m.confirmedAt = confirmedAt
	}
	m.mu.Unlock()
	if s.Era > before.Era && before.StoreRevision > 0 {
		m.options.Logger.Warn("StoreRestored", zap.Int64("Era", s.Era), zap.Int64("Revision", s.Revision), zap.Int64("Version", s.Version),
			zap.Int64("KnownEra", before.Era), zap.Int64("KnownRevision", before.Revision), zap.Int64("KnownVersion", before.Version), zap.Int("Carried", len(next.Carried)))
	}
	if isChanged {
		m.options.OnChange(now, next)
	}
}

// merge returns known with what s adds, and whether it adds anything. The caller must
// hold mu.
func (m *Mirror) merge(now time.Time, known, s Snapshot) (merged Snapshot, isChanged bool) {
	if !known.Held().At.Before(s.Held().At) {
		return m.mergeOlder(now, known, s)
	}
	isSameEra := s.Era == known.Era
	merged = s
	var missing []gage.Entry
	merged.Entries, missing = m.keepNewer(s.Entries, known.Entries, isSameEra)
	for _, key := range s.Carried {
		if _, found := s.Entries[key]; found && m.carriedUntil[key].IsZero() {
			m.carriedUntil[key] = now.Add(carryTime)
		}
	}
	for _, e := range missing {
		isCarried := !m.carriedUntil[e.Key].IsZero()
		if !isSameEra && !isCarried && m.options.Version(e) == 0 {
			m.carriedUntil[e.Key] = now.Add(carryTime)
		}
		if !isSameEra || isCarried {
			merged.Entries[e.Key] = e
		}
	}
	for key := range m.carriedUntil {
		_, isInStore := s.Entries[key]
		if isInStore && !slices.Contains(s.Carried, key) {
			delete(m.carriedUntil, key)
		}
	}
	merged.Carried = slices.Sorted(maps.Keys(m.carriedUntil))
	merged.Version = m.version(merged.Entries)
	return merged, true
}

// mergeOlder does the same as merge for a snapshot that is not newer than known. It may
// still have what a restored store lacks: higher versions, and documents without a version.
func (m *Mirror) mergeOlder(now time.Time, known, s Snapshot) (merged Snapshot, isChanged bool) {
	merged = known
	entries, missing := m.keepNewer(known.Entries, s.Entries, s.Era == known.Era)
	for _, e := range missing {
		switch {
		case m.options.Version(e) > 0:
			entries[e.Key] = e
		case s.Era < known.Era || slices.Contains(s.Carried, e.Key):
			entries[e.Key] = e
			m.carriedUntil[e.Key] = now.Add(carryTime)
		}
	}
	if len(entries) == len(known.Entries) && s.Version <= known.Version {
		return known, false
	}
	merged.Entries, merged.Version = entries, m.version(entries)
	merged.Carried = slices.Sorted(maps.Keys(m.carriedUntil))
	return merged, true
}

// keepNewer returns a copy of entries in which those of others with a higher version
// replace the ones that are there, and also the others that are not there. The revisions
// of others are dropped unless they are of the same era.
func (m *Mirror) keepNewer(entries, others map[string]gage.Entry, isSameEra bool) (kept map[string]gage.Entry, missing []gage.Entry) {
	kept = make(map[string]gage.Entry, len(entries))
	maps.Copy(kept, entries)
	for key, other := range others {
		if !isSameEra {
			other.Revision = 0
		}
		e, found := entries[key]
		switch {
		case !found:
			missing = append(missing, other)
		case !bytes.Equal(e.Value, other.Value) && m.options.Version(other) > m.options.Version(e):
			kept[key] = other
		}
	}
	return kept, missing
}

// version returns the highest version of the documents.
func (m *Mirror) version(entries map[string]gage.Entry) int64 {
	highest := int64(0)
	for _, e := range entries {
		highest = max(highest, m.options.Version(e))
	}
	return highest
}

// dropCarried stops carrying the documents that were changed in the store in an era.
func (m *Mirror) dropCarried(era int64, changes []gage.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if era != m.latest.Era {
		return
	}
	for _, e := range changes {
		delete(m.carriedUntil, e.Key)
	}
}

// expireCarried gives up the documents that were carried until now, since the store still
// lacks them.
func (m *Mirror) expireCarried(now time.Time) {
	m.mu.Lock()
	isDue := false
	for _, until := range m.carriedUntil {
		isDue = isDue || now.After(until)
	}
	m.mu.Unlock()
	if !isDue {
		return
	}
	m.changes.Lock()
	defer m.changes.Unlock()
	m.mu.Lock()
	next := m.latest
	isChanged := false
	for key, until := range m.carriedUntil {
		if !now.After(until) {
			continue
		}
		if !isChanged {
			next.Entries, isChanged = maps.Clone(next.Entries), true
		}
		delete(m.carriedUntil, key)
		delete(next.Entries, key)
		m.options.Logger.Info("CarriedDocumentDropped", zap.String("Key", key))
	}
	if isChanged {
		next.Carried = slices.Sorted(maps.Keys(m.carriedUntil))
		m.latest = next
	}
	m.mu.Unlock()
	if isChanged {
		m.options.OnChange(now, next)
	}
}
