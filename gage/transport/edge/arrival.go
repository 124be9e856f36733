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
	bearerPrefix          = "Bearer "
	maxIdempotencyKey     = 256
	maxTimeout            = time.Hour
	maxHeaderLines        = 256
	tooLargeDetail        = "The request body is larger than %d bytes."
	authorizationOnceOnly = "Send one Authorization header of the form Bearer KEY."
)

// readArrival turns an HTTP request into an arrival. A result with a reason
// refuses it.
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
		return a, gage.Refused(gage.ReasonBadRequest, "The request body was cut.")
	}
	a.Body = body
	a.Header = passing(r.Header, r.Header.Get(header.Authorization) == "")
	if len(a.Header) > maxHeaderLines {
		return a, gage.Refused(gage.ReasonBadRequest, fmt.Sprintf("Send at most %d headers.", maxHeaderLines))
	}
	return a, readControl(r, &a)
}

// readControl reads the headers that speak to the node.
func readControl(r *http.Request, a *entry.Arrival) gage.Result {
	if values := r.Header.Values(header.Authorization); len(values) > 0 {
		key, ok := strings.CutPrefix(values[0], bearerPrefix)
		if !ok || len(values) > 1 || key == "" {
			return gage.Refused(gage.ReasonNoKey, authorizationOnceOnly)
		}
		a.Key = key
	}
	a.IdempotencyKey = r.Header.Get(header.IdempotencyKey)
	if len(a.IdempotencyKey) > maxIdempotencyKey || len(r.Header.Values(header.IdempotencyKey)) > 1 {
		return gage.Refused(gage.ReasonBadRequest, fmt.Sprintf("Send one Idempotency-Key of at most %d bytes.", maxIdempotencyKey))
	}
	timeout, ok := readTimeout(r.Header.Get(header.TimeoutMillis))
	if !ok {
		return gage.Refused(gage.ReasonBadRequest, header.TimeoutMillis+" must be a whole number of milliseconds from 1 to 3600000.")
	}
	a.Timeout = timeout
	return gage.Result{}
}

func readTimeout(text string) (time.Duration, bool) {
	if text == "" {
		return 0, true
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 1 || millis > maxTimeout.Milliseconds() {
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}

// passing returns the headers that are carried on. Of a request without a key,
// none passes whose name could be one.
func passing(from http.Header, keyless bool) []gage.Header {
	named := connectionHeaders(from)
	var lines []gage.Header
	for name, values := range from {
		if !header.IsForwarded(name) || named[name] {
			continue
		}
		if keyless && !header.CannotBeKey(name, keys.MinBytes) {
			continue
		}
		for _, value := range values {
			lines = append(lines, gage.Header{Name: name, Value: value})
		}
	}
	return lines
}

// connectionHeaders returns the names that the Connection header makes
// hop-by-hop.
func connectionHeaders(from http.Header) map[string]bool {
	named := make(map[string]bool)
	for _, value := range from.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
