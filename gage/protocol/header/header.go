// Package header names the HTTP headers that nodes, callers and targets
// exchange, and decides which headers a node forwards.
package header

import (
	"net/http"
	"strings"
)

// Headers of callers' requests and, for RetryAfter, of the answers to them.
const (
	Authorization  = "Authorization"
	IdempotencyKey = "Idempotency-Key"
	// TimeoutMillis is how long the caller waits for the answer, in milliseconds.
	TimeoutMillis = "Gage-Timeout-Ms"
	TraceParent   = "Traceparent"
	RetryAfter    = "Retry-After"
)

// Headers that nodes set on answers and on requests to targets, or read from
// targets. A node does not forward them, so a value that a caller sets does not
// reach a target.
const (
	internalPrefix = "Gage-"
	// Context is an opaque token that a node sends to a target with a request.
	// The target sends it back with the nested calls of that request.
	Context = "Gage-Context"
	// RequestID identifies the request, in answers and in requests to targets.
	RequestID = "Gage-Request-Id"
	// Outcome is set in every answer: NotRun, Unknown or Ran.
	Outcome = "Gage-Outcome"
	// Workspace tells a target which workspace sent the request.
	Workspace = "Gage-Workspace"
	// Importance tells a target how important the request is.
	Importance = "Gage-Importance"
	// DeadlineMillis tells a target how many milliseconds are left until the
	// deadline of the request.
	DeadlineMillis = "Gage-Deadline-Ms"
	// Attempt counts the attempts of one request from 1.
	Attempt = "Gage-Attempt"
	// NotRun is set to "true" by a target that refused without running.
	NotRun = "Gage-Not-Run"
)

var hopByHop = map[string]bool{
	"Connection":          true,
	"Proxy-Connection":    true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Expect":              true,
}

// IsForwarded reports whether a node forwards a header that a caller or a target
// has set. It does not forward credentials, cookies, trace context, hop-by-hop
// headers and headers with the prefix Gage-. It does not forward idempotency keys
// either: after a connection failure, net/http would resend a request that has one.
func IsForwarded(name string) bool {
	name = http.CanonicalHeaderKey(name)
	switch name {
	case Authorization, IdempotencyKey, "X-Idempotency-Key", TraceParent, "Tracestate", "Cookie", "Set-Cookie":
		return false
	}
	if strings.HasPrefix(name, internalPrefix) {
		return false
	}
	return !hopByHop[name]
}

// wellKnownNames are header names of 16 bytes or more that are in common use and
// therefore not keys.
var wellKnownNames = map[string]bool{
	"Access-Control-Request-Headers": true,
	"Access-Control-Request-Method":  true,
	"Content-Disposition":            true,
	"Content-Encoding":               true,
	"Content-Language":               true,
	"Content-Location":               true,
	"If-Modified-Since":              true,
	"If-Unmodified-Since":            true,
	"Sec-Ch-Ua-Mobile":               true,
	"Sec-Ch-Ua-Platform":             true,
	"Upgrade-Insecure-Requests":      true,
	"X-Forwarded-Proto":              true,
	"X-Requested-With":               true,
}

// CannotBeKey reports whether a header name is certainly not a workspace key that a
// caller sent as a header name by mistake: it is shorter than minKeyBytes or well
// known. Comparing the name with the known keys would not detect a key, since
// net/http changes the case of names.
func CannotBeKey(name string, minKeyBytes int) bool {
	return len(name) < minKeyBytes || wellKnownNames[http.CanonicalHeaderKey(name)]
}
