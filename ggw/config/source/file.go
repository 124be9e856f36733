// Package source reads operators' files from disk and from the store.
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

// generationFormat is the line ahead of a file that ggw config show printed.
const generationFormat = "# Generation %d\n"

// stdinName is shown for a file named "-", which kingpin hands over as "".
const stdinName = "standard input"

// File is an accepted operators' file.
type File struct {
	Name string
	// Text is the file without the line that names its generation.
	Text   []byte
	Config gage.Config
	// Base is the generation that the file was shown as, or 0.
	Base int64
}

// Read reads and checks a file. Its problems are printed, one a line, and the
// error then says that nothing was changed.
func Read(streams cli.Streams, name string) (File, error) {
	if name == "" || name == "-" {
		name = stdinName
	}
	text, err := content(streams, name)
	if err != nil {
		return File{}, fmt.Errorf("%w; name a file that can be read", err)
	}
	config, problems := conf.Parse(name, text)
	base, text := Base(text)
	if len(problems) == 0 && len(text) > conf.MaxFileBytes {
		problems = conf.Problems{{File: name, Allowed: fmt.Sprintf(
			"the file has %d bytes; at most %d are allowed", len(text), conf.MaxFileBytes)}}
	}
	if len(problems) > 0 {
		streams.Notef("%s", problems)
		return File{}, fmt.Errorf("%s is refused and nothing was changed; correct what is listed (%d) and run again",
			name, len(problems))
	}
	return File{Name: name, Text: text, Config: config, Base: base}, nil
}

func content(streams cli.Streams, name string) ([]byte, error) {
	if name == stdinName {
		return io.ReadAll(io.LimitReader(streams.In, 2*gage.MaxValueBytes))
	}
	return os.ReadFile(name)
}

// Base splits off the line that names the generation that a file was shown
// as. Without such a line the generation is 0.
func Base(text []byte) (int64, []byte) {
	line, rest, found := strings.Cut(string(text), "\n")
	var base int64
	if _, err := fmt.Sscanf(line+"\n", generationFormat, &base); err != nil || !found {
		return 0, text
	}
	return base, []byte(rest)
}

// Mark puts the line that names its generation ahead of a file.
func Mark(generation int64, text []byte) []byte {
	return append(fmt.Appendf(nil, generationFormat, generation), text...)
}

// InForce reads the file in force. Its Base is its own generation, and 0 when
// no file has been applied yet.
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
