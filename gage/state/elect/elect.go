// Package elect selects nodes for a task by rendezvous hashing. Nodes that know
// the same members select the same nodes without exchanging messages.
package elect

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagewind/greengagewind/gage"
)

// IsReader reports whether self is one of the count nodes of its zone that read the
// store in the given reader epoch. Reader epochs are periods of fixed length, which
// are numbered. Of the other members, only alive ones are candidates.
func IsReader(members []gage.Member, self gage.Member, readerEpoch int64, count int) bool {
	ownScore := score(uint64(readerEpoch), self.Zone, self.VM)
	higherScores := 0
	for _, m := range members {
		if m.Zone != self.Zone || m.VM == self.VM || m.Phase != gage.MemberAlive {
			continue
		}
		if score(uint64(readerEpoch), m.Zone, m.VM) > ownScore {
			higherScores++
		}
	}
	return higherScores < count
}

// ZoneSize returns the number of alive members in the zone of self. It always
// counts self.
func ZoneSize(members []gage.Member, self gage.Member) int {
	size := 1
	for _, m := range members {
		if m.Zone == self.Zone && m.VM != self.VM && m.Phase == gage.MemberAlive {
			size++
		}
	}
	return size
}

// Neighbors returns the members with which self exchanges gossip: up to
// sameZoneCount of its own zone, followed by up to otherZonesCount of other
// zones. The selection changes only when members join, fail or leave, so that
// each node has few, long-lived connections. The selections of all nodes
// together form a random graph.
func Neighbors(members []gage.Member, self gage.Member, sameZoneCount, otherZonesCount int) []gage.Member {
	seed := score(0, self.Zone, self.VM)
	sameZone, otherZones := topCandidates{limit: sameZoneCount}, topCandidates{limit: otherZonesCount}
	for _, m := range members {
		if m.VM == self.VM || m.Phase != gage.MemberAlive {
			continue
		}
		c := candidate{member: m, score: score(seed, m.Zone, m.VM)}
		if m.Zone == self.Zone {
			sameZone.add(c)
			continue
		}
		otherZones.add(c)
	}
	return append(sameZone.members(), otherZones.members()...)
}

type candidate struct {
	member gage.Member
	score  uint64
}

// topCandidates holds up to limit candidates with the highest scores.
type topCandidates struct {
	limit int
	// sorted is ordered by descending score.
	sorted []candidate
}

// add inserts c if its score is among the limit highest ones.
func (t *topCandidates) add(c candidate) {
	if len(t.sorted) == t.limit && (t.limit == 0 || !ranksHigher(c, t.sorted[t.limit-1])) {
		return
	}
	index, _ := slices.BinarySearchFunc(t.sorted, c, func(other, c candidate) int {
		if ranksHigher(other, c) {
			return -1
		}
		return 1
	})
	t.sorted = slices.Insert(t.sorted, index, c)
	t.sorted = t.sorted[:min(len(t.sorted), t.limit)]
}

func (t *topCandidates) members() []gage.Member {
	members := make([]gage.Member, len(t.sorted))
	for i, c := range t.sorted {
		members[i] = c.member
	}
	return members
}

// ranksHigher reports whether a has a higher score than b. Equal scores are
// ordered by VM name.
func ranksHigher(a, b candidate) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return a.member.VM < b.member.VM
}

// score returns the rendezvous hash of a VM for a seed.
func score(seed uint64, zone, vm string) uint64 {
	var input []byte
	input = binary.LittleEndian.AppendUint64(input, seed)
	input = append(input, zone...)
	input = append(input, 0)
	input = append(input, vm...)
	return xxhash.Sum64(input)
}
