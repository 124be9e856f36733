package gossip_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/member"
	"github.com/greengagewind/greengagewind/gage/testing/fleet"
)

// A joining node must receive the whole table in one exchange. Otherwise it
// retries about every second, and each exchange carries the digests of the whole
// fleet.
func TestOneExchangeTransfersLargeTable(t *testing.T) {
	const nodeCount = 2800
	f := fleet.New(1)
	knownVM := f.Start(gage.Member{VM: "known"})
	for i := range nodeCount {
		m := fleet.NumberedMember(i)
		m.Phase = gage.MemberAlive
		m.StartedAt = 1
		knownVM.Core.Table.Merge(f.Now, member.Record{Member: m})
	}
	joiningVM := f.Start(gage.Member{VM: "joining"}, "known")
	f.Run(500 * time.Millisecond)
	assert.Equal(t, joiningVM.Core.Table.LiveCount(), nodeCount+2)
	assert.Equal(t, joiningVM.Core.Stats.BadMessages, uint64(0))
}
