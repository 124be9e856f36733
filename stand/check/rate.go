package check

import (
	"fmt"
	"sort"

	"github.com/greengagewind/greengagewind/stand/limits"
	"github.com/greengagewind/greengagewind/stand/record"
)

// levelSlack absorbs the rounding of sums of many small fractions.
const levelSlack = 1e-6

// Rate holds that for every workspace and every interval of length t, the
// callers' requests that began to run are at most Rate*t + Burst. A bucket
// replayed over all starts goes below 0 exactly when some interval breaks it.
// Later attempts of the fleet itself at one request do not count again.
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
		if lowest := lowestLevel(limit, starts[name]); lowest < -levelSlack {
			finding.addViolation("%s ran %.2f requests more than %g a second and a burst of %g allow",
				name, -lowest, limit.Rate, limit.Burst)
		}
	}
	return finding
}

// LowestLevels returns how far the bucket of each limited workspace fell when
// all starts were replayed; a level below 0 is what Rate calls a violation.
func LowestLevels(in Input) map[string]float64 {
	levels := make(map[string]float64)
	for name, starts := range startsByWorkspace(topLevel(in)) {
		if limit, limited := in.Limits[name]; limited {
			levels[name] = lowestLevel(limit, starts)
		}
	}
	return levels
}

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
		at := request{workspace: run.Workspace, id: id}
		if known, ok := earliest[at]; !ok || run.StartMicros < known {
			earliest[at] = run.StartMicros
		}
	}
	starts := make(map[string][]int64)
	for at, micros := range earliest {
		starts[at.workspace] = append(starts[at.workspace], micros)
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
