package share

import (
	"fmt"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagewind/greengagewind/gage"
)

func processOf(m gage.Member) gage.Process {
	return gage.Process{VM: m.VM, StartedAt: m.StartedAt}
}

// zoneOrder returns the zones of the members, ordered by a hash of shard and
// zone so that different shards prefer different zones.
func zoneOrder(shard int, members []gage.Member) []string {
	isListed := make(map[string]bool)
	var zones []string
	for _, m := range members {
		if !isListed[m.Zone] {
			isListed[m.Zone] = true
			zones = append(zones, m.Zone)
		}
	}
	sort.Slice(zones, func(i, j int) bool {
		a := xxhash.Sum64String(fmt.Sprintf("%d/%s", shard, zones[i]))
		b := xxhash.Sum64String(fmt.Sprintf("%d/%s", shard, zones[j]))
		return a < b || a == b && zones[i] < zones[j]
	})
	return zones
}

// candidate is a possible holder of a slot. Its fields are the sort criteria, the
// most important first. Lower values are preferred, and false is preferred to true.
type candidate struct {
	// isAvoided is true for a VM that holds another slot of the shard.
	isAvoided bool
	// zoneDistance is the number of zones that this slot prefers to the member's
	// zone.
	zoneDistance int
	// hash is the rendezvous hash of the slot and the VM.
	hash uint64
	vm   string
}

func (s candidate) isPreferredTo(other candidate) bool {
	if s.isAvoided != other.isAvoided {
		return !s.isAvoided
	}
	if s.zoneDistance != other.zoneDistance {
		return s.zoneDistance < other.zoneDistance
	}
	if s.hash != other.hash {
		return s.hash < other.hash
	}
	return s.vm < other.vm
}

// rateCandidates returns a candidate for each alive member, in the same order. avoid
// holds the VMs that hold other slots of the shard.
func rateCandidates(shard, slot int, alive []gage.Member, avoid map[string]bool) []candidate {
	zones := zoneOrder(shard, alive)
	zoneDistance := make(map[string]int, len(zones))
	for i, zone := range zones {
		zoneDistance[zone] = (i - slot + gage.MaxSlotsPerShard*len(zones)) % len(zones)
	}
	rated := make([]candidate, len(alive))
	for i, m := range alive {
		rated[i] = candidate{
			isAvoided:    avoid[m.VM],
			zoneDistance: zoneDistance[m.Zone],
			hash:         hashOf(shard, slot, m.VM),
			vm:           m.VM,
		}
	}
	return rated
}

func hashOf(shard, slot int, vm string) uint64 {
	key := make([]byte, 0, 64)
	key = strconv.AppendInt(key, int64(shard), 10)
	key = append(key, '/')
	key = strconv.AppendInt(key, int64(slot), 10)
	key = append(key, '/')
	key = append(key, vm...)
	return xxhash.Sum64(key)
}

// sortedCandidates returns the alive members, the preferred holders first.
func sortedCandidates(shard, slot int, alive []gage.Member, avoid map[string]bool) []gage.Member {
	rated := rateCandidates(shard, slot, alive, avoid)
	order := make([]int, len(alive))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(i, j int) bool { return rated[order[i]].isPreferredTo(rated[order[j]]) })
	sorted := make([]gage.Member, len(alive))
	for i, index := range order {
		sorted[i] = alive[index]
	}
	return sorted
}

// rankOf returns the number of alive members that are preferred to a VM as the
// holder of a slot. It returns false if the VM is not among the alive members.
func rankOf(vm string, shard, slot int, alive []gage.Member, avoid map[string]bool) (int, bool) {
	rated := rateCandidates(shard, slot, alive, avoid)
	own := -1
	for i := range rated {
		if rated[i].vm == vm {
			own = i
		}
	}
	if own < 0 {
		return 0, false
	}
	rank := 0
	for i := range rated {
		if rated[i].isPreferredTo(rated[own]) {
			rank++
		}
	}
	return rank, true
}

// chooseMembers returns up to MaxMembers confirming members for a slot, none of
// them on the holder's VM. It takes one VM from each zone in turn, the VM
// with the lowest hash first.
func chooseMembers(shard int, holder string, alive []gage.Member) []gage.Process {
	byZone := make(map[string][]gage.Member)
	for _, m := range alive {
		if m.VM != holder {
			byZone[m.Zone] = append(byZone[m.Zone], m)
		}
	}
	zones := zoneOrder(shard, alive)
	for _, zone := range zones {
		sortByHash(shard, byZone[zone])
	}
	var chosen []gage.Process
	for round := 0; round < MaxMembers; round++ {
		for _, zone := range zones {
			if round < len(byZone[zone]) && len(chosen) < MaxMembers {
				chosen = append(chosen, processOf(byZone[zone][round]))
			}
		}
	}
	return chosen
}

func sortByHash(shard int, members []gage.Member) {
	hashes := make(map[string]uint64, len(members))
	for _, m := range members {
		hashes[m.VM] = xxhash.Sum64String(fmt.Sprintf("%d/%s", shard, m.VM))
	}
	sort.Slice(members, func(i, j int) bool {
		a, b := members[i].VM, members[j].VM
		return hashes[a] < hashes[b] || hashes[a] == hashes[b] && a < b
	})
}
