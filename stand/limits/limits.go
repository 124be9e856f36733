// Package limits reads the rate and burst of each workspace from a configuration
// file and ignores the other settings. Its token bucket replays requests to
// decide which of them were within the limit.
package limits

import (
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Limit is the rate and burst of one workspace.
type Limit struct {
	Name string
	// Rate is in requests per second.
	Rate float64
	// Burst is the capacity of the token bucket in requests.
	Burst float64
}

// file is the part of a configuration file that this package reads.
type file struct {
	Workspace []Limit
}

// Read returns the limits in a configuration file by workspace.
func Read(path string) (map[string]Limit, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	var decoded file
	if err := toml.Unmarshal(text, &decoded); err != nil {
		return nil, fmt.Errorf("read configuration %s: %w", path, err)
	}
	limits := make(map[string]Limit, len(decoded.Workspace))
	for _, limit := range decoded.Workspace {
		limits[limit.Name] = limit
	}
	return limits, nil
}

// Highest returns, for each workspace, the highest rate and the highest burst of
// several generations of the configuration. The result is at least as permissive
// as each generation.
func Highest(generations ...map[string]Limit) map[string]Limit {
	merged := make(map[string]Limit)
	for _, generation := range generations {
		for name, limit := range generation {
			known := merged[name]
			known.Name = name
			known.Rate = max(known.Rate, limit.Rate)
			known.Burst = max(known.Burst, limit.Burst)
			merged[name] = known
		}
	}
	return merged
}
