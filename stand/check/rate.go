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

// Rate checks that for every workspace and every interval of length t, at most
// Rate*t + Burst of the callers' requests started to run. It replays all starts
// against a token bucket, whose level falls below 0 exactly when some interval
// exceeds this bound. Runs with the same RequestID, which are retries by the
// fleet, count once.
func Rate(in Input) Finding {
	finding := Finding{Check: "RateAndBurst"}
	starts := startsByWorkspace(topLevel(in))
	names := make([]string, 0, len(starts))
	for name := range starts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		limit, limited := in.Limits[name]
		if !limited {
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

// LowestLevels returns, for each workspace with a limit, the lowest level in
// tokens that its token bucket reaches when its requests are replayed as in Rate.
// Rate reports a level below 0, beyond rounding error, as a violation.
func LowestLevels(in Input) map[string]float64 {
	levels := make(map[string]float64)
	for name, starts := range startsByWorkspace(topLevel(in)) {
		if limit, limited := in.Limits[name]; limited {
			levels[name] = lowestLevel(limit, starts)
		}
	}
	return levels
}

// startsByWorkspace returns, for each workspace, the time of the first run of each
// request, in Unix microseconds and in no particular order.
func startsByWorkspace(runs []record.Run) map[string][]int64 {
	type request struct {
		workspace string
		id        string
	}
	earliest := make(map[request]int64)
	for i, run := range runs {
		id := run.RequestID
		if id == "" {
			id = fmt.Sprintf("run %d", i)
		}
		key := request{workspace: run.Workspace, id: id}
		if known, ok := earliest[key]; !ok || run.StartMicros < known {
			earliest[key] = run.StartMicros
		}
	}
	starts := make(map[string][]int64)
	for key, micros := range earliest {
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
