// Package newkey implements the command ggw key new.
package newkey

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"

	"github.com/greengagewind/greengagewind/gage/state/keys"
	"github.com/greengagewind/greengagewind/ggw/cli"
)

const help = `The key is printed once and not stored. Give it to the callers of the workspace,
who send it as "Authorization: Bearer KEY". Add the digest to KeyDigests of the
workspace in the configuration file and apply the file. To revoke the key, apply
a file without its digest.

EXAMPLES
  $ ggw key new
  $ ggw key new --json
`

const (
	// keyPrefix lets secret scanners and text searches find leaked keys.
	keyPrefix = "gage_"
	// keyBytes is the number of random bytes in a key.
	keyBytes = 32
)

// Options holds the parsed flags and arguments of the command and its
// dependencies.
type Options struct {
	Streams cli.Streams
	Random  io.Reader
	JSON    bool
}

// Key is the JSON output of the command.
type Key struct {
	Key    string
	Digest string
}

// New declares the command under parent. The command calls run, or Run if run is
// nil; a test can pass a function that inspects the parsed options.
func New(parent cli.Parent, env cli.Env, run func(Options) error) cli.Command {
	o := Options{Streams: env.Streams, Random: env.Random}
	clause := parent.Command("new", "generate an API key for a workspace").HelpLong(help)
	asJSON := cli.JSONFlag(clause)
	if run == nil {
		run = Run
	}
	return cli.Command{Name: clause.FullCommand(), Run: func(context.Context) error {
		o.JSON = *asJSON
		return run(o)
	}}
}

// Run generates a key and prints it with its digest.
func Run(o Options) error {
	var secret [keyBytes]byte
	if _, err := io.ReadFull(o.Random, secret[:]); err != nil {
		return fmt.Errorf("generate a key: %w", err)
	}
	key := keyPrefix + base64.RawURLEncoding.EncodeToString(secret[:])
	if o.JSON {
		return o.Streams.WriteJSON(Key{Key: key, Digest: keys.Digest(key)})
	}
	table := cli.Table{Header: []string{"NAME", "VALUE"}}
	table.AddRow("Key", key)
	table.AddRow("Digest", keys.Digest(key))
	table.Print(o.Streams)
	o.Streams.PrintErrf("The key cannot be shown again. Add the digest to KeyDigests of the workspace.")
	return nil
}
