// Package clock provides the system clock.
package clock

import "time"

// System is a gage.Clock that reads the system clock.
type System struct{}

// Now returns the current time with a monotonic clock reading.
func (System) Now() time.Time {
	return time.Now()
}
