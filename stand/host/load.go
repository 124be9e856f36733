// Package host describes the load of the machine that a trial runs on, since
// measurements on a loaded machine are less reliable.
package host

import (
	"fmt"
	"os"
	"runtime"
	"strings"
)

// LoadSummary returns the number of cores and the one-minute load average as
// text, such as "8 cores, load average 1.25". The load is "unknown" when
// /proc/loadavg cannot be read.
func LoadSummary() string {
	text, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) == 0 {
		return fmt.Sprintf("%d cores, load unknown", runtime.NumCPU())
	}
	return fmt.Sprintf("%d cores, load average %s", runtime.NumCPU(), fields[0])
}
