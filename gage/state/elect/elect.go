// Package elect picks nodes for a duty by rendezvous hashing, so that every
// node that knows the same members picks the same ones without a message.
package elect

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagewind/greengagewind/gage"
)

// IsReader tells whether the node self is one of the count readers of its zone
// in an epoch.
func IsReader(members []gage.Member, self gage.Member, epoch int64, count int) bool {
	own := score(uint64(epoch), self.Zone, self.VM)
	ahead := 0
	for _, m := range members {
		if m.Zone != self.Zone || m.VM == self.VM || m.Phase != gage.MemberAlive {
			continue
		}
		if score(uint64(epoch), m.Zone, m.VM) > own {
			ahead++
		}
	}
	return ahead < count
}

// ZoneSize returns the number of live nodes in the zone of self, which counts
// in any case.
func ZoneSize(members []gage.Member, self gage.Member) int {
	size := 1
	for _, m := range members {
		if m.Zone == self.Zone && m.VM != self.VM && m.Phase == gage.MemberAlive {
			size++
		}
	}
	return size
}

// Neighbors picks the nodes that self exchanges with: up to inZone of its own
// zone and up to outside of other zones. They change only as members come and
// go, so that connections are few and last. Across the fleet the choices form
// a random graph.
func Neighbors(members []gage.Member, self gage.Member, inZone, outside int) []gage.Member {
	seed := score(0, self.Zone, self.VM)
	near, far := best{count: inZone}, best{count: outside}
	for _, m := range members {
		if m.VM == self.VM || m.Phase != gage.MemberAlive {
			continue
		}
		r := ranked{member: m, score: score(seed, m.Zone, m.VM)}
		if m.Zone == self.Zone {
			near.offer(r)
			continue
		}
		far.offer(r)
	}
	return append(near.members(), far.members()...)
}

type ranked struct {
	member gage.Member
	score  uint64
}

// best keeps the count candidates of the highest scores, highest first.
type best struct {
	count int
	kept  []ranked
}

func (b *best) offer(r ranked) {
	if len(b.kept) == b.count && (b.count == 0 || !ahead(r, b.kept[b.count-1])) {
		return
	}
	at, _ := slices.BinarySearchFunc(b.kept, r, func(kept, r ranked) int {
		if ahead(kept, r) {
			return -1
		}
		return 1
	})
	b.kept = slices.Insert(b.kept, at, r)
	b.kept = b.kept[:min(len(b.kept), b.count)]
}

func (b *best) members() []gage.Member {
	members := make([]gage.Member, len(b.kept))
	for i, r := range b.kept {
		members[i] = r.member
	}
	return members
}

func ahead(a, b ranked) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return a.member.VM < b.member.VM
}

func score(seed uint64, zone, vm string) uint64 {
	var text []byte
	text = binary.LittleEndian.AppendUint64(text, seed)
	text = append(text, zone...)
	text = append(text, 0)
	text = append(text, vm...)
	return xxhash.Sum64(text)
}
