// Package edge implements the HTTP handlers for callers and for the targets on
// the node's VM.
package edge

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/entry"
	"github.com/greengagewind/greengagewind/gage/protocol/header"
	"github.com/greengagewind/greengagewind/gage/protocol/probl"
)

// writeAnswer writes the target's answer, or a problem body (RFC 9457) if a has a
// reason.
func writeAnswer(w http.ResponseWriter, a entry.Answer) {
	w.Header().Set(header.RequestID, a.RequestID)
	w.Header().Set(header.Outcome, string(a.Outcome))
	if a.Reason != gage.ReasonNone {
		writeProblem(w, a)
		return
	}
	for _, line := range a.Header {
		w.Header().Add(line.Name, line.Value)
	}
	if allowsBody(a.Status) {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	// A write fails only if the connection to the caller is broken, so there is
	// nobody to report the error to.
	_, _ = w.Write(a.Body)
}

// allowsBody reports whether HTTP allows a body in a response with the status.
func allowsBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

func writeProblem(w http.ResponseWriter, a entry.Answer) {
	body := probl.New(a.RequestID, a.Result)
	if a.RetryAfter > 0 {
		seconds := math.Ceil(a.RetryAfter.Seconds())
		w.Header().Set(header.RetryAfter, strconv.FormatFloat(seconds, 'f', 0, 64))
	}
	if body.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.Header().Set("Content-Type", probl.ContentType)
	w.WriteHeader(body.Status)
	_ = json.NewEncoder(w).Encode(body)
}
