package cli

import "errors"

// The exit codes of ggw.
const (
	ExitOK = 0
	// ExitFailure is the code for every error that has no code of its own.
	ExitFailure = 1
	// ExitUsage means that the arguments are invalid.
	ExitUsage = 2
	// ExitConflict means that the file was not applied, because the configuration
	// in force is not the one that the file is based on.
	ExitConflict = 3
)

// ErrConflict is wrapped by the error for an apply that was rejected, because the
// configuration in force is not the one that the file is based on.
var ErrConflict = errors.New("conflict")

// UsageError reports an invalid argument that kingpin does not detect.
type UsageError struct {
	Message string
}

// Error implements error; it returns Message unchanged.
func (e *UsageError) Error() string {
	return e.Message
}

// ExitCode returns the exit code for the error that a command returned; err
// may be nil.
func ExitCode(err error) int {
	var usage *UsageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.Is(err, ErrConflict):
		return ExitConflict
	default:
		return ExitFailure
	}
}
