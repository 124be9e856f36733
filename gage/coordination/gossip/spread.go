package gossip

import (
	"math"
	"time"

	"github.com/greengagewind/greengagewind/gage/state/member"
)

// The limits of gossiping updates.
const (
	// maxPiggybackBytes bounds the updates in one message, so that the message
	// fits into a datagram.
	maxPiggybackBytes = 1000
	// Each update is sent in transmissionFactor messages for each decimal digit
	// of the number of live nodes, but in at most maxTransmissions messages.
	transmissionFactor = 4
	// peersPerSpread is the number of peers to which updates are sent in one
	// spread interval.
	peersPerSpread = 2
	// peersPerOwnChange is the number of peers to which a change of this node's
	// own targets is sent at once.
	peersPerOwnChange = 4
	// updateBytesPerSecond and updateBurstBytes are the rate and the capacity
	// of the token bucket that limits all sent updates.
	updateBytesPerSecond = 4000
	updateBurstBytes     = 4000
)

// transmissionLimit returns the number of messages in which this node sends one
// update. It grows with the logarithm of the number of live nodes.
func (c *Core) transmissionLimit() int {
	return transmissionFactor * int(math.Ceil(math.Log10(float64(c.Table.LiveCount()+1))))
}

// piggyback returns the records of queued updates to add to a message to the VM
// to, as far as the token bucket allows. It leaves out the update about that VM.
// If to is empty, it leaves out no update.
func (c *Core) piggyback(now time.Time, to string) []member.Record {
	if c.queue.isEmpty() || !c.updateBudget.allows(now) {
		return nil
	}
	self := c.Table.Self().VM
	var records []member.Record
	space := maxPiggybackBytes
	c.queue.offer(c.transmissionLimit(), func(u *update) offerResult {
		e, ok := c.Table.Get(u.VM)
		if !ok {
			return offerDropped
		}
		if u.VM == to && u.VM != self {
			return offerKept
		}
		r := e.Record(u.Full)
		size := r.Size()
		if size > space {
			return offerNoSpace
		}
		space -= size
		records = append(records, r)
		return offerSent
	})
	c.updateBudget.spend(maxPiggybackBytes - space)
	return records
}

// spread sends queued updates in messages of their own, in addition to those
// that pings and acks carry.
func (c *Core) spread(now time.Time) {
	if now.Before(c.nextSpreadAt) || c.queue.isEmpty() {
		return
	}
	c.nextSpreadAt = now.Add(c.timing.SpreadInterval)
	c.spreadTo(now, peersPerSpread)
}

// spreadTo sends queued updates to a number of random peers.
func (c *Core) spreadTo(now time.Time, peers int) {
	for range peers {
		peer, ok := c.randomPeer()
		if !ok {
			return
		}
		records := c.piggyback(now, peer.Member.VM)
		if len(records) == 0 {
			return
		}
		c.send(peer.Member.PeerAddress, Message{Kind: KindUpdate, Records: records})
	}
}

// byteBudget is a token bucket whose tokens are bytes.
type byteBudget struct {
	// tokens may be negative after spend.
	tokens     float64
	refilledAt time.Time
}

func newByteBudget(now time.Time) byteBudget {
	return byteBudget{tokens: updateBurstBytes, refilledAt: now}
}

// allows refills the bucket and reports whether it holds any tokens.
func (b *byteBudget) allows(now time.Time) bool {
	if now.After(b.refilledAt) {
		b.tokens = math.Min(updateBurstBytes, b.tokens+now.Sub(b.refilledAt).Seconds()*updateBytesPerSecond)
		b.refilledAt = now
	}
	return b.tokens > 0
}

func (b *byteBudget) spend(bytes int) { b.tokens -= float64(bytes) }
