package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage/testing/fleet"
)

// Message loss leads to suspicions, but the suspects must refute them in time:
// no node may be declared dead.
func TestMessageLossCausesNoDeaths(t *testing.T) {
	for _, lossPercent := range []int{5, 20} {
		t.Run(fmt.Sprint(lossPercent), func(t *testing.T) {
			f := fleet.New(10)
			f.StartVMs(60)
			_, ok := f.RunUntil(time.Minute, f.Converged)
			assert.Assert(t, ok, f.Disagreement())
			f.LossRate = float64(lossPercent) / 100
			f.MaxDelay = 300 * time.Millisecond
			f.Run(5 * time.Minute)
			suspicions, deaths := uint64(0), uint64(0)
			for _, v := range f.VMs {
				suspicions += v.Core.Stats.Suspicions
				deaths += v.Core.Stats.Deaths
			}
			assert.Equal(t, deaths, uint64(0))
			t.Logf("%d suspicions in 5 minutes of 60 nodes", suspicions)
		})
	}
}
