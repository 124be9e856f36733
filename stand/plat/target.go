package plat

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one execution of a request at a target. The string fields other than
// Method and URI are the values of request headers, and are empty when the header
// was absent.
type Run struct {
	// At is when the run began.
	At             time.Time
	ID             string
	Method         string
	URI            string
	Workspace      string
	CallerService  string
	ExpectedTarget string
	Key            string
	// DeadlineMillis is the time that the request allows for the run. It is -1 when
	// the header was absent or not a number.
	DeadlineMillis int
	BodyBytes      int
}

// Arrival is a request that reached a target. It may or may not have run there.
type Arrival struct {
	At time.Time
	ID string
}

// TargetFault is a fault that a target injects into all requests.
type TargetFault string

// The faults of a target.
const (
	// TargetHealthy means no fault.
	TargetHealthy TargetFault = ""
	// TargetRejects answers 503 with the header X-Not-Executed and does not run
	// the request.
	TargetRejects TargetFault = "Full"
	// TargetRejectsEarly is TargetRejects without reading the request's body.
	TargetRejectsEarly TargetFault = "FullEarly"
	// TargetLosesAnswers runs the request and closes the connection without an
	// answer.
	TargetLosesAnswers TargetFault = "Lost"
	// TargetTruncates runs the request and closes the connection in the middle
	// of the answer.
	TargetTruncates TargetFault = "Broken"
	// TargetEndlessBody runs the request and sends an answer whose body does not end.
	TargetEndlessBody TargetFault = "EndlessBody"
	// TargetEndlessHead runs the request and sends a header that does not end.
	TargetEndlessHead TargetFault = "EndlessHead"
	// TargetUnsigned runs the request and answers without a signature.
	TargetUnsigned TargetFault = "Unsigned"
	// TargetFails runs the request and answers 500.
	TargetFails TargetFault = "Fails"
)

// SignaturePrefix precedes the ID of a target in its signatures.
const SignaturePrefix = "signed-"

// Target is the stand-in for one target of a service.
type Target struct {
	ID      string
	Service string
	Zone    string
	// HealthPath is the path of the target's health check, "" for /health.
	HealthPath string
	// Address is the host:port at which the target receives requests. StartAt sets
	// it.
	Address string
	// Slots is the concurrency limit that heartbeats report. The target does not
	// enforce it.
	Slots int
	// ServiceTime is how long a run takes without its nested calls.
	ServiceTime time.Duration
	// Echo makes the target answer with the body of the request, in chunks.
	Echo bool
	// FailureBytes is the length of the body that the fault TargetFails sends in chunks. If
	// it is 0, the body is that of other answers.
	FailureBytes int
	// HeedsDeadline makes a run that its deadline ends answer 504 then.
	HeedsDeadline bool
	// GiveUpTime is how long after the deadline such an answer is sent.
	GiveUpTime time.Duration
	// Calls are the nested calls made one after the other for each request.
	Calls []Call
	// WarmAt is the time from which the target is no longer cold.
	WarmAt time.Time

	mu            sync.Mutex
	runs          []Run
	arrivals      []Arrival
	fault         TargetFault
	isDraining    bool
	sequence      int64
	startedMillis int64
	server        *http.Server
	canceledRuns  int
	// headers are added to each response, to those of health checks only if
	// isHealthPlain is false.
	headers       http.Header
	isHealthPlain bool
	// healthStatus is the status of health checks, 0 for the true one.
	healthStatus int
	healthDelay  time.Duration
	// rawHead and rawRepeated are those of SetRawResponse.
	rawHead, rawRepeated string
	// nestedCalls counts the nested calls, to make their request IDs unique.
	nestedCalls int
}

// Call is a nested call of a target, sent with GET.
type Call struct {
	// Outbound is the address at which the target's node accepts requests from
	// callers.
	Outbound string
	Host     string
	Path     string
}

// Start starts the target on a free port of an IP address.
func (t *Target) Start(ip string) error {
	return t.StartAt(net.JoinHostPort(ip, "0"))
}

// StartAt starts the target at an address of the form host:port. It returns an error
// when the address is in use.
func (t *Target) StartAt(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	t.Address = listener.Addr().String()
	t.startedMillis = time.Now().UnixMilli()
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = t.server.Serve(listener) }()
	return nil
}

// Stop closes the listener and all connections, as a crash does.
func (t *Target) Stop() { _ = t.server.Close() }

// Restart starts the target again at its address, as a new process with the same ID.
func (t *Target) Restart() error {
	t.Stop()
	t.mu.Lock()
	t.sequence, t.isDraining = 0, false
	t.mu.Unlock()
	return t.StartAt(t.Address)
}

// SetFault sets the fault for later requests. TargetHealthy ends the current fault.
func (t *Target) SetFault(fault TargetFault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = fault
}

// SetHeader adds a header with the given values to all later responses, or none if there
// are no values.
func (t *Target) SetHeader(name string, values ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	headers := t.headers.Clone()
	if headers == nil {
		headers = make(http.Header)
	}
	headers[name] = values
	t.headers = headers
}

// SetPlainHealth sets whether the responses of health checks lack the headers that
// SetHeader adds to all others.
func (t *Target) SetPlainHealth(isPlain bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isHealthPlain = isPlain
}

// TurnCold makes the target cold for a time. Only its health checks and later heartbeats
// tell.
func (t *Target) TurnCold(coldFor time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.WarmAt = time.Now().Add(coldFor)
}

// SetHealthDelay sets how long responses of health checks take to arrive.
func (t *Target) SetHealthDelay(delay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.healthDelay = delay
}

// SetRawResponse makes the target answer each later request with the text head, in which
// {id} stands for the request ID, and then with repeated without end. If both are "", it
// answers as usual.
func (t *Target) SetRawResponse(head, repeated string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rawHead, t.rawRepeated = head, repeated
}

// SetHealthStatus sets the status that health checks get, 0 for the true one.
func (t *Target) SetHealthStatus(status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.healthStatus = status
}

// Runs returns a copy of all runs so far, in the order they began.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run{}, t.runs...)
}

// Arrivals returns a copy of all arrivals so far, in the order in which the
// target received them.
func (t *Target) Arrivals() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Arrival{}, t.arrivals...)
}

// Canceled returns the number of runs whose connection was closed before the
// service time had passed.
func (t *Target) Canceled() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.canceledRuns
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	isHealthCheck := r.URL.Path == cmp.Or(t.HealthPath, "/health")
	t.mu.Lock()
	isPlain := isHealthCheck && t.isHealthPlain
	head, repeated := t.rawHead, t.rawRepeated
	t.mu.Unlock()
	if repeated != "" {
		t.recordArrival(r, 0)
		hijackAndWriteWithoutEnd(w, strings.ReplaceAll(head, "{id}", r.Header.Get("X-Request-Id")), repeated)
		return
	}
	if !isPlain {
		w = &headerWriter{ResponseWriter: w, target: t}
	}
	if isHealthCheck {
		t.serveHealth(w)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != t.ID {
		w.Header().Set("X-Instance-Id", t.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if t.rejectsEarly() {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault := t.recordArrival(r, len(body))
	switch fault {
	case TargetRejects:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case TargetLosesAnswers:
		panic(http.ErrAbortHandler)
	case TargetEndlessBody:
		w.Header().Set("X-Response-Signature", SignaturePrefix+t.ID)
		writeWithoutEnd(w, "x")
		return
	case TargetEndlessHead:
		hijackAndWriteWithoutEnd(w, "HTTP/1.1 200 OK\r\n", "X-Line: 0123456789\r\n")
		return
	case TargetHealthy, TargetRejectsEarly, TargetTruncates, TargetUnsigned, TargetFails:
	}
	if !t.simulateWork(r) {
		return
	}
	if left := t.runDeadline(r); t.HeedsDeadline && left < t.ServiceTime {
		time.Sleep(t.GiveUpTime)
		w.Header().Set("X-Response-Signature", SignaturePrefix+t.ID)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if t.Echo {
		w.Header().Set("X-Response-Signature", SignaturePrefix+t.ID)
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(body)
		return
	}
	t.writeAnswer(w, r, fault)
}

// headerWriter adds the headers of its target when it writes the header of a response.
type headerWriter struct {
	http.ResponseWriter
	target  *Target
	written bool
}

// Unwrap returns the writer of the server.
func (w *headerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the header of the response.
func (w *headerWriter) WriteHeader(status int) {
	w.target.mu.Lock()
	headers := w.target.headers
	w.target.mu.Unlock()
	for name, values := range headers {
		w.Header()[name] = values
	}
	w.written = true
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *headerWriter) Write(p []byte) (int, error) {
	if !w.written {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// writeWithoutEnd writes text again and again until the connection is closed.
func writeWithoutEnd(w io.Writer, text string) {
	const blockBytes = 16 << 10
	block := []byte(strings.Repeat(text, max(1, blockBytes/len(text))))
	for {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

func hijackAndWriteWithoutEnd(w http.ResponseWriter, head, repeated string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, head)
	writeWithoutEnd(&pacedWriter{Writer: c}, repeated)
}

// pacedWriter writes pacedAfter bytes at full speed, and then pauses for pacedPause after
// each write. More than a node may hold would take all of the machine's time.
type pacedWriter struct {
	io.Writer
	written int
}

const (
	pacedAfter = 512 << 10
	pacedPause = 5 * time.Millisecond
)

// Write writes to the underlying writer.
func (w *pacedWriter) Write(p []byte) (int, error) {
	if w.written > pacedAfter {
		time.Sleep(pacedPause)
	}
	n, err := w.Writer.Write(p)
	w.written += n
	return n, err
}

func (t *Target) rejectsEarly() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fault == TargetRejectsEarly
}

// recordArrival records the arrival of a request. It also records a run, unless the
// fault is TargetRejects. It returns the fault to inject.
func (t *Target) recordArrival(r *http.Request, bodyBytes int) TargetFault {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.arrivals = append(t.arrivals, Arrival{At: now, ID: r.Header.Get("X-Request-Id")})
	if t.fault == TargetRejects {
		return t.fault
	}
	deadlineMillis, err := strconv.Atoi(r.Header.Get("X-Deadline-Milliseconds"))
	if err != nil {
		deadlineMillis = -1
	}
	t.runs = append(t.runs, Run{
		At: now, ID: r.Header.Get("X-Request-Id"), Method: r.Method, URI: r.RequestURI, Workspace: r.Header.Get("X-Tenant"),
		CallerService: r.Header.Get("X-Caller-Service"), ExpectedTarget: r.Header.Get("X-Expected-Instance"), Key: r.Header.Get("X-Key"),
		DeadlineMillis: deadlineMillis, BodyBytes: bodyBytes,
	})
	return t.fault
}

// simulateWork waits for the service time and returns true. If the caller closes the
// connection first, it counts the run as canceled and returns false.
func (t *Target) simulateWork(r *http.Request) bool {
	duration := t.ServiceTime
	if t.HeedsDeadline {
		duration = min(duration, t.runDeadline(r))
	}
	select {
	case <-time.After(duration):
		return true
	case <-r.Context().Done():
		t.mu.Lock()
		t.canceledRuns++
		t.mu.Unlock()
		return false
	}
}

// runDeadline returns the time that a request allows for its run, a day if it states none.
func (t *Target) runDeadline(r *http.Request) time.Duration {
	millis, err := strconv.Atoi(r.Header.Get("X-Deadline-Milliseconds"))
	if err != nil {
		return 24 * time.Hour
	}
	return time.Duration(millis) * time.Millisecond
}

// writeAnswer makes the nested calls and writes the answer. The status is 500 if a
// nested call was not answered with 200 or the fault is TargetFails, otherwise 200.
func (t *Target) writeAnswer(w http.ResponseWriter, r *http.Request, fault TargetFault) {
	status := http.StatusOK
	for _, c := range t.Calls {
		if !t.call(r, c) {
			status = http.StatusInternalServerError
		}
	}
	if fault == TargetFails {
		status = http.StatusInternalServerError
	}
	if fault != TargetUnsigned {
		w.Header().Set("X-Response-Signature", SignaturePrefix+t.ID)
	}
	text := "answer to " + r.Header.Get("X-Request-Id")
	if fault == TargetFails && t.FailureBytes > 0 {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, strings.Repeat("x", t.FailureBytes))
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	if fault == TargetTruncates {
		_, _ = io.WriteString(w, text[:4])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

// call makes one nested call and reports whether it was answered with 200.
func (t *Target) call(r *http.Request, c Call) bool {
	t.mu.Lock()
	t.nestedCalls++
	id := fmt.Sprintf("%s-%s-%d", r.Header.Get("X-Request-Id"), t.Service, t.nestedCalls)
	t.mu.Unlock()
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+c.Outbound+c.Path, http.NoBody)
	if err != nil {
		return false
	}
	request.Host = c.Host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Milliseconds", r.Header.Get("X-Deadline-Milliseconds"))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

func (t *Target) serveHealth(w http.ResponseWriter) {
	t.mu.Lock()
	coldFor, status := t.remainingCold(), http.StatusOK
	if t.isDraining {
		status = http.StatusServiceUnavailable
	}
	status = cmp.Or(t.healthStatus, status)
	delay := t.healthDelay
	t.mu.Unlock()
	time.Sleep(delay)
	w.Header().Set("X-Instance-Id", t.ID)
	w.Header().Set("X-Cold-Milliseconds", strconv.FormatInt(coldFor.Milliseconds(), 10))
	w.WriteHeader(status)
}

func (t *Target) remainingCold() time.Duration { return max(time.Until(t.WarmAt), 0) }

// SendHeartbeat sends a heartbeat to the node of the target, whose address for
// heartbeats is control. The heartbeat says that the target stays cold for coldFor.
// SendHeartbeat returns an error when the node does not accept the heartbeat.
func (t *Target) SendHeartbeat(control, state string, coldFor time.Duration) error {
	body, err := t.Heartbeat(state, coldFor)
	if err != nil {
		return err
	}
	return t.Announce(http.MethodPut, control, body)
}

// Heartbeat returns the body of the target's next heartbeat, which says that the target
// stays cold for coldFor.
func (t *Target) Heartbeat(state string, coldFor time.Duration) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	t.WarmAt, t.isDraining = time.Now().Add(coldFor), state != "ready"
	return json.Marshal(map[string]any{
		"address": t.Address, "born": t.startedMillis,
		"server_info": map[string]any{"service": t.Service, "version": "v1", "zone": t.Zone, "slots": t.Slots},
		"status":      map[string]any{"state": state, "sequence": t.sequence, "cold_remaining": fmt.Sprintf("%dms", coldFor.Milliseconds())},
	})
}

// Deregister announces that the target ends to its node, whose address for heartbeats
// is control. It returns an error when the node does not accept the announcement.
func (t *Target) Deregister(control string) error {
	t.mu.Lock()
	t.isDraining = true
	t.mu.Unlock()
	body, err := json.Marshal(map[string]any{"born": t.startedMillis})
	if err != nil {
		return err
	}
	return t.Announce(http.MethodDelete, control, body)
}

// Announce sends a heartbeat with the method PUT, or a deregistration with DELETE, to the
// node of the target. It returns an error when the node does not accept it.
func (t *Target) Announce(method, control string, body []byte) error {
	request, err := http.NewRequest(method, "http://"+control+"/-/instances/"+t.ID, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("heartbeat or deregistration of target %s: status %d", t.ID, response.StatusCode)
	}
	return nil
}
