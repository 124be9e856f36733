package load

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/header"
	"github.com/greengagewind/greengagewind/stand/record"
)

// The reasons that a caller logs when the request got no complete answer.
const (
	// reasonNoConnection means that no connection could be opened.
	reasonNoConnection = "NoConnection"
	// reasonTransport means that the request failed before the header of an
	// answer arrived.
	reasonTransport = "Transport"
	// reasonBrokenBody means that reading the body of the answer failed.
	reasonBrokenBody = "BrokenBody"
	// reasonInFlight means that the request was not sent because the maximum
	// number of requests was in flight.
	reasonInFlight = "InFlight"
)

// body holds the fields that callers read from the body of an answer. The body
// was written by a target, or is a problem document written by a node.
type body struct {
	ID            string `json:"Id"`
	ServiceMicros int64
	Reason        string
}

// recordAnswer fills in attempt from an answer whose body was read completely.
func recordAnswer(attempt *record.Sent, resp *http.Response, text []byte) {
	attempt.Status = resp.StatusCode
	attempt.Outcome = resp.Header.Get(header.Outcome)
	attempt.RequestID = resp.Header.Get(header.RequestID)
	if attempt.Direct {
		attempt.Outcome = string(gage.OutcomeRan)
	}
	var decoded body
	err := json.Unmarshal(text, &decoded)
	attempt.Reason = decoded.Reason
	if resp.StatusCode/100 != 2 {
		return
	}
	attempt.ServiceMicros = decoded.ServiceMicros
	switch {
	case err != nil:
		attempt.Violation = record.ViolationTruncated
	case decoded.ID != attempt.ID:
		attempt.Violation = record.ViolationCrossed
	default:
		attempt.Whole = true
	}
}

// recordFailure fills in attempt when no complete answer arrived. The outcome is
// usually Unknown. It is NotRun if a connection could not be opened and the request
// had not been written to an earlier connection, because no node can then have
// received it.
func recordFailure(attempt *record.Sent, err error, reason string, written bool) {
	attempt.Error = err.Error()
	attempt.Outcome = string(gage.OutcomeUnknown)
	attempt.Reason = reason
	if isDialError(err) && !written {
		attempt.Outcome = string(gage.OutcomeNotRun)
		attempt.Reason = reasonNoConnection
	}
}

func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
