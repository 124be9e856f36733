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

// generationLineFormat is the format of the comment line that ggw config show prints
// before the file. The line names the generation of the file.
const generationLineFormat = "# Generation %d\n"

// stdinName is the name of standard input in messages. A FILE argument of "-"
// selects standard input. Since kingpin turns "-" into "", Read accepts both.
const stdinName = "standard input"

// File is a valid configuration file.
type File struct {
	// Name is the path or a description of the file, for use in messages.
	Name string
	// Text is the file without the line that names its generation.
	Text   []byte
	Config gage.Config
	// BaseGeneration is the generation that changes to the file are based on. For a
	// file returned by Read, it is named in the first line of the file. For one
	// returned by InForce, it is the generation in force. It is 0 if there is none.
	BaseGeneration int64
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
	baseGeneration, text := SplitGeneration(text)
	if len(problems) == 0 && len(text) > conf.MaxFileBytes {
		problems = conf.Problems{{File: name, Allowed: fmt.Sprintf(
			"the file has %d bytes; at most %d are allowed", len(text), conf.MaxFileBytes)}}
	}
	if len(problems) > 0 {
		streams.PrintErrf("%s", problems)
		return File{}, fmt.Errorf("%s is invalid and nothing was changed; correct the listed problems (%d) and run again",
			name, len(problems))
	}
	return File{Name: name, Text: text, Config: config, BaseGeneration: baseGeneration}, nil
}

func readContent(streams cli.Streams, name string) ([]byte, error) {
	if name == stdinName {
		return io.ReadAll(io.LimitReader(streams.In, 2*gage.MaxValueBytes))
	}
	return os.ReadFile(name)
}

// SplitGeneration returns the generation named in the line that PrependGeneration
// added, and the text after this line. If text does not begin with such a line,
// SplitGeneration returns 0 and text.
func SplitGeneration(text []byte) (int64, []byte) {
	line, rest, hasNewline := strings.Cut(string(text), "\n")
	var generation int64
	if _, err := fmt.Sscanf(line+"\n", generationLineFormat, &generation); err != nil || !hasNewline {
		return 0, text
	}
	return generation, []byte(rest)
}

// PrependGeneration returns text preceded by a comment line that names generation.
func PrependGeneration(generation int64, text []byte) []byte {
	return append(fmt.Appendf(nil, generationLineFormat, generation), text...)
}

// InForce reads the configuration file in force from the store. The returned File
// has the BaseGeneration 0 if no file has been applied yet.
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
	return File{Name: name, Text: text, Config: config, BaseGeneration: entry.Revision}, nil
}
