// Package docmsg converts the messages that replicate documents between their
// protobuf form and the structs of package spread. Functions To... return the
// protobuf form, functions From... the struct.
package docmsg

import (
	"time"

	"github.com/greengagewind/greengagewind/gage/coordination/spread"
	"github.com/greengagewind/greengagewind/gage/protocol/wire"
)

// ToSpreadDigest returns the protobuf form of d. Ages are rounded up to whole
// microseconds.
func ToSpreadDigest(d spread.Digest) *wire.SpreadDigest {
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

// FromSpreadDigest returns the digest in m.
func FromSpreadDigest(m *wire.SpreadDigest) spread.Digest {
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

// ToPullReply returns the protobuf form of r.
func ToPullReply(r spread.PullReply) *wire.FetchReply {
	return &wire.FetchReply{
		Key: r.Key, Revision: r.Revision, Base: r.BaseRevision, Plain: r.Plain, Body: r.Body, Sum: r.Checksum,
	}
}

// FromPullReply returns the reply in m.
func FromPullReply(m *wire.FetchReply) spread.PullReply {
	return spread.PullReply{
		Key: m.GetKey(), Revision: m.GetRevision(), BaseRevision: m.GetBase(), Plain: m.GetPlain(), Body: m.GetBody(), Checksum: m.GetSum(),
	}
}

// micros returns age in microseconds, rounded up, so that the receiver never
// underestimates the age. A negative age, which means never, becomes -1.
func micros(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return int64((age + time.Microsecond - 1) / time.Microsecond)
}
