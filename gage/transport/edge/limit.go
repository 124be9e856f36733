package edge

import (
	"net/http"
	"sync/atomic"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/entry"
)

// The limits of the requests in progress at one HTTP server of a node.
const (
	maxInFlight          = 4096
	maxInFlightBodyBytes = 64 << 20
)

// inFlightLimit limits the number of requests in progress and the total size of
// their bodies. This bounds the memory that requests take. It is safe for
// concurrent use.
type inFlightLimit struct {
	requests atomic.Int64
	// bodyBytes is the sum of the requests' Content-Length. A request counts as
	// gage.MaxBodyBytes if it has no Content-Length or a larger one.
	bodyBytes atomic.Int64
}

// acquire counts r as in progress and returns the function that removes r from the
// count. It returns nil, and does not count r, if a limit would be exceeded.
func (l *inFlightLimit) acquire(r *http.Request) (release func()) {
	size := r.ContentLength
	if size < 0 || size > gage.MaxBodyBytes {
		size = gage.MaxBodyBytes
	}
	requests := l.requests.Add(1)
	bodyBytes := l.bodyBytes.Add(size)
	release = func() {
		l.requests.Add(-1)
		l.bodyBytes.Add(-size)
	}
	if requests > maxInFlight || bodyBytes > maxInFlightBodyBytes {
		release()
		return nil
	}
	return release
}

// Refusal returns the handler for requests that the node has no room for. newID returns the
// ID of a request.
func Refusal(newID func() string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		writeAnswer(w, entry.Answer{RequestID: newID(), Result: inFlightLimitReached()})
	})
}

func inFlightLimitReached() gage.Result {
	return gage.Refused(gage.ReasonOverload, "This node has reached its limit of requests in progress; try another node.")
}
