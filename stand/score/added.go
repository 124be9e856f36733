package score

import "github.com/greengagewind/greengagewind/stand/record"

// AddedLatency compares lookups through the fleet with lookups sent to a target
// directly in the same run. An overhead is the time from sending to the answer
// less what the target says it spent.
type AddedLatency struct {
	// Calls and DirectCalls are how many were compared.
	Calls             int
	DirectCalls       int
	OverheadP50Micros int64
	OverheadP99Micros int64
	DirectP50Micros   int64
	DirectP99Micros   int64
	// P50Micros and P99Micros are the differences.
	P50Micros int64
	P99Micros int64
}

func added(fleet, direct []record.Sent) AddedLatency {
	routes := make(map[string]bool)
	directly := newHistogram()
	for _, attempt := range direct {
		routes[attempt.Route] = true
		if attempt.Whole {
			observe(directly, overhead(attempt))
		}
	}
	through := newHistogram()
	for _, attempt := range fleet {
		if attempt.Whole && routes[attempt.Route] {
			observe(through, overhead(attempt))
		}
	}
	a := AddedLatency{
		Calls:             int(through.TotalCount()),
		DirectCalls:       int(directly.TotalCount()),
		OverheadP50Micros: through.ValueAtPercentile(50),
		OverheadP99Micros: through.ValueAtPercentile(99),
		DirectP50Micros:   directly.ValueAtPercentile(50),
		DirectP99Micros:   directly.ValueAtPercentile(99),
	}
	a.P50Micros = a.OverheadP50Micros - a.DirectP50Micros
	a.P99Micros = a.OverheadP99Micros - a.DirectP99Micros
	return a
}

func overhead(attempt record.Sent) int64 {
	return attempt.ReceivedMicros - attempt.SentMicros - attempt.ServiceMicros
}
