package load

import (
	"bufio"
	"fmt"
	"os"
	"strings"
)

// ReadKeys reads a file of API keys and returns them by workspace. Each line holds
// a workspace and its key, separated by a space. ReadKeys skips empty lines and
// lines that start with #. If path is "", it returns an empty map.
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
		workspace, key, hasKey := strings.Cut(line, " ")
		if !hasKey {
			return nil, fmt.Errorf("read keys %s: a line does not have the form WORKSPACE KEY", path)
		}
		keys[workspace] = strings.TrimSpace(key)
	}
	return keys, scanner.Err()
}
