package elect_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/elect"
)

func newFleet(size, zones int) []gage.Member {
	var members []gage.Member
	for i := range size {
		members = append(members, gage.Member{
			VM: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones), Phase: gage.MemberAlive,
		})
	}
	return members
}

func TestReadersOfEveryZoneRotate(t *testing.T) {
	const epochs = 300
	members := newFleet(36, 3)
	epochsAsReader := make(map[string]int)
	for epoch := range int64(epochs) {
		readers := make(map[string]int)
		for _, m := range members {
			if elect.IsReader(members, m, epoch, 2) {
				readers[m.Zone]++
				epochsAsReader[m.VM]++
			}
		}
		assert.DeepEqual(t, readers, map[string]int{"zone-0": 2, "zone-1": 2, "zone-2": 2})
	}
	for _, m := range members {
		assert.Assert(t, epochsAsReader[m.VM] > epochs/12, "%s was a reader in %d of %d epochs", m.VM, epochsAsReader[m.VM], epochs)
	}
}

func TestDeadMembersAreNotSelected(t *testing.T) {
	members := newFleet(6, 1)
	for i := range 4 {
		members[i].Phase = gage.MemberDead
	}
	for _, m := range members[4:] {
		assert.Assert(t, elect.IsReader(members, m, 7, 2))
		assert.Equal(t, len(elect.Neighbors(members, m, 4, 4)), 1)
	}
	assert.Equal(t, elect.ZoneSize(members, members[5]), 2)
}

func TestNeighborsConnectWholeFleet(t *testing.T) {
	members := newFleet(600, 15)
	byVM := make(map[string]gage.Member)
	for _, m := range members {
		byVM[m.VM] = m
	}
	reached := map[string]bool{"vm-0": true}
	queue := []string{"vm-0"}
	for len(queue) > 0 {
		self := byVM[queue[0]]
		queue = queue[1:]
		neighbors := elect.Neighbors(members, self, 4, 4)
		assert.Equal(t, len(neighbors), 8)
		for i, n := range neighbors {
			assert.Equal(t, n.Zone == self.Zone, i < 4)
			if !reached[n.VM] {
				reached[n.VM] = true
				queue = append(queue, n.VM)
			}
		}
	}
	assert.Equal(t, len(reached), len(members))
}

func TestLossOfOneMemberChangesFewNeighbors(t *testing.T) {
	members := newFleet(600, 15)
	remaining := append([]gage.Member{}, members[1:]...)
	replaced := 0
	for _, m := range remaining {
		before := elect.Neighbors(members, m, 4, 4)
		after := elect.Neighbors(remaining, m, 4, 4)
		retained := make(map[string]bool)
		for _, n := range after {
			retained[n.VM] = true
		}
		for _, n := range before {
			if !retained[n.VM] {
				assert.Equal(t, n.VM, "vm-0")
				replaced++
			}
		}
	}
	assert.Assert(t, replaced < 30, "%d neighbors replaced, want fewer than 30", replaced)
}
