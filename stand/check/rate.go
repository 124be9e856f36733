package check

import (
	"fmt"
	"sort"

	"github.com/greengagewind/greengagewind/stand/limits"
	"github.com/greengagewind/greengagewind/stand/record"
)

// levelTolerance, in tokens, absorbs the rounding error of summing many small
// fractions.
const levelTolerance = 1e-6

// Rate checks that for every workspace with a limit and every interval of t
// seconds, at most Rate*t + Burst of the callers' requests started to run. It takes
// a token from a token bucket for each start. The level of the bucket falls below 0
// exactly when some interval exceeds this bound. Runs with the same RequestID are
// retries by the fleet and count once.
func Rate(in Input) Finding {
	finding := Finding{Check: "RateAndBurst"}
	starts := startsByWorkspace(topLevelRuns(in))
	names := make([]string, 0, len(starts))
	for name := range starts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		limit, hasLimit := in.Limits[name]
		if !hasLimit {
			continue
		}
		finding.Checked += len(starts[name])
		if lowest := lowestLevel(limit, starts[name]); lowest < -levelTolerance {
			finding.addViolation("%s exceeded its limit by %.2f requests (rate %g per second, burst %g)",
				name, -lowest, limit.Rate, limit.Burst)
		}
	}
	return finding
}

// LowestLevels returns, for each workspace with a limit, the lowest level of its
// token bucket, in tokens. The bucket is used as described at Rate, which reports a
// level below 0 as a violation unless it may be a rounding error.
func LowestLevels(in Input) map[string]float64 {
	levels := make(map[string]float64)
	for name, starts := range startsByWorkspace(topLevelRuns(in)) {
		if limit, hasLimit := in.Limits[name]; hasLimit {
			levels[name] = lowestLevel(limit, starts)
		}
	}
	return levels
}

// startsByWorkspace returns the start of the first run of each request, grouped by
// workspace. The starts are Unix times in microseconds, in no particular order.
func startsByWorkspace(runs []record.Run) map[string][]int64 {
	type request struct {
		workspace string
		id        string
	}
	earliestStart := make(map[request]int64)
	for i, run := range runs {
		id := run.RequestID
		if id == "" {
			id = fmt.Sprintf("run %d", i)
		}
		key := request{workspace: run.Workspace, id: id}
		if previous, exists := earliestStart[key]; !exists || run.StartMicros < previous {
			earliestStart[key] = run.StartMicros
		}
	}
	starts := make(map[string][]int64)
	for key, micros := range earliestStart {
		starts[key.workspace] = append(starts[key.workspace], micros)
	}
	return starts
}

func lowestLevel(limit limits.Limit, starts []int64) float64 {
	sort.Slice(starts, func(i, j int) bool { return starts[i] < starts[j] })
	bucket := limits.NewBucket(limit)
	lowest := limit.Burst
	for _, micros := range starts {
		lowest = min(lowest, bucket.ForceTake(micros))
	}
	return lowest
}
