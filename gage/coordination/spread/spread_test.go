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

// settle is the time in which a change must be everywhere.
const settle = 10 * time.Second

// epoch is how long the same nodes are readers.
const epoch = 30 * time.Second

func (w *world) everywhere(t *testing.T, revision int64) time.Duration {
	t.Helper()
	took, ok := until(settle, 10*time.Millisecond, func() bool { return w.with(revision) == len(w.nodes) })
	assert.Assert(t, ok, "%d of %d nodes have revision %d", w.with(revision), len(w.nodes), revision)
	return took
}

func (w *world) verdicts() map[fresh.Verdict]int {
	found := make(map[fresh.Verdict]int)
	for _, n := range w.nodes {
		found[n.now().Verdict(time.Now())]++
	}
	return found
}

func TestChangeReachesEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := build(18, 3, 1)
		defer w.stop()
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, w.verdicts(), map[fresh.Verdict]int{fresh.NoConfig: 18})
		first := w.store.write(gage.StoreConfigKey, []byte("first"))
		t.Logf("first configuration everywhere after %s", w.everywhere(t, first))
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, w.verdicts(), map[fresh.Verdict]int{fresh.Confirmed: 18})
		for i := range 20 {
			key := fmt.Sprintf("%s%02d", gage.StoreSharePrefix, i)
			w.store.write(key, []byte("share"))
		}
		second := w.store.write(gage.StoreConfigKey, []byte("second"))
		t.Logf("second configuration everywhere after %s", w.everywhere(t, second))
		assert.Equal(t, len(w.violations), 0, "%v", w.violations)
	})
}

func TestStoreOutageIsNoReasonToRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := build(18, 3, 2)
		defer w.stop()
		w.store.write(gage.StoreConfigKey, []byte("first"))
		time.Sleep(settle)
		w.store.set(func(s *store) { s.down = true })
		for range 60 {
			time.Sleep(5 * time.Second)
			found := w.verdicts()
			assert.Equal(t, found[fresh.Confirmed]+found[fresh.StoreOutage], 18, "%v", found)
		}
		// A node that starts during the outage learns from its peers.
		w.nodes[4].halt()
		w.nodes[4].start()
		time.Sleep(settle)
		assert.Equal(t, w.nodes[4].now().Verdict(time.Now()), fresh.StoreOutage)
		w.store.set(func(s *store) { s.down = false })
		second := w.store.write(gage.StoreConfigKey, []byte("second"))
		t.Logf("change after the outage everywhere after %s", w.everywhere(t, second))
	})
}

// TestApplyThroughNodeOutlivesTheStore takes the store down at the very moment
// after it accepted a file, before any reader has looked again.
func TestApplyThroughNodeOutlivesTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := build(18, 3, 8)
		defer w.stop()
		first := w.store.write(gage.StoreConfigKey, []byte("first"))
		w.everywhere(t, first)
		n := w.nodes[7]
		result := apply.Run(t.Context(), &nodeStore{store: w.store, node: n}, []byte("second"), first, "one")
		w.store.set(func(s *store) { s.down = true })
		assert.Equal(t, result.Outcome, apply.Applied)
		n.now().Offer(result.Document)
		t.Logf("everywhere after %s, store down", w.everywhere(t, result.Generation))
		assert.Equal(t, len(w.violations), 0, "%v", w.violations)
	})
}

func TestNodeCutOffRefuses(t *testing.T) {
	for _, down := range []bool{false, true} {
		for _, cut := range []string{"vm-4", "zone-1"} {
			t.Run(fmt.Sprintf("%s StoreDown %v", cut, down), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { cutOff(t, cut, down) })
			})
		}
	}
}

func cutOff(t *testing.T, cut string, down bool) {
	w := build(18, 3, 3)
	defer w.stop()
	w.store.write(gage.StoreConfigKey, []byte("first"))
	time.Sleep(settle)
	w.net.set(func(n *network) { n.cut = map[string]bool{cut: true} })
	w.store.set(func(s *store) { s.down = down })
	time.Sleep(fresh.IsolationBound + time.Millisecond)
	for i, n := range w.nodes {
		isCut := n.member.VM == cut || n.member.Zone == cut
		verdict := n.now().Verdict(time.Now())
		assert.Equal(t, verdict.Serves(), !isCut, "node %d: %s", i, verdict)
	}
	w.net.set(func(n *network) { n.cut = nil })
	w.store.set(func(s *store) { s.down = false })
	time.Sleep(settle)
	assert.DeepEqual(t, w.verdicts(), map[fresh.Verdict]int{fresh.Confirmed: 18})
}

func TestFrozenReadersAreMadeUpFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := build(18, 3, 4)
		defer w.stop()
		w.store.write(gage.StoreConfigKey, []byte("first"))
		time.Sleep(settle)
		// Start with an epoch, so that nobody else becomes a reader meanwhile.
		time.Sleep(time.Until(time.Now().Truncate(epoch).Add(epoch)))
		var others []*node
		for _, n := range w.nodes {
			if elect.IsReader(w.members, n.member, time.Now().Unix()/int64(epoch/time.Second), readersPerZone) {
				n.freeze()
			} else {
				others = append(others, n)
			}
		}
		assert.Equal(t, len(others), 12)
		second := w.store.write(gage.StoreConfigKey, []byte("second"))
		took, ok := until(settle, 10*time.Millisecond, func() bool {
			for _, n := range others {
				if n.revision() != second {
					return false
				}
			}
			return true
		})
		assert.Assert(t, ok)
		t.Logf("change everywhere after %s with all readers frozen", took)
		for _, n := range w.nodes {
			n.thaw()
		}
		w.everywhere(t, second)
		assert.Equal(t, len(w.violations), 0, "%v", w.violations)
	})
}
