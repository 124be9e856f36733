package gossip

import (
	"slices"
	"time"

	"github.com/greengagewind/greengagewind/gage/state/member"
)

// maxContacts bounds the nodes to join through.
const maxContacts = 64

// AddContacts adds peer addresses to join through; the oldest make room.
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

// join asks for the whole table until one was compared in full. A node that is
// alone asks its contacts.
func (c *Core) join(now time.Time) {
	alone := c.Table.LiveCount() == 1
	if now.Before(c.joinAt) || !alone && !c.comparedAt.IsZero() {
		return
	}
	c.joinAt = now.Add(c.jitter(c.timing.Probe))
	if !alone {
		peer, _ := c.anyPeer()
		c.sendJoin(peer.Member.PeerAddress, true)
		return
	}
	if len(c.contacts) > 0 {
		c.sendJoin(c.contacts[c.rand.IntN(len(c.contacts))], true)
	}
}

// meet asks one contact that this node does not hold for live: two parts of a
// fleet that have forgotten each other meet through it.
func (c *Core) meet() {
	if len(c.contacts) == 0 {
		return
	}
	live := make(map[string]bool, c.Table.LiveCount())
	c.Table.Each(func(e *member.Entry) {
		if !e.Gone() {
			live[e.Member.PeerAddress] = true
		}
	})
	var strangers []string
	for _, contact := range c.contacts {
		if !live[contact] {
			strangers = append(strangers, contact)
		}
	}
	if len(strangers) > 0 {
		c.sendJoin(strangers[c.rand.IntN(len(strangers))], false)
	}
}
