// Package fresh decides whether a node's view of the configuration is recent
// enough to let callers in by their keys.
package fresh

import (
	"slices"
	"strings"
	"time"
)

// maxZones bounds the table.
const maxZones = 64

// Report is what is known of the readers of one zone. A node's view holds
// everything that the reader knew at each of the two times, so that a chain
// of reports never promises more than it can hold. The zero time means never.
type Report struct {
	Zone string
	// TriedAt is when a reader of the zone last began to read the store,
	// whatever became of it. It is not before ReachedAt.
	TriedAt time.Time
	// ReachedAt is when a reader of the zone last began a read of the store
	// that was answered in full.
	ReachedAt time.Time
}

// Table holds one Report for each zone known.
type Table struct {
	reports map[string]Report
}

// New returns a table that knows the zone of its own node.
func New(zone string) *Table {
	t := &Table{reports: make(map[string]Report)}
	t.AddZone(zone)
	return t
}

// AddZone adds a zone that must be counted even if nothing is heard from it.
func (t *Table) AddZone(zone string) {
	if _, ok := t.reports[zone]; !ok && len(t.reports) < maxZones {
		t.reports[zone] = Report{Zone: zone}
	}
}

// Merge takes in a report, keeping the later of each time.
func (t *Table) Merge(r Report) {
	t.AddZone(r.Zone)
	known, ok := t.reports[r.Zone]
	if !ok {
		return
	}
	known.TriedAt = later(known.TriedAt, r.TriedAt)
	known.ReachedAt = later(known.ReachedAt, r.ReachedAt)
	t.reports[r.Zone] = known
}

// Expire removes the zones from which no reader has been heard since before,
// other than keep. Zones never heard from stay, since an absent zone that
// still holds the store must not be mistaken for one that is gone.
func (t *Table) Expire(before time.Time, keep string) {
	for zone, r := range t.reports {
		if zone != keep && !r.TriedAt.IsZero() && r.TriedAt.Before(before) {
			delete(t.reports, zone)
		}
	}
}

// Reports returns the reports in order of zone.
func (t *Table) Reports() []Report {
	reports := make([]Report, 0, len(t.reports))
	for _, r := range t.reports {
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(a, b Report) int { return strings.Compare(a.Zone, b.Zone) })
	return reports
}

// ConfirmedAt returns the latest time at which a reader reached the store and
// knew nothing that this view lacks.
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

// Age returns how long ago t was, by the clock that says more: the monotonic
// clock stands still while a VM is paused, and the wall clock can be set back.
func Age(now, t time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
