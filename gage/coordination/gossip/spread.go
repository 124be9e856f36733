package gossip

import (
	"math"
	"time"

	"github.com/greengagewind/greengagewind/gage/state/member"
)

// The bounds of spreading.
const (
	// maxPiggyback is the space for updates in a message, in bytes, so that
	// it fits into a datagram.
	maxPiggyback = 1000
	// spreadFactor is how often an update is sent for each tenfold of the
	// fleet.
	spreadFactor = 4
	// spreadPeers is how many peers are told in one spread period.
	spreadPeers = 2
	// urgentPeers is how many peers hear of this node's own change at once.
	urgentPeers = 4
	// maxSpreadPerSecond and maxSpreadBurst bound the updates sent, in bytes.
	maxSpreadPerSecond = 4000
	maxSpreadBurst     = 4000
)

// spreadLimit is how often this node sends one update.
func (c *Core) spreadLimit() int {
	return spreadFactor * int(math.Ceil(math.Log10(float64(c.Table.LiveCount()+1))))
}

// piggyback takes waiting updates for a message to a VM, within the budget of
// bytes.
func (c *Core) piggyback(now time.Time, to string) []member.Record {
	if c.queue.empty() || !c.budget.allows(now) {
		return nil
	}
	self := c.Table.Self().VM
	var records []member.Record
	space := maxPiggyback
	c.queue.take(c.spreadLimit(), func(u *update) fate {
		e, ok := c.Table.Get(u.VM)
		if !ok {
			return fateDropped
		}
		if u.VM == to && u.VM != self {
			return fateKept
		}
		r := e.Record(u.Full)
		size := r.Size()
		if size > space {
			return fateFull
		}
		space -= size
		records = append(records, r)
		return fateSent
	})
	c.budget.spend(maxPiggyback - space)
	return records
}

// spread sends waiting updates on their own, besides those that ride on
// probes.
func (c *Core) spread(now time.Time) {
	if now.Before(c.spreadAt) || c.queue.empty() {
		return
	}
	c.spreadAt = now.Add(c.timing.Spread)
	c.spreadTo(now, spreadPeers)
}

func (c *Core) spreadTo(now time.Time, peers int) {
	for range peers {
		peer, ok := c.anyPeer()
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

// budget is a token bucket of bytes.
type budget struct {
	tokens float64
	at     time.Time
}

func newBudget(now time.Time) budget { return budget{tokens: maxSpreadBurst, at: now} }

func (b *budget) allows(now time.Time) bool {
	if now.After(b.at) {
		b.tokens = math.Min(maxSpreadBurst, b.tokens+now.Sub(b.at).Seconds()*maxSpreadPerSecond)
		b.at = now
	}
	return b.tokens > 0
}

func (b *budget) spend(bytes int) { b.tokens -= float64(bytes) }
