package record

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
)

// ReadRuns reads every run log (*.jsonl) in a directory, in the order of the
// file names. It ignores a last line without a newline, since a killed process
// may have written only part of it.
func ReadRuns(dir string) ([]Run, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	if err != nil {
		return nil, fmt.Errorf("list run logs: %w", err)
	}
	sort.Strings(paths)
	var runs []Run
	for _, path := range paths {
		err := readLines(path, func(line []byte) error {
			var run Run
			if err := json.Unmarshal(line, &run); err != nil {
				return err
			}
			runs = append(runs, run)
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return runs, nil
}

// ReadSent reads a log that the simulated callers wrote. It ignores a last line
// without a newline, since a killed process may have written only part of it.
func ReadSent(path string) ([]Sent, error) {
	var sent []Sent
	err := readLines(path, func(line []byte) error {
		var attempt Sent
		if err := json.Unmarshal(line, &attempt); err != nil {
			return err
		}
		sent = append(sent, attempt)
		return nil
	})
	return sent, err
}

// readLines calls decode for each line that ends with a newline, and stops at the
// first error.
func readLines(path string, decode func(line []byte) error) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = file.Close() }()
	reader := bufio.NewReader(file)
	for lineNumber := 1; ; lineNumber++ {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read %s: %w", path, err)
		}
		if err := decode(bytes.TrimSpace(line)); err != nil {
			return fmt.Errorf("%s line %d: %w", path, lineNumber, err)
		}
	}
}
