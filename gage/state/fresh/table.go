// Package fresh decides whether a node's copy of the configuration is recent
// enough to admit callers by their API keys. A few nodes of each zone, the
// readers, read the configuration from the store; the times of their reads are
// passed on to the other nodes.
package fresh

import (
	"slices"
	"strings"
	"time"
)

// maxZones is the largest number of zones in a Table. Further zones are
// ignored.
const maxZones = 64

// Report holds the times of the last reads of the store by the readers of one
// zone. The zero time means never. A node may merge a report only if its own
// copy of the configuration contains all that the reader knew at both times. Every
// node that passes the report on then has a copy at least that recent.
type Report struct {
	Zone string
	// TriedAt is when a reader of the zone last began to read the store, whether
	// or not the read succeeded. It is not before ReachedAt.
	TriedAt time.Time
	// ReachedAt is when the last read began that the store answered completely.
	ReachedAt time.Time
}

// Table holds one Report for each known zone. It is not safe for concurrent
// use.
type Table struct {
	reports map[string]Report
}

// New returns a table that contains only the zone of its own node.
func New(zone string) *Table {
	t := &Table{reports: make(map[string]Report)}
	t.AddZone(zone)
	return t
}

// AddZone adds a zone without reads of the store, unless the zone is known.
// Decide counts the zone even if no report on it arrives.
func (t *Table) AddZone(zone string) {
	if _, ok := t.reports[zone]; !ok && len(t.reports) < maxZones {
		t.reports[zone] = Report{Zone: zone}
	}
}

// Merge merges a report with the known one of the same zone. The result has the later
// TriedAt and the later ReachedAt of the two.
func (t *Table) Merge(r Report) {
	t.AddZone(r.Zone)
	merged, ok := t.reports[r.Zone]
	if !ok {
		return
	}
	merged.TriedAt = later(merged.TriedAt, r.TriedAt)
	merged.ReachedAt = later(merged.ReachedAt, r.ReachedAt)
	t.reports[r.Zone] = merged
}

// Expire removes the zones whose readers last tried to read the store before
// the given time, except ownZone. Zones without any known read stay: such a
// zone may be cut off from this node and still reach the store.
func (t *Table) Expire(before time.Time, ownZone string) {
	for zone, r := range t.reports {
		if zone != ownZone && !r.TriedAt.IsZero() && r.TriedAt.Before(before) {
			delete(t.reports, zone)
		}
	}
}

// Reports returns the reports sorted by zone.
func (t *Table) Reports() []Report {
	reports := make([]Report, 0, len(t.reports))
	for _, r := range t.reports {
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(a, b Report) int { return strings.Compare(a.Zone, b.Zone) })
	return reports
}

// ConfirmedAt returns the latest ReachedAt of all zones, that is, the time up
// to which this node's copy is known to be complete. The zero time means never.
func (t *Table) ConfirmedAt() time.Time {
	var at time.Time
	for _, r := range t.reports {
		at = later(at, r.ReachedAt)
	}
	return at
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Age returns the time from t to now by the monotonic or the wall clock,
// whichever gives the longer time: the monotonic clock stops while a VM is
// paused, and the wall clock can be set back.
func Age(now, t time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
