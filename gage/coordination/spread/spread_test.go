package spread_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/apply"
	"github.com/greengagewind/greengagewind/gage/state/elect"
	"github.com/greengagewind/greengagewind/gage/state/fresh"
)

// propagationTimeout is the time within which a change must reach all nodes.
const propagationTimeout = 10 * time.Second

// readerEpochLength is how long the same nodes stay readers. It equals the
// constant in package spread.
const readerEpochLength = 30 * time.Second

// waitForRevision waits until all nodes hold the configuration revision or a later
// one, and returns how long that took.
func (f *testFleet) waitForRevision(t *testing.T, revision int64) time.Duration {
	t.Helper()
	elapsed, ok := waitUntil(propagationTimeout, 10*time.Millisecond, func() bool { return f.countWithRevision(revision) == len(f.nodes) })
	assert.Assert(t, ok, "%d of %d nodes have revision %d", f.countWithRevision(revision), len(f.nodes), revision)
	return elapsed
}

// verdicts returns the number of nodes with each verdict.
func (f *testFleet) verdicts() map[fresh.Verdict]int {
	counts := make(map[fresh.Verdict]int)
	for _, n := range f.nodes {
		counts[n.current().Verdict(time.Now())]++
	}
	return counts
}

func TestChangeReachesEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(18, 3, 1)
		defer f.stop()
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, f.verdicts(), map[fresh.Verdict]int{fresh.NoConfig: 18})
		first := f.store.write(gage.StoreConfigKey, []byte("first"))
		t.Logf("first configuration at all nodes after %s", f.waitForRevision(t, first))
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, f.verdicts(), map[fresh.Verdict]int{fresh.Confirmed: 18})
		for i := range 20 {
			key := fmt.Sprintf("%s%02d", gage.StoreSharePrefix, i)
			f.store.write(key, []byte("share"))
		}
		second := f.store.write(gage.StoreConfigKey, []byte("second"))
		t.Logf("second configuration at all nodes after %s", f.waitForRevision(t, second))
		assert.Equal(t, len(f.violations), 0, "%v", f.violations)
	})
}

func TestNodesServeDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(18, 3, 2)
		defer f.stop()
		f.store.write(gage.StoreConfigKey, []byte("first"))
		time.Sleep(propagationTimeout)
		f.store.update(func(s *fakeStore) { s.down = true })
		for range 60 {
			time.Sleep(5 * time.Second)
			counts := f.verdicts()
			assert.Equal(t, counts[fresh.Confirmed]+counts[fresh.StoreOutage], 18, "%v", counts)
		}
		// A node that starts during the outage pulls the documents from its peers.
		f.nodes[4].halt()
		f.nodes[4].start()
		time.Sleep(propagationTimeout)
		assert.Equal(t, f.nodes[4].current().Verdict(time.Now()), fresh.StoreOutage)
		f.store.update(func(s *fakeStore) { s.down = false })
		second := f.store.write(gage.StoreConfigKey, []byte("second"))
		t.Logf("change after the outage at all nodes after %s", f.waitForRevision(t, second))
	})
}

// TestAppliedFileSpreadsWhileStoreIsDown takes the store down immediately after it
// has accepted a file, before any reader reads it. The node that applied the file
// must then replicate it to all others.
func TestAppliedFileSpreadsWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(18, 3, 8)
		defer f.stop()
		first := f.store.write(gage.StoreConfigKey, []byte("first"))
		f.waitForRevision(t, first)
		n := f.nodes[7]
		result := apply.Run(t.Context(), &storeClient{fakeStore: f.store, node: n}, []byte("second"), first, "one")
		f.store.update(func(s *fakeStore) { s.down = true })
		assert.Equal(t, result.Outcome, apply.Applied)
		n.current().Offer(result.Document)
		t.Logf("at all nodes after %s with the store down", f.waitForRevision(t, result.Generation))
		assert.Equal(t, len(f.violations), 0, "%v", f.violations)
	})
}

func TestIsolatedNodesRefuse(t *testing.T) {
	for _, isStoreDown := range []bool{false, true} {
		for _, isolated := range []string{"vm-4", "zone-1"} {
			t.Run(fmt.Sprintf("%s StoreDown %v", isolated, isStoreDown), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testIsolation(t, isolated, isStoreDown) })
			})
		}
	}
}

// testIsolation isolates a VM or a zone and checks that exactly its nodes refuse
// callers once fresh.IsolationBound has passed.
func testIsolation(t *testing.T, isolated string, isStoreDown bool) {
	f := newFleet(18, 3, 3)
	defer f.stop()
	f.store.write(gage.StoreConfigKey, []byte("first"))
	time.Sleep(propagationTimeout)
	f.net.update(func(n *fakeNetwork) { n.isolated = map[string]bool{isolated: true} })
	f.store.update(func(s *fakeStore) { s.down = isStoreDown })
	time.Sleep(fresh.IsolationBound + time.Millisecond)
	for i, n := range f.nodes {
		isIsolated := n.member.VM == isolated || n.member.Zone == isolated
		verdict := n.current().Verdict(time.Now())
		assert.Equal(t, verdict.Serves(), !isIsolated, "node %d: %s", i, verdict)
	}
	f.net.update(func(n *fakeNetwork) { n.isolated = nil })
	f.store.update(func(s *fakeStore) { s.down = false })
	time.Sleep(propagationTimeout)
	assert.DeepEqual(t, f.verdicts(), map[fresh.Verdict]int{fresh.Confirmed: 18})
}

// TestOtherNodesReadWhenReadersAreFrozen freezes all readers while the membership
// still lists them as alive. The other nodes must then read the store.
func TestOtherNodesReadWhenReadersAreFrozen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(18, 3, 4)
		defer f.stop()
		f.store.write(gage.StoreConfigKey, []byte("first"))
		time.Sleep(propagationTimeout)
		// Wait for the start of a reader epoch, so that no other node becomes a reader
		// during the test.
		time.Sleep(time.Until(time.Now().Truncate(readerEpochLength).Add(readerEpochLength)))
		var nonReaders []*testNode
		for _, n := range f.nodes {
			if elect.IsReader(f.members, n.member, time.Now().Unix()/int64(readerEpochLength/time.Second), readersPerZone) {
				n.freeze()
			} else {
				nonReaders = append(nonReaders, n)
			}
		}
		assert.Equal(t, len(nonReaders), 12)
		second := f.store.write(gage.StoreConfigKey, []byte("second"))
		elapsed, ok := waitUntil(propagationTimeout, 10*time.Millisecond, func() bool {
			for _, n := range nonReaders {
				if n.configRevision() != second {
					return false
				}
			}
			return true
		})
		assert.Assert(t, ok)
		t.Logf("change at all other nodes after %s with all readers frozen", elapsed)
		for _, n := range f.nodes {
			n.thaw()
		}
		f.waitForRevision(t, second)
		assert.Equal(t, len(f.violations), 0, "%v", f.violations)
	})
}
