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

// zoneOrder returns the zones of the members in the shard's order.
func zoneOrder(shard int, members []gage.Member) []string {
	seen := make(map[string]bool)
	var zones []string
	for _, m := range members {
		if !seen[m.Zone] {
			seen[m.Zone] = true
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

// suit is how well a member suits a slot.
type suit struct {
	// avoided tells that the VM should not hold the slot.
	avoided bool
	// distance counts the zones that come before the member's.
	distance int
	weight   uint64
	vm       string
}

func (s suit) before(other suit) bool {
	if s.avoided != other.avoided {
		return !s.avoided
	}
	if s.distance != other.distance {
		return s.distance < other.distance
	}
	if s.weight != other.weight {
		return s.weight < other.weight
	}
	return s.vm < other.vm
}

// suits weighs the alive members for a slot: first those on VMs not in avoid,
// then by zone, then by rendezvous hashing.
func suits(shard, slot int, alive []gage.Member, avoid map[string]bool) []suit {
	zones := zoneOrder(shard, alive)
	distance := make(map[string]int, len(zones))
	for i, zone := range zones {
		distance[zone] = (i - slot + gage.MaxSlotsPerShard*len(zones)) % len(zones)
	}
	weighed := make([]suit, len(alive))
	for i, m := range alive {
		weighed[i] = suit{
			avoided:  avoid[m.VM],
			distance: distance[m.Zone],
			weight:   weightOf(shard, slot, m.VM),
			vm:       m.VM,
		}
	}
	return weighed
}

func weightOf(shard, slot int, vm string) uint64 {
	key := make([]byte, 0, 64)
	key = strconv.AppendInt(key, int64(shard), 10)
	key = append(key, '/')
	key = strconv.AppendInt(key, int64(slot), 10)
	key = append(key, '/')
	key = append(key, vm...)
	return xxhash.Sum64(key)
}

// candidates orders the alive members by how well they suit a slot.
func candidates(shard, slot int, alive []gage.Member, avoid map[string]bool) []gage.Member {
	weighed := suits(shard, slot, alive, avoid)
	order := make([]int, len(alive))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(i, j int) bool { return weighed[order[i]].before(weighed[order[j]]) })
	sorted := make([]gage.Member, len(alive))
	for i, position := range order {
		sorted[i] = alive[position]
	}
	return sorted
}

// rankOf returns how many alive members suit a slot better than a VM, and
// false when the VM is not among them.
func rankOf(vm string, shard, slot int, alive []gage.Member, avoid map[string]bool) (int, bool) {
	weighed := suits(shard, slot, alive, avoid)
	at := -1
	for i := range weighed {
		if weighed[i].vm == vm {
			at = i
		}
	}
	if at < 0 {
		return 0, false
	}
	rank := 0
	for i := range weighed {
		if weighed[i].before(weighed[at]) {
			rank++
		}
	}
	return rank, true
}

// chooseMembers picks the members of a slot by rendezvous hashing, zone by
// zone in turn, leaving out the holder's VM.
func chooseMembers(shard int, holder string, alive []gage.Member) []gage.Process {
	byZone := make(map[string][]gage.Member)
	for _, m := range alive {
		if m.VM != holder {
			byZone[m.Zone] = append(byZone[m.Zone], m)
		}
	}
	zones := zoneOrder(shard, alive)
	for _, zone := range zones {
		sortByWeight(shard, byZone[zone])
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

func sortByWeight(shard int, members []gage.Member) {
	weight := make(map[string]uint64, len(members))
	for _, m := range members {
		weight[m.VM] = xxhash.Sum64String(fmt.Sprintf("%d/%s", shard, m.VM))
	}
	sort.Slice(members, func(i, j int) bool {
		a, b := members[i].VM, members[j].VM
		return weight[a] < weight[b] || weight[a] == weight[b] && a < b
	})
}
