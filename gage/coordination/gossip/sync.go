package gossip

import (
	"time"

	"github.com/greengagewind/greengagewind/gage/state/member"
)

// The limits of a table comparison. They keep each message of a periodic
// comparison small enough for a datagram. A comparison of the whole table is
// limited only by the maximum sizes of a table and of a message.
const (
	maxSyncBuckets = 2
	// maxSyncDigests is the maximum number of digests in a message.
	maxSyncDigests = 96
	// maxSyncRecordBytes bounds the size of the records in a message.
	maxSyncRecordBytes = 1000
	// maxJoinRecordBytes bounds the size of the records in a message of a
	// comparison of the whole table.
	maxJoinRecordBytes = 512 << 10
	// A comparison of the whole table counts as complete when few records are
	// missing: at most maxMissingRecords, plus one for every
	// liveNodesPerMissingRecord live nodes. Some may be missing because records
	// change during the comparison.
	maxMissingRecords         = 8
	liveNodesPerMissingRecord = 16
)

// syncTick begins a comparison with a random peer when it is due.
func (c *Core) syncTick(now time.Time) {
	if now.Before(c.nextSyncAt) {
		return
	}
	c.nextSyncAt = now.Add(c.jitter(c.timing.SyncInterval))
	if peer, ok := c.randomPeer(); ok {
		c.Stats.Syncs++
		c.sendDigest(peer.Member.PeerAddress)
	}
}

// sendDigest begins a table comparison with the node at address.
func (c *Core) sendDigest(address string) {
	c.send(address, Message{Kind: KindDigest, Buckets: c.bucketHashes()})
}

// sendJoin begins a comparison of the whole table with a node that may not know
// this one. If reliable is set, the exchange uses connections, so that a node
// whose datagrams are lost can join too.
func (c *Core) sendJoin(address string, reliable bool) {
	c.send(address, Message{
		Kind: KindDigest, Buckets: c.bucketHashes(), Records: []member.Record{{Member: c.Table.Self()}},
		Joining: true, Reliable: reliable,
	})
}

// bucketHashes returns a copy of the hashes of all buckets.
func (c *Core) bucketHashes() []uint64 { return append([]uint64(nil), c.Table.BucketHashes[:]...) }

// receiveDigest sends the digests of the records in buckets whose hashes differ
// from the sender's.
func (c *Core) receiveDigest(m Message) {
	if len(m.Buckets) != member.BucketCount {
		return
	}
	numbers := c.differingBuckets(m.Buckets, m.Joining)
	if len(numbers) == 0 && !m.Joining {
		return
	}
	c.send(m.FromAddress, Message{
		Kind: KindEntries, BucketNumbers: numbers, Entries: c.Table.Digests(numbers),
		Joining: m.Joining, Reliable: m.Reliable,
	})
}

// differingBuckets returns the numbers of buckets whose hashes differ. It returns
// only a limited number of them. The search starts at a random bucket, so that
// every bucket is compared sooner or later.
func (c *Core) differingBuckets(peerHashes []uint64, joining bool) []uint32 {
	maxBuckets, maxDigests := maxSyncBuckets, maxSyncDigests
	if joining {
		maxBuckets, maxDigests = member.BucketCount, member.MaxMembers
	}
	nodesPerBucket := 1 + c.Table.LiveCount()/member.BucketCount
	maxBuckets = max(1, min(maxBuckets, maxDigests/nodesPerBucket))
	start := c.rand.IntN(member.BucketCount)
	var numbers []uint32
	for i := range member.BucketCount {
		b := (start + i) % member.BucketCount
		if peerHashes[b] != c.Table.BucketHashes[b] && len(numbers) < maxBuckets {
			numbers = append(numbers, uint32(b))
		}
	}
	return numbers
}

// receiveEntries sends the records that the sender lacks or holds in a different
// state and requests those that this node lacks or holds in a different state.
// After a comparison that found differences, the next one follows sooner.
func (c *Core) receiveEntries(now time.Time, m Message) {
	newer, wanted := c.Table.Compare(m.BucketNumbers, m.Entries, messageLimit(m.Joining))
	maxMissing := maxMissingRecords + c.Table.LiveCount()/liveNodesPerMissingRecord
	if m.Joining && len(wanted) <= maxMissing && c.firstFullSyncAt.IsZero() {
		c.firstFullSyncAt = now
	}
	if len(newer) == 0 && len(wanted) == 0 {
		return
	}
	if earlySyncAt := now.Add(c.jitter(c.timing.ProbeInterval)); earlySyncAt.Before(c.nextSyncAt) {
		c.nextSyncAt = earlySyncAt
	}
	c.send(m.FromAddress, Message{
		Kind: KindWant, Records: newer, Entries: wanted,
		Joining: m.Joining, Reliable: m.Reliable,
	})
}

// receiveWant sends the requested records.
func (c *Core) receiveWant(m Message) {
	records := c.Table.Find(m.Entries, messageLimit(m.Joining))
	if len(records) > 0 {
		c.send(m.FromAddress, Message{Kind: KindUpdate, Records: records, Reliable: m.Reliable})
	}
}

// messageLimit returns the limits of the messages of a comparison. Joining means
// that the whole table is compared.
func messageLimit(joining bool) member.Limit {
	if joining {
		return member.Limit{Entries: member.MaxMembers, Records: MaxRecordsPerMessage, Bytes: maxJoinRecordBytes}
	}
	return member.Limit{Entries: maxSyncDigests, Records: maxSyncDigests, Bytes: maxSyncRecordBytes}
}
