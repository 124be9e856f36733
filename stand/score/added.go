package score

import "github.com/greengagewind/greengagewind/stand/record"

// AddedLatency compares requests sent through the fleet with requests on the
// same routes sent directly to a target in the same trial. The overhead of a
// request is the time from sending it to receiving the answer, less the service
// time that the target reports.
type AddedLatency struct {
	// Calls and DirectCalls are the numbers of requests compared, through the
	// fleet and direct.
	Calls       int
	DirectCalls int
	// The Overhead fields are percentiles of the overhead through the fleet,
	// the Direct fields those of direct requests.
	OverheadP50Micros int64
	OverheadP99Micros int64
	DirectP50Micros   int64
	DirectP99Micros   int64
	// P50Micros and P99Micros are the percentiles through the fleet less the
	// percentiles of direct requests.
	P50Micros int64
	P99Micros int64
}

func addedLatency(fleet, direct []record.Sent) AddedLatency {
	routes := make(map[string]bool)
	directOverheads := newHistogram()
	for _, attempt := range direct {
		routes[attempt.Route] = true
		if attempt.Whole {
			observe(directOverheads, overhead(attempt))
		}
	}
	fleetOverheads := newHistogram()
	for _, attempt := range fleet {
		if attempt.Whole && routes[attempt.Route] {
			observe(fleetOverheads, overhead(attempt))
		}
	}
	a := AddedLatency{
		Calls:             int(fleetOverheads.TotalCount()),
		DirectCalls:       int(directOverheads.TotalCount()),
		OverheadP50Micros: fleetOverheads.ValueAtPercentile(50),
		OverheadP99Micros: fleetOverheads.ValueAtPercentile(99),
		DirectP50Micros:   directOverheads.ValueAtPercentile(50),
		DirectP99Micros:   directOverheads.ValueAtPercentile(99),
	}
	a.P50Micros = a.OverheadP50Micros - a.DirectP50Micros
	a.P99Micros = a.OverheadP99Micros - a.DirectP99Micros
	return a
}

// overhead returns the overhead of an attempt in microseconds.
func overhead(attempt record.Sent) int64 {
	return attempt.ReceivedMicros - attempt.SentMicros - attempt.ServiceMicros
}
