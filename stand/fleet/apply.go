package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"strconv"
)

// ApplyResult is the JSON output of ggw config apply --json.
type ApplyResult struct {
	// Outcome is Applied, Superseded, Conflict or Unknown.
	Outcome string
	// Generation is the generation that the file was given, or 0 when the file
	// was not applied.
	Generation int64
	// Current is the latest generation that the command found in the store, or
	// 0 when it found none.
	Current int64
}

// Apply applies a configuration file with ggw config apply. The base generation
// is Generation, which on success becomes the generation of this file. flags are
// extra flags of the command. It returns an error unless the outcome is Applied.
func (f *Fleet) Apply(ctx context.Context, file string, flags ...string) error {
	result, err := f.ApplyWithBase(ctx, file, f.generation, flags...)
	if err != nil {
		return err
	}
	if result.Outcome != "Applied" {
		return fmt.Errorf("ggw config apply %s with base generation %d: outcome is %s, not Applied", file, f.generation, result.Outcome)
	}
	f.generation = result.Generation
	return nil
}

// ApplyWithBase applies a configuration file with the given base generation. It
// doesn't change Generation, so that a trial can run two competing updates from
// the same base. An outcome other than Applied is returned in the result, not as
// an error.
func (f *Fleet) ApplyWithBase(ctx context.Context, file string, base int64, flags ...string) (ApplyResult, error) {
	args := []string{"config", "apply", "--store", f.StoreURL, "--json", "--base", strconv.FormatInt(base, 10)}
	args = append(append(args, flags...), file)
	command := exec.CommandContext(ctx, filepath.Join(f.opts.Bin, "ggw"), args...)
	var stderr bytes.Buffer
	command.Stderr = &stderr
	output, err := command.Output()
	var exit *exec.ExitError
	if err != nil && (!errors.As(err, &exit) || len(output) == 0) {
		return ApplyResult{}, fmt.Errorf("ggw config apply %s: %w: %s%s", file, err, output, stderr.Bytes())
	}
	var result ApplyResult
	if err := json.Unmarshal(output, &result); err != nil {
		return ApplyResult{}, fmt.Errorf("ggw config apply %s: %w in %s%s", file, err, output, stderr.Bytes())
	}
	return result, nil
}

// Generation returns the base generation of the next Apply: that of the last file
// applied with Apply, or the value set by SetGeneration.
func (f *Fleet) Generation() int64 { return f.generation }

// SetGeneration sets the base generation of the next Apply. Call it after
// ApplyWithBase has applied a file.
func (f *Fleet) SetGeneration(generation int64) { f.generation = generation }
