// Package limits reads the rate and burst of each workspace from a configuration
// file and ignores the other settings. Its token bucket decides from the times of
// recorded requests which of them were within the limit.
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

// Read returns the limits in a configuration file, keyed by the workspace name.
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

// Highest returns, for each workspace, the highest rate and the highest burst that
// any of the given generations of the configuration sets. So no request that is
// within the limit of one generation exceeds the result.
func Highest(generations ...map[string]Limit) map[string]Limit {
	merged := make(map[string]Limit)
	for _, generation := range generations {
		for name, limit := range generation {
			highest := merged[name]
			highest.Name = name
			highest.Rate = max(highest.Rate, limit.Rate)
			highest.Burst = max(highest.Burst, limit.Burst)
			merged[name] = highest
		}
	}
	return merged
}
