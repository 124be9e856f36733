package proof

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
)

// Config is a configuration file that a scenario changes between generations.
type Config struct {
	document map[string]any
	dir      string
	// fileCount is the number of files written so far.
	fileCount int
}

func readConfig(example, dir string) (*Config, error) {
	text, err := os.ReadFile(example)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	c := &Config{dir: dir}
	if err := toml.Unmarshal(text, &c.document); err != nil {
		return nil, fmt.Errorf("read configuration %s: %w", example, err)
	}
	return c, nil
}

// Set sets a key of the named entry in a table, such as Rate of the entry
// archivo in the table Workspace. It does nothing if there is no such entry.
func (c *Config) Set(table, name, key string, value any) {
	list, _ := c.document[table].([]any)
	for _, item := range list {
		if entry, ok := item.(map[string]any); ok && entry["Name"] == name {
			entry[key] = value
		}
	}
}

// Add adds an entry to a table.
func (c *Config) Add(table string, entry map[string]any) {
	list, _ := c.document[table].([]any)
	c.document[table] = append(list, entry)
}

// Write writes the configuration to a new file and returns the path of the
// file.
func (c *Config) Write() (string, error) {
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
