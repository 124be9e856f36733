package load

import (
	"bufio"
	"fmt"
	"os"
	"strings"
)

// ReadKeys reads a file with a workspace and its API key, separated by a space,
// on each line and returns the keys by workspace. It skips empty lines and lines
// that start with #. For an empty path it returns an empty map.
func ReadKeys(path string) (map[string]string, error) {
	keys := make(map[string]string)
	if path == "" {
		return keys, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read keys: %w", err)
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		workspace, key, found := strings.Cut(line, " ")
		if !found {
			return nil, fmt.Errorf("read keys %s: a line does not have the form WORKSPACE KEY", path)
		}
		keys[workspace] = strings.TrimSpace(key)
	}
	return keys, scanner.Err()
}
