package gossip

import (
	"slices"
	"time"

	"github.com/greengagewind/greengagewind/gage/state/member"
)

// maxContacts is the maximum number of peer addresses to join through.
const maxContacts = 64

// AddContacts adds peer addresses to join through. When there are more than
// maxContacts, the oldest are dropped.
func (c *Core) AddContacts(addresses []string) {
	for _, address := range addresses {
		if address == "" || address == c.Table.Self().PeerAddress || slices.Contains(c.contacts, address) {
			continue
		}
		if len(c.contacts) >= maxContacts {
			c.contacts = c.contacts[1:]
		}
		c.contacts = append(c.contacts, address)
	}
}

// join requests comparisons of the whole table, at random intervals around the
// probe interval, until one comparison has been completed. A node that knows no
// other live node sends the requests to its contacts, and it continues until it
// knows one.
func (c *Core) join(now time.Time) {
	isAlone := c.Table.LiveCount() == 1
	if now.Before(c.nextJoinAt) || !isAlone && !c.firstFullSyncAt.IsZero() {
		return
	}
	c.nextJoinAt = now.Add(c.jitter(c.timing.ProbeInterval))
	if !isAlone {
		peer, _ := c.randomPeer()
		c.sendJoin(peer.Member.PeerAddress, true)
		return
	}
	if len(c.contacts) > 0 {
		c.sendJoin(c.contacts[c.rand.IntN(len(c.contacts))], true)
	}
}

// joinUnknownContact requests a comparison of the whole table from a random
// contact that is not known as live. In this way two
// parts of the fleet that have removed each other from their tables find each other
// again.
func (c *Core) joinUnknownContact() {
	if len(c.contacts) == 0 {
		return
	}
	live := make(map[string]bool, c.Table.LiveCount())
	c.Table.Each(func(e *member.Entry) {
		if !e.Gone() {
			live[e.Member.PeerAddress] = true
		}
	})
	var unknown []string
	for _, contact := range c.contacts {
		if !live[contact] {
			unknown = append(unknown, contact)
		}
	}
	if len(unknown) > 0 {
		c.sendJoin(unknown[c.rand.IntN(len(unknown))], false)
	}
}
