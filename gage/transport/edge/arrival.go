package edge

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/entry"
	"github.com/greengagewind/greengagewind/gage/protocol/header"
	"github.com/greengagewind/greengagewind/gage/state/keys"
)

const (
	bearerPrefix           = "Bearer "
	maxIdempotencyKeyBytes = 256
	maxTimeout             = time.Hour
	maxHeaderLines         = 256
	tooLargeDetail         = "The request body is larger than %d bytes."
	authorizationDetail    = "Send one Authorization header of the form Bearer KEY."
)

// readArrival converts an HTTP request to an arrival. If the second result has a
// reason, the request is refused for that reason.
func readArrival(r *http.Request) (entry.Arrival, gage.Result) {
	a := entry.Arrival{
		Method:      r.Method,
		Path:        r.URL.RequestURI(),
		MatchPath:   r.URL.EscapedPath(),
		TraceParent: r.Header.Get(header.TraceParent),
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, gage.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return a, gage.Refused(gage.ReasonTooLarge, fmt.Sprintf(tooLargeDetail, gage.MaxBodyBytes))
	}
	if err != nil {
		return a, gage.Refused(gage.ReasonBadRequest, "The request body could not be read completely.")
	}
	a.Body = body
	a.Header = forwardableHeaders(r.Header, r.Header.Get(header.Authorization) == "")
	if len(a.Header) > maxHeaderLines {
		return a, gage.Refused(gage.ReasonBadRequest, fmt.Sprintf("Send at most %d headers.", maxHeaderLines))
	}
	return a, readControlHeaders(r, &a)
}

// readControlHeaders reads the headers that are addressed to the node into a. If
// the result has a reason, the request is refused for that reason.
func readControlHeaders(r *http.Request, a *entry.Arrival) gage.Result {
	if values := r.Header.Values(header.Authorization); len(values) > 0 {
		key, ok := strings.CutPrefix(values[0], bearerPrefix)
		if !ok || len(values) > 1 || key == "" {
			return gage.Refused(gage.ReasonNoKey, authorizationDetail)
		}
		a.Key = key
	}
	a.IdempotencyKey = r.Header.Get(header.IdempotencyKey)
	if len(a.IdempotencyKey) > maxIdempotencyKeyBytes || len(r.Header.Values(header.IdempotencyKey)) > 1 {
		return gage.Refused(gage.ReasonBadRequest, fmt.Sprintf("Send one Idempotency-Key of at most %d bytes.", maxIdempotencyKeyBytes))
	}
	timeout, ok := readTimeout(r.Header.Get(header.TimeoutMillis))
	if !ok {
		return gage.Refused(gage.ReasonBadRequest, header.TimeoutMillis+" must be a whole number of milliseconds from 1 to 3600000.")
	}
	a.Timeout = timeout
	return gage.Result{}
}

func readTimeout(value string) (time.Duration, bool) {
	if value == "" {
		return 0, true
	}
	millis, err := strconv.ParseInt(value, 10, 64)
	if err != nil || millis < 1 || millis > maxTimeout.Milliseconds() {
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}

// forwardableHeaders returns the headers to be forwarded to the target. withoutKey is
// true if the request has no Authorization header. It then leaves out headers whose
// name could itself be an API key, so that no key reaches a target.
func forwardableHeaders(from http.Header, withoutKey bool) []gage.Header {
	hopByHop := connectionHeaders(from)
	var lines []gage.Header
	for name, values := range from {
		if !header.IsForwarded(name) || hopByHop[name] {
			continue
		}
		if withoutKey && !header.CannotBeKey(name, keys.MinBytes) {
			continue
		}
		for _, value := range values {
			lines = append(lines, gage.Header{Name: name, Value: value})
		}
	}
	return lines
}

// connectionHeaders returns the canonical names of the headers that the
// Connection header lists as hop-by-hop.
func connectionHeaders(from http.Header) map[string]bool {
	names := make(map[string]bool)
	for _, value := range from.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}
