package spread

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/elect"
)

const (
	// gossipInterval is the mean time between two exchanges that a node starts.
	gossipInterval = 300 * time.Millisecond
	// maxSameZoneNeighbors and maxOtherZoneNeighbors limit the numbers of neighbors
	// that a node selects in its own zone and in other zones. This also limits the
	// connections of the node.
	maxSameZoneNeighbors  = 4
	maxOtherZoneNeighbors = 4
	// pushFanout is the number of neighbors to which a node immediately announces
	// a new document.
	pushFanout = 3
	// neighborRefreshInterval is how long the selected neighbors are cached.
	neighborRefreshInterval = 2 * time.Second
)

// neighborCache caches the selected neighbors, since the selection iterates over
// all members of the fleet.
type neighborCache struct {
	mu         sync.Mutex
	members    []gage.Member
	selectedAt time.Time
}

// gossipLoop performs anti-entropy: at each interval it compares the documents of
// this node with those of a random neighbor.
func (s *Spread) gossipLoop(ctx context.Context) {
	for sleep(ctx, s.random.jitter(gossipInterval)) {
		neighbors := s.neighbors()
		if len(neighbors) == 0 {
			continue
		}
		s.exchange(ctx, neighbors[s.random.intN(len(neighbors))].PeerAddress, nil)
	}
}

// pushLoop announces new documents to a few neighbors as soon as they arrive.
func (s *Spread) pushLoop(ctx context.Context) {
	for {
		select {
		case <-s.pushWake:
		case <-ctx.Done():
			return
		}
		newHeads := s.takeUnpushed()
		var exchanges sync.WaitGroup
		for _, m := range s.pushRecipients() {
			exchanges.Go(func() { s.exchange(ctx, m.PeerAddress, newHeads) })
		}
		exchanges.Wait()
	}
}

// takeUnpushed returns the heads that have not been pushed and marks them as
// pushed.
func (s *Spread) takeUnpushed() []Head {
	s.mu.Lock()
	defer s.mu.Unlock()
	newHeads := make([]Head, 0, len(s.unpushed))
	for key, revision := range s.unpushed {
		newHeads = append(newHeads, Head{Key: key, Revision: revision})
	}
	clear(s.unpushed)
	sortHeads(newHeads)
	return newHeads
}

// neighbors returns a copy of the selected neighbors: those in this node's zone,
// followed by those in other zones.
func (s *Spread) neighbors() []gage.Member {
	now, members := s.options.Clock.Now(), s.options.Members
	s.neighborCache.mu.Lock()
	defer s.neighborCache.mu.Unlock()
	if len(s.neighborCache.members) == 0 || now.Sub(s.neighborCache.selectedAt) >= neighborRefreshInterval {
		s.neighborCache.members = elect.Neighbors(members.Members(), members.Self(), maxSameZoneNeighbors, maxOtherZoneNeighbors)
		s.neighborCache.selectedAt = now
	}
	return slices.Clone(s.neighborCache.members)
}

// pushRecipients returns up to pushFanout random neighbors. One of them is drawn
// from the last maxOtherZoneNeighbors in the list, where the neighbors in other
// zones are.
func (s *Spread) pushRecipients() []gage.Member {
	neighbors := s.neighbors()
	if len(neighbors) <= pushFanout {
		return neighbors
	}
	lastIndex := len(neighbors) - 1
	chosenIndex := lastIndex - s.random.intN(min(maxOtherZoneNeighbors, len(neighbors)))
	neighbors[lastIndex], neighbors[chosenIndex] = neighbors[chosenIndex], neighbors[lastIndex]
	recipients := neighbors[lastIndex:]
	remaining := neighbors[:lastIndex]
	for range pushFanout - 1 {
		i := s.random.intN(len(remaining))
		recipients = append(recipients[:len(recipients):len(recipients)], remaining[i])
		remaining[i] = remaining[len(remaining)-1]
		remaining = remaining[:len(remaining)-1]
	}
	return recipients
}
