package mesh

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
)

// The headers between nodes, in canonical form. A caller's headers that begin
// with headerPrefix are dropped.
const (
	headerPrefix    = "Gage-"
	headerTarget    = "Gage-Target"
	headerID        = "Gage-Id"
	headerCaller    = "Gage-Caller"
	headerWorkspace = "Gage-Workspace"
	headerRoute     = "Gage-Route"
	headerNested    = "Gage-Nested"
	headerRank      = "Gage-Rank"
	// headerDeadline, headerEnds and headerWait are in milliseconds.
	headerDeadline = "Gage-Deadline"
	headerEnds     = "Gage-Ends"
	headerWait     = "Gage-Wait"
	headerOutcome  = "Gage-Outcome"
	headerReason   = "Gage-Reason"
	headerDetail   = "Gage-Detail"
	headerLoad     = "Gage-Load"
	// headerArrived marks a request that the target itself turned away.
	headerArrived = "Gage-Arrived"
	// headerOverloaded names the service whose overload made a request fail.
	headerOverloaded = "Gage-Overloaded"
)

// returnMargin is kept of a request's time so that another node's refusal is
// back before the deadline: a hop between zones, and a node that is busy.
const returnMargin = 8 * time.Millisecond

// forward carries work to the node at address.
func (m *Mesh) forward(ctx context.Context, address string, w *work) reply {
	now := m.options.Clock.Now()
	header := make(http.Header, len(w.header)+10)
	for name, values := range w.header {
		header[name] = values
	}
	header[headerTarget] = []string{w.expected}
	header[headerID] = []string{w.id}
	header[headerCaller] = []string{w.caller}
	header[headerRoute] = []string{w.route}
	header[headerRank] = []string{strconv.Itoa(w.rank)}
	header[headerDeadline] = []string{millis(w.deadline.Sub(now))}
	header[headerEnds] = []string{millis(w.ends.Sub(now))}
	header[headerWait] = []string{millis(min(w.until.Sub(now), w.deadline.Sub(now)-returnMargin))}
	if w.workspace != "" {
		header[headerWorkspace] = []string{w.workspace}
	}
	if w.nested {
		header[headerNested] = []string{"1"}
	}
	answer, err := m.toPeers.Do(ctx, now, address, w.hopRequest(header))
	if err != nil {
		return sendFailure(ctx, err)
	}
	load := parseLoad(answer.Header.Get(headerLoad))
	outcome := gage.Outcome(answer.Header.Get(headerOutcome))
	reason := gage.Reason(answer.Header.Get(headerReason))
	detail := answer.Header.Get(headerDetail)
	arrived := answer.Header.Get(headerArrived) != ""
	overloaded := answer.Header.Get(headerOverloaded)
	r := collect(ctx, answer)
	r.load, r.overloaded = load, overloaded
	if reason == gage.ReasonNone && outcome == gage.OutcomeRan {
		return r
	}
	r.close()
	if outcome == gage.OutcomeNotRun {
		return reply{outcome: outcome, reason: reason, detail: detail, load: load, arrived: arrived}
	}
	if reason == gage.ReasonNone {
		reason = gage.ReasonPeerFailed
	}
	return reply{outcome: gage.OutcomeUnknown, reason: reason, detail: detail, load: load}
}

// serveForwarded runs work that another node brings.
func (m *Mesh) serveForwarded(rw http.ResponseWriter, r *http.Request) {
	open := m.flights.enter()
	defer m.flights.leave()
	if !open {
		writeReply(rw, refused(gage.ReasonStopping, ""))
		return
	}
	w, err := m.readForwarded(r)
	if err != nil {
		m.log.warn("ForwardRefused", zap.Error(err))
		writeReply(rw, refused(gage.ReasonBadRequest, err.Error()))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), w.deadline)
	defer cancel()
	result := m.runBeside(ctx, w)
	defer result.close()
	m.log.run(w, &result)
	writeReply(rw, result)
}

func (m *Mesh) readForwarded(r *http.Request) (*work, error) {
	now := m.options.Clock.Now()
	h := r.Header
	left, err := strconv.Atoi(h.Get(headerDeadline))
	wait, waitErr := strconv.Atoi(h.Get(headerWait))
	ends, endsErr := strconv.Atoi(h.Get(headerEnds))
	rank, rankErr := strconv.Atoi(h.Get(headerRank))
	if err := errors.Join(err, waitErr, endsErr, rankErr); err != nil {
		return nil, fmt.Errorf("read the header of a forwarded request: %w", err)
	}
	w := &work{
		id: h.Get(headerID), method: r.Method, target: r.RequestURI, host: r.Host,
		caller: h.Get(headerCaller), workspace: h.Get(headerWorkspace), route: h.Get(headerRoute),
		expected: h.Get(headerTarget), nested: h.Get(headerNested) != "", rank: rank,
		deadline: now.Add(time.Duration(left) * time.Millisecond),
		ends:     now.Add(time.Duration(ends) * time.Millisecond),
		until:    now.Add(time.Duration(wait) * time.Millisecond),
	}
	w.header = passing(h)
	return w, m.readBody(w, r)
}

// readBody holds a body, or its beginning when it is long.
func (m *Mesh) readBody(w *work, r *http.Request) error {
	w.length = r.ContentLength
	if r.Body == nil || r.Body == http.NoBody {
		w.length = 0
		return nil
	}
	held, err := io.ReadAll(io.LimitReader(r.Body, heldBytes+1))
	if err != nil {
		return err
	}
	w.body = held
	if len(held) > heldBytes {
		w.rest = r.Body
		return nil
	}
	w.length = int64(len(held))
	return nil
}

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// passing copies the headers that go on, without those that the nodes set.
func passing(from http.Header) http.Header {
	to := make(http.Header, len(from))
	listed := from["Connection"]
	for name, values := range from {
		if hopByHop[name] || strings.HasPrefix(name, headerPrefix) || names(listed, name) {
			continue
		}
		to[name] = values
	}
	return to
}

// names reports whether a Connection header lists a header's name.
func names(connection []string, name string) bool {
	for _, line := range connection {
		for _, word := range strings.Split(line, ",") {
			if strings.EqualFold(strings.TrimSpace(word), name) {
				return true
			}
		}
	}
	return false
}

// writeReply answers another node.
func writeReply(rw http.ResponseWriter, r reply) {
	h := rw.Header()
	for name, values := range passing(r.header) {
		h[name] = values
	}
	h[headerOutcome] = []string{string(r.outcome)}
	if r.overloaded != "" {
		h[headerOverloaded] = []string{r.overloaded}
	}
	if r.load != nil {
		h[headerLoad] = []string{formatLoad(r.load)}
	}
	if r.reason != gage.ReasonNone {
		h[headerReason] = []string{string(r.reason)}
		if r.detail != "" {
			h[headerDetail] = []string{strings.Map(printable, r.detail)}
		}
		if r.arrived {
			h[headerArrived] = []string{"1"}
		}
		h["Content-Length"] = []string{"0"}
		status := http.StatusServiceUnavailable
		if r.outcome != gage.OutcomeNotRun {
			status = http.StatusBadGateway
		}
		rw.WriteHeader(status)
		return
	}
	writeAnswer(rw, &r)
}

func printable(r rune) rune {
	if r < ' ' || r > '~' {
		return ' '
	}
	return r
}

// writeAnswer writes a target's answer. An answer that breaks off on the way
// breaks the caller's connection, so that it never looks complete.
func writeAnswer(rw http.ResponseWriter, r *reply) {
	h := rw.Header()
	if _, given := h["Content-Type"]; !given {
		h["Content-Type"] = nil
	}
	if r.length >= 0 && r.status != http.StatusNoContent && r.status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.FormatInt(r.length, 10)}
	}
	rw.WriteHeader(r.status)
	if len(r.body) > 0 {
		if _, err := rw.Write(r.body); err != nil {
			return
		}
	}
	if r.rest == nil {
		return
	}
	if _, err := io.Copy(rw, r.rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// formatLoad writes the load of a target on one line.
func formatLoad(s *gage.TargetState) string {
	return s.ID + " " + strconv.Itoa(s.InFlight) + " " + strconv.Itoa(s.Queued)
}

// parseLoad reads formatLoad's line; nil when there is none.
func parseLoad(line string) *gage.TargetState {
	fields := strings.Fields(line)
	if len(fields) != 3 {
		return nil
	}
	inFlight, err := strconv.Atoi(fields[1])
	queued, queuedErr := strconv.Atoi(fields[2])
	if err != nil || queuedErr != nil {
		return nil
	}
	return &gage.TargetState{ID: fields[0], InFlight: inFlight, Queued: queued}
}
