package gage

import "time"

// Elapsed returns the time from past to now by the clock of the system that shows
// more: the monotonic clock does not count the time in which the machine was
// suspended, and the time of day may be set back. It is meant for permissions that
// run out; a time of day that was set forward ends them early.
func Elapsed(now, past time.Time) time.Duration {
	return max(now.Sub(past), now.Round(0).Sub(past.Round(0)))
}

// HasTimeLeft reports whether now is before end by both clocks of Elapsed.
func HasTimeLeft(now, end time.Time) bool { return Elapsed(now, end) < 0 }
