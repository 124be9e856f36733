package quota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/quota"
)

// expiringShares is a share table in which HeldEpoch succeeds only for a limited
// number of calls. After that, the process may not serve its slots.
type expiringShares struct {
	// remainingCalls is the number of calls of HeldEpoch that still succeed.
	remainingCalls int
}

func (e *expiringShares) Slots(int) []gage.ShareSlot { return nil }

func (e *expiringShares) HeldEpoch(int, int, time.Time) (uint64, bool) {
	e.remainingCalls--
	return 1, e.remainingCalls >= 0
}

// No token is granted when another goroutine gives up the slot while a
// TakeRequest is being processed, and no invariant check fails.
func TestNoGrantWhenSlotLostDuringTake(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	config := &gage.Config{Generation: 1, Workspaces: []gage.Workspace{{Name: "aurora", Rate: 10, Burst: 20}}}
	for allowedCalls := range 2 {
		shares := &expiringShares{remainingCalls: 1000}
		issuer := quota.NewIssuer(gage.Process{VM: "a1"}, shares)
		issuer.Adopt(now, config)
		shares.remainingCalls = allowedCalls
		reply := issuer.Take(now.Add(time.Second), quota.TakeRequest{Workspace: "aurora", Count: 1})
		assert.Equal(t, reply.Granted, 0, "slot lost after %d calls of HeldEpoch", allowedCalls)
	}
}
