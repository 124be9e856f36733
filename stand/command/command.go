// Package command defines what the subcommands of stand have in common: the
// streams they use, the types of their functions and the exit codes.
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
	// ExitUsage means that the command line or a file named in it is invalid.
	ExitUsage = 2
)

// Streams are the input and output of a subcommand.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Run executes a subcommand after its flags were parsed. It returns when it has
// finished or ctx is canceled, which happens at the first SIGTERM or SIGINT.
type Run func(ctx context.Context) error

// Constructor declares a subcommand with its flags on app and returns its name
// and the function that runs it.
type Constructor func(app *kingpin.Application, streams Streams) (name string, run Run)

// UsageError is an error in the command line or in a file named in it.
type UsageError struct {
	Err error
}

// Error returns the message of the wrapped error.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *UsageError) Unwrap() error { return e.Err }

// ExitCode returns the exit code of the process for the error of a Run.
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
