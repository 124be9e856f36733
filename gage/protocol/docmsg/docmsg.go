// Package docmsg converts between the messages that carry documents and the
// structs of the coordination layer.
package docmsg

import (
	"time"

	"github.com/greengagewind/greengagewind/gage/coordination/spread"
	"github.com/greengagewind/greengagewind/gage/protocol/wire"
)

// FromDigest returns the message for d.
func FromDigest(d spread.Digest) *wire.SpreadDigest {
	m := &wire.SpreadDigest{From: d.From, Summary: d.Summary, AllZones: d.AllZones}
	for _, h := range d.Heads {
		m.Heads = append(m.Heads, &wire.DocumentHead{Key: h.Key, Revision: h.Revision})
	}
	for _, z := range d.Zones {
		m.Zones = append(m.Zones, &wire.ZoneAge{
			Zone:             z.Zone,
			TriedAgeMicros:   micros(z.TriedAge),
			ReachedAgeMicros: micros(z.ReachedAge),
		})
	}
	return m
}

// ToDigest returns the digest in m.
func ToDigest(m *wire.SpreadDigest) spread.Digest {
	d := spread.Digest{From: m.GetFrom(), Summary: m.GetSummary(), AllZones: m.GetAllZones()}
	for _, h := range m.GetHeads() {
		d.Heads = append(d.Heads, spread.Head{Key: h.GetKey(), Revision: h.GetRevision()})
	}
	for _, z := range m.GetZones() {
		d.Zones = append(d.Zones, spread.ZoneAge{
			Zone:       z.GetZone(),
			TriedAge:   time.Duration(z.GetTriedAgeMicros()) * time.Microsecond,
			ReachedAge: time.Duration(z.GetReachedAgeMicros()) * time.Microsecond,
		})
	}
	return d
}

// FromPulled returns the message for p.
func FromPulled(p spread.PullReply) *wire.FetchReply {
	return &wire.FetchReply{
		Key: p.Key, Revision: p.Revision, Base: p.BaseRevision, Plain: p.Plain, Body: p.Body, Sum: p.Checksum,
	}
}

// ToPulled returns the document in m.
func ToPulled(m *wire.FetchReply) spread.PullReply {
	return spread.PullReply{
		Key: m.GetKey(), Revision: m.GetRevision(), BaseRevision: m.GetBase(), Plain: m.GetPlain(), Body: m.GetBody(), Checksum: m.GetSum(),
	}
}

// micros rounds an age up, so that it is never told younger than it is. A
// negative age, which means never, stays negative.
func micros(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return int64((age + time.Microsecond - 1) / time.Microsecond)
}
