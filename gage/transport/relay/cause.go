package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
)

// errorCause describes err for the caller of the request. It leaves out network
// addresses.
func errorCause(err error) string {
	var timeout net.Error
	switch {
	case errors.Is(err, errDecisionsExpired):
		return "the decisions made for the request had expired"
	case errors.Is(err, context.Canceled):
		return "the request was canceled"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "connection refused"
	case errors.Is(err, syscall.ECONNRESET):
		return "connection reset"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection closed"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "timeout"
	}
	return "transport error"
}
