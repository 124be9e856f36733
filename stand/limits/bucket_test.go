package limits_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/stand/limits"
)

// TestForceTakeFindsExceededIntervals checks that the bucket falls below 0
// exactly when the starts in some interval exceed the limit. The test tries the
// interval between every two starts.
func TestForceTakeFindsExceededIntervals(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for range 300 {
		limit := limits.Limit{Rate: float64(1 + rng.IntN(20)), Burst: float64(2 + rng.IntN(6))}
		starts := make([]int64, 1+rng.IntN(40))
		for i := range starts {
			start := rng.Int64N(200_000)
			if i > 0 {
				start += starts[i-1]
			}
			starts[i] = start
		}
		bucket := limits.NewBucket(limit)
		lowestLevel := limit.Burst
		for _, micros := range starts {
			lowestLevel = min(lowestLevel, bucket.ForceTake(micros))
		}
		assert.Assert(t, (lowestLevel < -1e-9) == anyIntervalExceeds(limit, starts), "%+v %v", limit, starts)
	}
}

func anyIntervalExceeds(limit limits.Limit, starts []int64) bool {
	for i := range starts {
		for j := i; j < len(starts); j++ {
			seconds := float64(starts[j]-starts[i]) / 1e6
			if float64(j-i+1) > limit.Rate*seconds+limit.Burst+1e-9 {
				return true
			}
		}
	}
	return false
}

func TestTakeRefusesBeyondTheBurst(t *testing.T) {
	bucket := limits.NewBucket(limits.Limit{Rate: 10, Burst: 2})
	assert.Assert(t, bucket.Take(0))
	assert.Assert(t, bucket.Take(0))
	assert.Assert(t, !bucket.Take(0))
	assert.Assert(t, !bucket.Take(99_999))
	assert.Assert(t, bucket.Take(100_000))
}
