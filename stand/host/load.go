// Package host tells how busy the machine is, since figures from a busy one
// mean less.
package host

import (
	"fmt"
	"os"
	"runtime"
	"strings"
)

// LoadSummary describes the load of the machine in words.
func LoadSummary() string {
	text, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) == 0 {
		return fmt.Sprintf("%d cores, load unknown", runtime.NumCPU())
	}
	return fmt.Sprintf("%d cores, load average %s", runtime.NumCPU(), fields[0])
}
