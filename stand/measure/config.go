package measure

import (
	"fmt"
	"math"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
)

// coldStart replaces the cold start time of every service.
const coldStart = "5s"

// ConfigWriter writes the configuration files that a measurement applies one
// after another. They equal the example file except for the slots and cold start
// of services and the zones in service.
type ConfigWriter struct {
	document map[string]any
	dir      string
	// fileCount is the number of files written so far.
	fileCount int
}

// NewConfigWriter reads the example file and creates the directory dir for the
// files to write. The slots (MaxConcurrency) of each service are divided by
// divisor, rounded, and at least 1.
func NewConfigWriter(example, dir string, divisor float64) (*ConfigWriter, error) {
	text, err := os.ReadFile(example)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	c := &ConfigWriter{dir: dir}
	if err := toml.Unmarshal(text, &c.document); err != nil {
		return nil, fmt.Errorf("read configuration %s: %w", example, err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("make directory: %w", err)
	}
	for _, service := range c.tables("Service") {
		if slots, ok := service["MaxConcurrency"].(int64); ok {
			service["MaxConcurrency"] = max(1, int64(math.Round(float64(slots)/divisor)))
		}
		service["ColdStart"] = coldStart
	}
	return c, nil
}

// Write writes the next configuration file and returns its path. The zone zoneOut
// is out of service and all others are in service; with "" all are in service.
func (c *ConfigWriter) Write(zoneOut string) (string, error) {
	for _, zone := range c.tables("Zone") {
		zone["InService"] = zone["Name"] != zoneOut
	}
	text, err := toml.Marshal(c.document)
	if err != nil {
		return "", fmt.Errorf("write configuration: %w", err)
	}
	c.fileCount++
	file := filepath.Join(c.dir, fmt.Sprintf("config-%d.toml", c.fileCount))
	if err := os.WriteFile(file, text, 0o644); err != nil {
		return "", fmt.Errorf("write configuration: %w", err)
	}
	return file, nil
}

// tables returns the elements of the array of tables called name.
func (c *ConfigWriter) tables(name string) []map[string]any {
	list, _ := c.document[name].([]any)
	var tables []map[string]any
	for _, item := range list {
		if t, ok := item.(map[string]any); ok {
			tables = append(tables, t)
		}
	}
	return tables
}
