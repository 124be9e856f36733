package edge

import (
	"context"
	"net/http"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/entry"
	"github.com/greengagewind/greengagewind/gage/transport/trace"
)

// Entry runs requests of callers and nested calls of targets.
type Entry interface {
	Serve(ctx context.Context, a entry.Arrival) entry.Answer
	// ServeNested runs a nested call. token is the value of the Gage-Context
	// header, which identifies the call that it is nested in.
	ServeNested(ctx context.Context, token string, a entry.Arrival) entry.Answer
}

// Callers returns the handler for callers' requests. newID returns the request ID
// for a request that is refused before it reaches e.
func Callers(e Entry, newID func() string) http.Handler {
	inFlight := &inFlightLimit{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		release := inFlight.acquire(r)
		if release == nil {
			writeAnswer(w, entry.Answer{RequestID: newID(), Result: inFlightLimitReached()})
			return
		}
		defer release()
		arrival, refusal := readArrival(r)
		if refusal.Reason != gage.ReasonNone {
			writeAnswer(w, entry.Answer{RequestID: newID(), Result: refusal})
			return
		}
		ctx, span := trace.Hop(r.Context(), "Entry", arrival.TraceParent)
		answer := e.Serve(ctx, arrival)
		span.End(answer.RequestID, answer.Result)
		writeAnswer(w, answer)
	})
}
