package score

import "github.com/greengagewind/greengagewind/stand/record"

// AddedLatency compares requests sent through the fleet with requests on the
// same routes sent directly to a target in the same trial. The overhead of a
// request is the time from sending it to receiving the answer, less the service
// time that the target reports.
type AddedLatency struct {
	// Calls is the number of requests through the fleet that were compared.
	Calls int
	// DirectCalls is the number of direct requests that were compared.
	DirectCalls int
	// OverheadP50Micros and OverheadP99Micros are percentiles of the overhead of
	// requests through the fleet.
	OverheadP50Micros int64
	OverheadP99Micros int64
	// DirectP50Micros and DirectP99Micros are percentiles of the overhead of
	// direct requests.
	DirectP50Micros int64
	DirectP99Micros int64
	// P50Micros is OverheadP50Micros less DirectP50Micros. P99Micros is
	// OverheadP99Micros less DirectP99Micros.
	P50Micros int64
	P99Micros int64
}

func addedLatency(fleet, direct []record.Sent) AddedLatency {
	directRoutes := make(map[string]bool)
	directOverheads := newHistogram()
	for _, attempt := range direct {
		directRoutes[attempt.Route] = true
		if attempt.Whole {
			observe(directOverheads, overheadMicros(attempt))
		}
	}
	fleetOverheads := newHistogram()
	for _, attempt := range fleet {
		if attempt.Whole && directRoutes[attempt.Route] {
			observe(fleetOverheads, overheadMicros(attempt))
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

// overheadMicros returns the overhead of an attempt; see AddedLatency.
func overheadMicros(attempt record.Sent) int64 {
	return attempt.ReceivedMicros - attempt.SentMicros - attempt.ServiceMicros
}
