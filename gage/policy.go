package gage

// Policy is an algorithm for admission control at a target.
type Policy string

// The policies. PolicyAdaptive is meant for production; the others are
// baselines for comparison.
const (
	// PolicyAdaptive adapts the concurrency limit to the measured service time,
	// raises the limit of a cold target gradually, and sheds calls by
	// importance and by fair share between workspaces.
	PolicyAdaptive Policy = "Adaptive"
	// PolicyFixed has a configured concurrency limit and a first-in, first-out
	// queue.
	PolicyFixed Policy = "Fixed"
	// PolicyNone admits every call immediately.
	PolicyNone Policy = "None"
	// PolicyQueueDelay is PolicyFixed, but drops calls while the queueing
	// delay stays above a threshold.
	PolicyQueueDelay Policy = "QueueDelay"
)
