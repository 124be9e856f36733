package score

import (
	"sort"

	"github.com/greengagewind/greengagewind/stand/limits"
	"github.com/greengagewind/greengagewind/stand/record"
)

// request is a caller's request with the combined result of its attempts.
type request struct {
	workspace     string
	arrivalMicros int64
	// latencyMicros is the time from the planned arrival to the last answer.
	latencyMicros int64
	// whole means that at least one attempt was whole.
	whole bool
	// keyed means that at least one attempt carried the workspace's API key.
	// Only keyed requests count against the limit of the workspace.
	keyed bool
	// withinRate means that the planned arrival was within the rate and burst
	// of the workspace.
	withinRate bool
}

// joinAttempts combines the attempts of each request. The attempts must be in
// order of planned arrival. The returned requests are in the same order.
func joinAttempts(sent []record.Sent, limitByWorkspace map[string]limits.Limit) []request {
	indexByID := make(map[string]int)
	var requests []request
	for _, attempt := range sent {
		index, isKnown := indexByID[attempt.ID]
		if !isKnown {
			index = len(requests)
			indexByID[attempt.ID] = index
			requests = append(requests, request{workspace: attempt.Workspace, arrivalMicros: attempt.ArrivalMicros})
		}
		requests[index].keyed = requests[index].keyed || attempt.Keyed
		requests[index].whole = requests[index].whole || attempt.Whole
		requests[index].latencyMicros = max(requests[index].latencyMicros, attempt.ReceivedMicros-attempt.ArrivalMicros)
	}
	buckets := newBuckets(limitByWorkspace)
	for i := range requests {
		requests[i].withinRate = !requests[i].keyed || buckets.take(requests[i].workspace, requests[i].arrivalMicros)
	}
	return requests
}

// buckets holds a token bucket for each workspace with a limit. They decide from
// the recorded times of requests which requests were within the limit.
type buckets struct {
	limits      map[string]limits.Limit
	byWorkspace map[string]*limits.Bucket
}

func newBuckets(limitByWorkspace map[string]limits.Limit) *buckets {
	return &buckets{limits: limitByWorkspace, byWorkspace: make(map[string]*limits.Bucket)}
}

// take takes a token for a request of a workspace and reports whether the
// request is within the limit. It returns true for a workspace without a limit.
func (b *buckets) take(workspace string, micros int64) bool {
	limit, hasLimit := b.limits[workspace]
	if !hasLimit {
		return true
	}
	bucket, ok := b.byWorkspace[workspace]
	if !ok {
		bucket = limits.NewBucket(limit)
		b.byWorkspace[workspace] = bucket
	}
	return bucket.Take(micros)
}

// sortBySendTime returns a copy of the attempts in the order in which they were
// sent.
func sortBySendTime(sent []record.Sent) []record.Sent {
	ordered := append([]record.Sent(nil), sent...)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].SentMicros < ordered[j].SentMicros })
	return ordered
}
