package press_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage/state/press"
)

var (
	start    = time.Unix(1_800_000_000, 0)
	datesKey = press.Key{Route: "dates", Workspace: "north", Rank: 2}
)

// sendRequests sends 500 requests a second with random shed orders. The requests
// whose shed order is in the lowest nestedAdmittedShare of all shed orders have their
// nested calls admitted. Those of the other requests are refused. It returns how many
// requests ran and how many of these were wasted on refused nested calls.
func sendRequests(throttle *press.Throttle, rng *rand.Rand, from time.Time, seconds int, nestedAdmittedShare float64) (ran, wasted int) {
	for i := range 500 * seconds {
		now := from.Add(time.Duration(i) * 2 * time.Millisecond)
		shedOrder := rng.Uint32()
		if !throttle.Admits(now, datesKey, shedOrder) {
			continue
		}
		ran++
		nestedRefused := float64(shedOrder) >= nestedAdmittedShare*(1<<32)
		if nestedRefused {
			wasted++
		}
		throttle.Observe(now, datesKey, shedOrder, nestedRefused)
	}
	return ran, wasted
}

func TestThrottleFollowsNestedRefusals(t *testing.T) {
	throttle := press.New()
	rng := rand.New(rand.NewPCG(1, 2))
	sendRequests(throttle, rng, start, 5, 0.3)
	ran, wasted := sendRequests(throttle, rng, start.Add(5*time.Second), 10, 0.3)
	t.Logf("of 5000 requests %d ran and %d of these were wasted; the nested calls of 1500 are admitted", ran, wasted)
	assert.Assert(t, ran-wasted >= 1200)
	assert.Assert(t, wasted <= 400)

	ran, _ = sendRequests(throttle, rng, start.Add(15*time.Second), 3, 1)
	assert.Assert(t, ran >= 1000, "%d of 1500 ran after the overload", ran)
	ran, _ = sendRequests(throttle, rng, start.Add(18*time.Second), 1, 1)
	assert.Equal(t, ran, 500)
}

func TestThrottleKeepsKeysApart(t *testing.T) {
	throttle := press.New()
	rng := rand.New(rand.NewPCG(3, 4))
	sendRequests(throttle, rng, start, 5, 0)
	other := datesKey
	other.Workspace = "south"
	assert.Assert(t, throttle.Admits(start.Add(5*time.Second), other, 1<<32-1))
}

func TestThrottleBoundsKeys(t *testing.T) {
	throttle := press.New()
	for i := range 5000 {
		key := press.Key{Route: fmt.Sprint(i)}
		for range 50 {
			throttle.Observe(start, key, 0, true)
		}
	}
	assert.Assert(t, throttle.Len() <= 1024)
	throttle.Observe(start.Add(time.Minute), datesKey, 0, true)
	assert.Equal(t, throttle.Len(), 1)
}
