package edge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/entry"
	"github.com/greengagewind/greengagewind/gage/protocol/header"
	"github.com/greengagewind/greengagewind/gage/transport/trace"
)

const (
	targetsPrefix        = "/v1/targets/"
	drainSuffix          = "/drain"
	maxAnnouncementBytes = 4 << 10
)

// AnnouncementBody is the JSON body of PUT /v1/targets/{Name}, by which a target
// registers with the node.
type AnnouncementBody struct {
	Service string
	// Address is the IP:port at which the target accepts requests.
	Address      string
	Incarnation  uint64
	CapacityHint int
	// TTLMillis is how long the announcement is valid, in milliseconds.
	TTLMillis int64
}

// Targets returns the handler for the targets on the node's VM. It serves their
// announcements and their nested calls. newID returns the request ID for an
// announcement and for a request that is refused before it reaches e.
func Targets(e Entry, announcer gage.Announcer, clock gage.Clock, newID func() string) http.Handler {
	api := &targetAPI{announcer: announcer, clock: clock}
	inFlight := &inFlightLimit{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token := r.Header.Get(header.Context)
		if token == "" && strings.HasPrefix(r.URL.Path, targetsPrefix) {
			writeAnswer(w, entry.Answer{RequestID: newID(), Result: api.handle(r)})
			return
		}
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
		ctx, span := trace.Hop(r.Context(), "Nested", arrival.TraceParent)
		answer := e.ServeNested(ctx, token, arrival)
		span.End(answer.RequestID, answer.Result)
		writeAnswer(w, answer)
	})
}

type targetAPI struct {
	announcer gage.Announcer
	clock     gage.Clock
}

func (t *targetAPI) handle(r *http.Request) gage.Result {
	name := strings.TrimPrefix(r.URL.Path, targetsPrefix)
	now := t.clock.Now()
	switch {
	case r.Method == http.MethodPost && strings.HasSuffix(name, drainSuffix):
		return t.announcer.Drain(now, strings.TrimSuffix(name, drainSuffix))
	case r.Method == http.MethodDelete:
		return t.announcer.Leave(now, name)
	case r.Method == http.MethodPut:
		return t.announce(now, name, r)
	}
	return gage.Refused(gage.ReasonNoRoute, "Use PUT or DELETE "+targetsPrefix+"{Name}, or POST "+targetsPrefix+"{Name}"+drainSuffix+".")
}

func (t *targetAPI) announce(now time.Time, name string, r *http.Request) gage.Result {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	var body AnnouncementBody
	if err := decoder.Decode(&body); err != nil {
		return gage.Refused(gage.ReasonBadRequest, fmt.Sprintf("The announcement is invalid: %v.", err))
	}
	return t.announcer.Announce(now, gage.Announcement{
		Name:         name,
		Service:      body.Service,
		Address:      body.Address,
		Incarnation:  body.Incarnation,
		CapacityHint: body.CapacityHint,
		TTL:          time.Duration(body.TTLMillis) * time.Millisecond,
	})
}
