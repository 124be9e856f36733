// Package command holds what the subcommands of stand share: the streams they
// write to, the shape of a subcommand and the exit codes.
package command

import (
	"context"
	"errors"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// The exit codes of stand.
const (
	ExitOK = 0
	// ExitFailed means that the subcommand ran and failed, or that a check
	// found a violation.
	ExitFailed = 1
	// ExitUsage means that the command line or a file named in it is wrong.
	ExitUsage = 2
)

// Streams are the input and output of a subcommand.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Run does the work of a parsed subcommand. It returns when the work is done
// or ctx has ended; ctx ends at the first SIGTERM or SIGINT.
type Run func(ctx context.Context) error

// Constructor declares a subcommand with its flags on app and returns its name and
// what runs it.
type Constructor func(app *kingpin.Application, streams Streams) (name string, run Run)

// UsageError is an error in the command line or in a file named in it.
type UsageError struct {
	Err error
}

// Error returns the message of the wrapped error.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *UsageError) Unwrap() error { return e.Err }

// ExitCode maps what a Run returned to the exit code of the process.
func ExitCode(err error) int {
	var usage *UsageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	default:
		return ExitFailed
	}
}
