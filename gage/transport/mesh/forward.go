package mesh

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
)

// The names of the headers that nodes send to each other, in canonical form. A
// caller's headers that begin with headerPrefix are dropped.
const (
	headerPrefix    = "Gage-"
	headerTarget    = "Gage-Target"
	headerID        = "Gage-Id"
	headerCaller    = "Gage-Caller"
	headerWorkspace = "Gage-Workspace"
	headerRoute     = "Gage-Route"
	headerService   = "Gage-Service"
	headerNested    = "Gage-Nested"
	headerRank      = "Gage-Rank"
	// headerDeadline, headerGiveUp, headerEnds and headerWait hold the milliseconds left
	// until the request's deadline, giveUpAt, chainDeadline and waitUntil, respectively.
	// headerGiveUp is left out if giveUpAt is the deadline.
	headerDeadline = "Gage-Deadline"
	headerGiveUp   = "Gage-Give-Up"
	headerEnds     = "Gage-Ends"
	headerWait     = "Gage-Wait"
	// headerRateLimit holds knownRateLimit, if there is one.
	headerRateLimit = "Gage-Rate-Limit"
	headerOutcome   = "Gage-Outcome"
	headerReason    = "Gage-Reason"
	headerDetail    = "Gage-Detail"
	headerLoad      = "Gage-Load"
	// headerArrived is present if the target itself rejected the request.
	headerArrived = "Gage-Arrived"
	// headerOverloaded holds the service whose overload made the request fail.
	headerOverloaded = "Gage-Overloaded"
)

// A forwarded request stops waiting for a slot at least peerResponseMargin before
// its deadline, so that a refusal by the other node is received in time. The margin
// covers the latency between zones and delays on a busy node.
const peerResponseMargin = 8 * time.Millisecond

// forward sends a request to the node at address, which runs it at its target.
func (m *Mesh) forward(ctx context.Context, address string, w *targetRequest) attemptResult {
	now := m.options.Clock.Now()
	header := make(http.Header, len(w.header)+10)
	for name, values := range w.header {
		header[name] = values
	}
	header[headerTarget] = []string{w.expectedTarget}
	header[headerID] = []string{w.id}
	header[headerCaller] = []string{w.callerService}
	header[headerRoute] = []string{w.route}
	header[headerService] = []string{w.service}
	header[headerRank] = []string{strconv.Itoa(w.rank)}
	header[headerDeadline] = []string{millis(w.deadline.Sub(now))}
	if w.giveUpAt.After(w.deadline) {
		header[headerGiveUp] = []string{millis(w.giveUpAt.Sub(now))}
	}
	header[headerEnds] = []string{millis(w.chainDeadline.Sub(now))}
	header[headerWait] = []string{millis(min(w.waitUntil.Sub(now), w.deadline.Sub(now)-peerResponseMargin))}
	if w.workspace != "" {
		header[headerWorkspace] = []string{w.workspace}
	}
	if w.isNested {
		header[headerNested] = []string{"1"}
	}
	if !math.IsInf(w.knownRateLimit, 1) {
		header[headerRateLimit] = []string{strconv.FormatFloat(w.knownRateLimit, 'g', -1, 64)}
	}
	if hasLeft(ctx) {
		m.stats.leftBeforeForward.Inc()
		return canceledBeforeSend(ctx)
	}
	response, err := m.peerClient.Do(ctx, now, address, w.hopRequest(header))
	if err != nil {
		return sendFailure(ctx, m.options.Clock.Now(), err)
	}
	load := parseLoad(response.Header.Get(headerLoad))
	outcome := gage.Outcome(response.Header.Get(headerOutcome))
	reason := gage.Reason(response.Header.Get(headerReason))
	detail := response.Header.Get(headerDetail)
	rejectedByTarget := response.Header.Get(headerArrived) != ""
	overloadedService := response.Header.Get(headerOverloaded)
	r := m.readResponse(ctx, response)
	r.load, r.overloadedService = load, overloadedService
	if reason == gage.ReasonNone && outcome == gage.OutcomeRan {
		return r
	}
	r.close()
	if outcome == gage.OutcomeNotRun {
		return attemptResult{outcome: outcome, reason: reason, detail: detail, load: load, rejectedByTarget: rejectedByTarget}
	}
	if reason == gage.ReasonNone {
		reason = gage.ReasonPeerFailed
	}
	return attemptResult{outcome: gage.OutcomeUnknown, reason: reason, detail: detail, load: load}
}

// serveForwarded runs a request that another node forwarded.
func (m *Mesh) serveForwarded(rw http.ResponseWriter, r *http.Request) {
	accepted := m.requests.begin()
	defer m.requests.end()
	if !accepted {
		writePeerResponse(rw, notRun(gage.ReasonStopping, ""))
		return
	}
	body := respondBeforeBody(rw, r)
	defer func() { body.drain(m.options.Clock.Now(), rw) }()
	w, err := m.readForwarded(rw, r)
	defer func() { m.spool.Release(w.bufferedBytes) }()
	if err != nil {
		m.log.warn("ForwardRefused", zap.Error(err))
		body.announceClose(rw)
		writePeerResponse(rw, notRun(gage.ReasonBadRequest, err.Error()))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), w.giveUpAt)
	defer cancel()
	result := m.runAtLocalTarget(ctx, w)
	defer result.close()
	body.announceClose(rw)
	m.log.forwardFailed(w, &result)
	writePeerResponse(rw, result)
}

func (m *Mesh) readForwarded(rw http.ResponseWriter, r *http.Request) (*targetRequest, error) {
	now := m.options.Clock.Now()
	h := r.Header
	millisLeft, err := strconv.Atoi(h.Get(headerDeadline))
	giveUpMillis, giveUpErr := millisLeft, error(nil)
	if text := h.Get(headerGiveUp); text != "" {
		giveUpMillis, giveUpErr = strconv.Atoi(text)
	}
	waitMillis, waitErr := strconv.Atoi(h.Get(headerWait))
	chainMillis, chainErr := strconv.Atoi(h.Get(headerEnds))
	rank, rankErr := strconv.Atoi(h.Get(headerRank))
	rateLimit, _, rateErr := parseRateLimit(h[headerRateLimit])
	if err := errors.Join(err, giveUpErr, waitErr, chainErr, rankErr, rateErr); err != nil {
		return &targetRequest{}, fmt.Errorf("read the header of a forwarded request: %w", err)
	}
	w := &targetRequest{
		id: h.Get(headerID), method: r.Method, requestURI: r.RequestURI, host: r.Host,
		callerService: h.Get(headerCaller), workspace: h.Get(headerWorkspace), route: h.Get(headerRoute), service: h.Get(headerService),
		expectedTarget: h.Get(headerTarget), isNested: h.Get(headerNested) != "", rank: rank,
		knownRateLimit: rateLimit,
		deadline:       now.Add(time.Duration(millisLeft) * time.Millisecond),
		giveUpAt:       now.Add(time.Duration(giveUpMillis) * time.Millisecond),
		chainDeadline:  now.Add(time.Duration(chainMillis) * time.Millisecond),
		waitUntil:      now.Add(time.Duration(waitMillis) * time.Millisecond),
	}
	w.header = forwardableHeaders(h)
	return w, m.readBody(w, rw, r)
}

// hopByHop holds the headers that apply to one connection only and are not
// forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// forwardableHeaders returns the headers without the hop-by-hop headers and the
// headers of the protocol between nodes. The result shares its values with header.
func forwardableHeaders(header http.Header) http.Header {
	forwardable := make(http.Header, len(header))
	connectionLines := header["Connection"]
	for name, values := range header {
		if hopByHop[name] || strings.HasPrefix(name, headerPrefix) || listsHeader(connectionLines, name) {
			continue
		}
		forwardable[name] = values
	}
	return forwardable
}

// listsHeader reports whether the lines of a Connection header list the name of
// a header.
func listsHeader(connectionLines []string, header string) bool {
	for _, line := range connectionLines {
		for _, listed := range strings.Split(line, ",") {
			if strings.EqualFold(strings.TrimSpace(listed), header) {
				return true
			}
		}
	}
	return false
}

// writePeerResponse sends a result to the node that forwarded the request.
func writePeerResponse(rw http.ResponseWriter, r attemptResult) {
	h := rw.Header()
	for name, values := range forwardableHeaders(r.header) {
		h[name] = values
	}
	h[headerOutcome] = []string{string(r.outcome)}
	if r.overloadedService != "" {
		h[headerOverloaded] = []string{r.overloadedService}
	}
	if r.load != nil {
		h[headerLoad] = []string{formatLoad(r.load)}
	}
	if r.reason != gage.ReasonNone {
		h[headerReason] = []string{string(r.reason)}
		if r.detail != "" {
			h[headerDetail] = []string{strings.Map(printable, r.detail)}
		}
		if r.rejectedByTarget {
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
	writeResponse(rw, &r)
}

func printable(r rune) rune {
	if r < ' ' || r > '~' {
		return ' '
	}
	return r
}

// writeResponse writes the response of a target. If the target's response is
// truncated, it aborts the connection, so that the client does not take the
// response for a complete one.
func writeResponse(rw http.ResponseWriter, r *attemptResult) {
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
	if r.bodyRest == nil {
		return
	}
	if _, err := io.Copy(rw, r.bodyRest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// formatLoad encodes the load of a target as a header value.
func formatLoad(s *gage.TargetState) string {
	return s.ID + " " + strconv.Itoa(s.InFlight) + " " + strconv.Itoa(s.Queued)
}

// parseLoad decodes the value of formatLoad. It returns nil if line is
// malformed.
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
