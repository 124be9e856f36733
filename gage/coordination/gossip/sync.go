package gossip

import (
	"time"

	"github.com/greengagewind/greengagewind/gage/state/member"
)

// The bounds of one comparison, so that each of its messages fits into a
// datagram. A joining node's comparison has none but those of a message.
const (
	maxBuckets = 2
	// maxEntries bounds the digests listed or asked for.
	maxEntries = 96
	// maxRecordBytes bounds the records sent.
	maxRecordBytes = 1000
	// joinBytes bounds the records sent to a joining node.
	joinBytes = 512 << 10
	// joinedWithin is how many records may still be missing when a comparison
	// of the whole table counts as complete, and joinedShare is the same for
	// one of so many live nodes: some always change meanwhile.
	joinedWithin = 8
	joinedShare  = 16
)

func (c *Core) syncTick(now time.Time) {
	if now.Before(c.syncAt) {
		return
	}
	c.syncAt = now.Add(c.jitter(c.timing.Sync))
	if peer, ok := c.anyPeer(); ok {
		c.Stats.Syncs++
		c.sendDigest(peer.Member.PeerAddress)
	}
}

// sendDigest opens a comparison.
func (c *Core) sendDigest(address string) {
	c.send(address, Message{Kind: KindDigest, Buckets: c.buckets()})
}

// sendJoin opens a comparison of the whole table with a node that may not know
// this one. By call, even a node whose datagrams are lost can join.
func (c *Core) sendJoin(address string, byCall bool) {
	c.send(address, Message{
		Kind: KindDigest, Buckets: c.buckets(), Records: []member.Record{{Member: c.Table.Self()}},
		Joining: true, Reliable: byCall,
	})
}

func (c *Core) buckets() []uint64 { return append([]uint64(nil), c.Table.BucketHashes[:]...) }

func (c *Core) receiveDigest(m Message) {
	if len(m.Buckets) != member.BucketCount {
		return
	}
	numbers := c.differing(m.Buckets, m.Joining)
	if len(numbers) == 0 && !m.Joining {
		return
	}
	c.send(m.FromAddress, Message{
		Kind: KindEntries, BucketNumbers: numbers, Entries: c.Table.Digests(numbers),
		Joining: m.Joining, Reliable: m.Reliable,
	})
}

// differing returns the buckets to compare, from a random one on, so that the
// first ones do not keep the others waiting.
func (c *Core) differing(theirs []uint64, joining bool) []uint32 {
	limit, entries := maxBuckets, maxEntries
	if joining {
		limit, entries = member.BucketCount, member.MaxMembers
	}
	perBucket := 1 + c.Table.LiveCount()/member.BucketCount
	limit = max(1, min(limit, entries/perBucket))
	start := c.rand.IntN(member.BucketCount)
	var numbers []uint32
	for i := range member.BucketCount {
		b := (start + i) % member.BucketCount
		if theirs[b] != c.Table.BucketHashes[b] && len(numbers) < limit {
			numbers = append(numbers, uint32(b))
		}
	}
	return numbers
}

// receiveEntries sends what is newer here and asks for what is newer there. A
// comparison that found something is followed by another soon.
func (c *Core) receiveEntries(now time.Time, m Message) {
	newer, wanted := c.Table.Compare(m.BucketNumbers, m.Entries, limits(m.Joining))
	missing := joinedWithin + c.Table.LiveCount()/joinedShare
	if m.Joining && len(wanted) <= missing && c.comparedAt.IsZero() {
		c.comparedAt = now
	}
	if len(newer) == 0 && len(wanted) == 0 {
		return
	}
	if soon := now.Add(c.jitter(c.timing.Probe)); soon.Before(c.syncAt) {
		c.syncAt = soon
	}
	c.send(m.FromAddress, Message{
		Kind: KindWant, Records: newer, Entries: wanted,
		Joining: m.Joining, Reliable: m.Reliable,
	})
}

func (c *Core) receiveWant(m Message) {
	records := c.Table.Find(m.Entries, limits(m.Joining))
	if len(records) > 0 {
		c.send(m.FromAddress, Message{Kind: KindUpdate, Records: records, Reliable: m.Reliable})
	}
}

func limits(joining bool) member.Limit {
	if joining {
		return member.Limit{Entries: member.MaxMembers, Records: MaxRecordsPerMessage, Bytes: joinBytes}
	}
	return member.Limit{Entries: maxEntries, Records: maxEntries, Bytes: maxRecordBytes}
}
