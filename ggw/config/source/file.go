// Package source reads configuration files from disk, standard input and the
// store.
package source

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/apply"
	"github.com/greengagewind/greengagewind/gage/protocol/conf"
	"github.com/greengagewind/greengagewind/ggw/cli"
)

// generationLineFormat is the format of the first line that ggw config show
// prints.
const generationLineFormat = "# Generation %d\n"

// stdinName is the displayed name of standard input. A FILE argument of "-"
// selects it; kingpin passes that argument as "".
const stdinName = "standard input"

// File is a valid configuration file.
type File struct {
	// Name is the path or a description, for messages.
	Name string
	// Text is the file without the line that names its generation.
	Text   []byte
	Config gage.Config
	// Base is the generation named in the first line of the file, or the
	// generation of the file in the store; 0 if there is neither.
	Base int64
}

// Read reads and checks the file with the given path; "" and "-" mean standard
// input. The problems of an invalid file are printed to streams.Err, one per
// line, and Read returns an error.
func Read(streams cli.Streams, name string) (File, error) {
	if name == "" || name == "-" {
		name = stdinName
	}
	text, err := readContent(streams, name)
	if err != nil {
		return File{}, fmt.Errorf("%w; specify a readable file", err)
	}
	config, problems := conf.Parse(name, text)
	base, text := SplitGeneration(text)
	if len(problems) == 0 && len(text) > conf.MaxFileBytes {
		problems = conf.Problems{{File: name, Allowed: fmt.Sprintf(
			"the file has %d bytes; at most %d are allowed", len(text), conf.MaxFileBytes)}}
	}
	if len(problems) > 0 {
		streams.PrintErrf("%s", problems)
		return File{}, fmt.Errorf("%s is invalid and nothing was changed; correct the listed problems (%d) and run again",
			name, len(problems))
	}
	return File{Name: name, Text: text, Config: config, Base: base}, nil
}

func readContent(streams cli.Streams, name string) ([]byte, error) {
	if name == stdinName {
		return io.ReadAll(io.LimitReader(streams.In, 2*gage.MaxValueBytes))
	}
	return os.ReadFile(name)
}

// SplitGeneration removes the first line that PrependGeneration added and
// returns the generation in it and the rest of the file. Without such a line it
// returns 0 and text.
func SplitGeneration(text []byte) (int64, []byte) {
	line, rest, found := strings.Cut(string(text), "\n")
	var base int64
	if _, err := fmt.Sscanf(line+"\n", generationLineFormat, &base); err != nil || !found {
		return 0, text
	}
	return base, []byte(rest)
}

// PrependGeneration returns text after a comment line with its generation.
func PrependGeneration(generation int64, text []byte) []byte {
	return append(fmt.Appendf(nil, generationLineFormat, generation), text...)
}

// InForce reads the configuration file in force from the store. Its Base is the
// generation in force, or 0 if no file has been applied yet.
func InForce(ctx context.Context, store gage.Store) (File, error) {
	entry, err := store.Get(ctx, gage.StoreConfigKey)
	if err != nil {
		return File{}, fmt.Errorf("read the file in force: %w; check --store and try again", err)
	}
	const name = "the file in force"
	if entry.Revision == 0 {
		return File{Name: name}, nil
	}
	_, text := apply.SplitStamps(entry.Value)
	config, problems := conf.Parse(name, text)
	if len(problems) > 0 {
		return File{}, fmt.Errorf("the file in force, generation %d, cannot be read by this ggw: %s; use a newer ggw",
			entry.Revision, problems[0])
	}
	config.Generation = entry.Revision
	return File{Name: name, Text: text, Config: config, Base: entry.Revision}, nil
}
