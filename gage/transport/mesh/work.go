package mesh

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/transport/hop"
)

// heldBytes is how much of a body a node holds: requests up to this size can
// be sent again, and answers up to this size are checked as a whole.
const heldBytes = 128 << 10

// work is a request on its way to one target.
type work struct {
	// id is the caller's identity of the attempt.
	id     string
	method string
	// target is the path and query as they came.
	target string
	host   string
	// header is what the caller sent, without what concerns one connection or
	// is set by the nodes.
	header http.Header
	body   []byte
	// rest is what follows body of a long one, or nil.
	rest io.Reader
	// length is that of the whole body, below 0 when unknown.
	length    int64
	caller    string
	workspace string
	route     string
	service   string
	expected  string
	nested    bool
	rank      int
	// local tells that the request began on the VM of the target.
	local bool
	// repeatable requests may run more than once.
	repeatable bool
	deadline   time.Time
	// ends is when the time of the request at the head of the chain of calls is
	// over, at or after deadline.
	ends time.Time
	// until is when the request is refused if it has not begun to run.
	until time.Time
}

// hopRequest returns the message that carries w with header.
func (w *work) hopRequest(header http.Header) *hop.Request {
	r := &hop.Request{Method: w.method, Target: w.target, Host: w.host, Header: header, Length: w.length}
	switch {
	case w.rest != nil:
		r.Body = io.MultiReader(bytes.NewReader(w.body), w.rest)
	case len(w.body) > 0:
		r.Body, r.Length = bytes.NewReader(w.body), int64(len(w.body))
	}
	return r
}

// reply is what became of work at one target.
type reply struct {
	outcome gage.Outcome
	// reason is ReasonNone exactly when the target's answer is here.
	reason gage.Reason
	detail string
	status int
	header http.Header
	// body is the answer's body or its beginning; rest is what follows.
	body   []byte
	rest   io.ReadCloser
	length int64
	// load is what the node beside the target said of it, or nil.
	load *gage.TargetState
	// unreached tells that no node was there.
	unreached bool
	// arrived tells that a request that did not run reached the target, which
	// turned it away.
	arrived bool
	// overloaded names the service whose overload made the request fail, or "".
	overloaded string
}

func (r *reply) close() {
	if r.rest != nil {
		_ = r.rest.Close()
	}
}

func refused(reason gage.Reason, detail string) reply {
	return reply{outcome: gage.OutcomeNotRun, reason: reason, detail: detail}
}

func unknown(reason gage.Reason, detail string) reply {
	return reply{outcome: gage.OutcomeUnknown, reason: reason, detail: detail}
}

// runBeside runs work at the target on this VM.
func (m *Mesh) runBeside(ctx context.Context, w *work) reply {
	now := m.options.Clock.Now()
	gate, ticket, reason := m.beside.admit(ctx, now, w)
	if reason != gage.ReasonNone {
		r := refused(reason, "")
		load := m.beside.state(now)
		r.load = &load
		return r
	}
	granted := m.options.Clock.Now()
	m.stats.queued.Update(granted.Sub(now).Seconds())
	now = granted
	answer, err := m.beside.client.Do(ctx, now, m.options.Self.TargetAddress, w.hopRequest(m.targetHeader(now, w)))
	r := m.targetReply(ctx, answer, err)
	if r.status >= http.StatusInternalServerError {
		r.overloaded = m.sheds.since(now)
	}
	now = m.options.Clock.Now()
	var failure *hop.Failure
	if errors.As(err, &failure) && failure.Dial && ctx.Err() == nil {
		m.beside.doubt(now, gate, err)
	}
	if r.rest == nil {
		m.beside.done(now, gate, ticket, err == nil)
	} else {
		r.rest = &onClose{ReadCloser: r.rest, act: func() { m.beside.done(m.options.Clock.Now(), gate, ticket, true) }}
	}
	load := m.beside.state(now)
	r.load = &load
	return r
}

// onClose acts once when a body is closed.
type onClose struct {
	io.ReadCloser
	act func()
}

// Close closes the body.
func (o *onClose) Close() error {
	if o.act != nil {
		o.act()
		o.act = nil
	}
	return o.ReadCloser.Close()
}

// targetHeader returns the header with which the target gets work.
func (m *Mesh) targetHeader(now time.Time, w *work) http.Header {
	names := m.options.HeaderNames
	header := make(http.Header, len(w.header)+5)
	for name, values := range w.header {
		header[name] = values
	}
	header[names.RequestID] = []string{w.id}
	header[names.CallerService] = []string{w.caller}
	header[names.ExpectedTarget] = []string{w.expected}
	header[names.DeadlineMillis] = []string{millis(w.deadline.Sub(now))}
	if w.workspace != "" {
		header[names.Workspace] = []string{w.workspace}
	}
	return header
}

func millis(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 0), 10)
}

// targetReply reads what a target answered.
func (m *Mesh) targetReply(ctx context.Context, answer *hop.Answer, err error) reply {
	if err != nil {
		return sendFailure(ctx, err)
	}
	r := collect(ctx, answer)
	if r.outcome != gage.OutcomeRan {
		return r
	}
	names := m.options.HeaderNames
	switch {
	case r.header.Get(names.NotExecuted) != "", r.status == http.StatusMisdirectedRequest:
		r.close()
		turned := refused(gage.ReasonOverload, "the target did not run the request, status "+strconv.Itoa(r.status))
		turned.arrived = r.status != http.StatusMisdirectedRequest
		return turned
	case r.status >= 200 && r.status < 300 && r.header.Get(names.Signature) == "":
		r.close()
		return unknown(gage.ReasonSpoiled, "the answer bears no signature")
	}
	return r
}

// sendFailure tells what is known of a request that brought no answer.
func sendFailure(ctx context.Context, err error) reply {
	var failure *hop.Failure
	sent := !errors.As(err, &failure) || failure.Sent
	reason := gage.ReasonBroken
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), sent && errors.Is(err, os.ErrDeadlineExceeded):
		// The connection's deadline is that of the request and may fire first.
		reason = gage.ReasonDeadline
	case ctx.Err() != nil:
		reason = gage.ReasonCanceled
	case !sent:
		reason = gage.ReasonUnreached
	}
	if sent {
		return unknown(reason, err.Error())
	}
	r := refused(reason, err.Error())
	r.unreached = reason == gage.ReasonUnreached
	return r
}

// collect reads an answer as far as it is held.
func collect(ctx context.Context, answer *hop.Answer) reply {
	r := reply{outcome: gage.OutcomeRan, status: answer.Status, header: answer.Header, length: answer.Length}
	var err error
	if answer.Length > heldBytes {
		r.rest = answer.Body
		return r
	}
	if answer.Length >= 0 {
		r.body = make([]byte, answer.Length)
		_, err = io.ReadFull(answer.Body, r.body)
		if err == nil {
			// One more read finds the end, so that the connection is kept.
			_, _ = answer.Body.Read(make([]byte, 1))
		}
	} else {
		r.body, err = io.ReadAll(io.LimitReader(answer.Body, heldBytes))
		if err == nil && len(r.body) == heldBytes {
			r.rest = answer.Body
			return r
		}
		r.length = int64(len(r.body))
	}
	_ = answer.Body.Close()
	if err == nil {
		return r
	}
	broken := sendFailure(ctx, &hop.Failure{Sent: true, Err: err})
	broken.detail = "the answer was broken off: " + err.Error()
	return broken
}
