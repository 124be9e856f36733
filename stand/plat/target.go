package plat

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is one execution of a request at a target.
type Run struct {
	// At is when it began.
	At        time.Time
	ID        string
	Method    string
	URI       string
	Workspace string
	Caller    string
	Expected  string
	Key       string
	Millis    int
	Body      int
}

// Arrival is a request that reached a target, whether it ran there or not.
type Arrival struct {
	At time.Time
	ID string
}

// TargetFault is how a target misbehaves with a request.
type TargetFault string

// The faults of a target.
const (
	TargetSound TargetFault = ""
	// TargetFull answers that it did not run the request.
	TargetFull TargetFault = "Full"
	// TargetLost runs the request and closes without an answer.
	TargetLost TargetFault = "Lost"
	// TargetBroken runs the request and breaks its answer off.
	TargetBroken TargetFault = "Broken"
	// TargetUnsigned runs the request and answers without a signature.
	TargetUnsigned TargetFault = "Unsigned"
	// TargetFails runs the request and answers 500.
	TargetFails TargetFault = "Fails"
)

// Target is the stand-in of a worker.
type Target struct {
	ID      string
	Service string
	Zone    string
	// Address takes requests.
	Address string
	Slots   int
	Work    time.Duration
	// Calls are made, one after the other, for each request.
	Calls []Call
	// Warm is when the target, which started cold, is so no longer.
	Warm time.Time

	mu       sync.Mutex
	runs     []Run
	arrivals []Arrival
	fault    TargetFault
	draining bool
	sequence int64
	born     int64
	server   *http.Server
	canceled int
	calls    int
}

// Call is a nested call of a target.
type Call struct {
	// Outbound is the address of the node beside the target.
	Outbound string
	Host     string
	Path     string
}

// Start opens the target at an IP number.
func (t *Target) Start(ip string) error {
	return t.StartAt(net.JoinHostPort(ip, "0"))
}

// StartAt opens the target at an address.
func (t *Target) StartAt(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	t.Address = listener.Addr().String()
	t.born = time.Now().UnixMilli()
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = t.server.Serve(listener) }()
	return nil
}

// Stop ends the target as a crash does.
func (t *Target) Stop() { _ = t.server.Close() }

// SetFault makes the target misbehave from now on.
func (t *Target) SetFault(fault TargetFault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = fault
}

// Runs returns what has run.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run{}, t.runs...)
}

// Arrivals returns what has reached the target.
func (t *Target) Arrivals() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Arrival{}, t.arrivals...)
}

// Canceled returns how many runs were given up by their callers.
func (t *Target) Canceled() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.canceled
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
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
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault := t.begin(r, len(body))
	switch fault {
	case TargetFull:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case TargetLost:
		panic(http.ErrAbortHandler)
	case TargetSound, TargetBroken, TargetUnsigned, TargetFails:
	}
	if !t.work(r) {
		return
	}
	t.answer(w, r, fault)
}

// begin notes a run unless the target is full.
func (t *Target) begin(r *http.Request, body int) TargetFault {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.arrivals = append(t.arrivals, Arrival{At: now, ID: r.Header.Get("X-Request-Id")})
	if t.fault == TargetFull {
		return t.fault
	}
	millis, err := strconv.Atoi(r.Header.Get("X-Deadline-Milliseconds"))
	if err != nil {
		millis = -1
	}
	t.runs = append(t.runs, Run{
		At: now, ID: r.Header.Get("X-Request-Id"), Method: r.Method, URI: r.RequestURI, Workspace: r.Header.Get("X-Tenant"),
		Caller: r.Header.Get("X-Caller-Service"), Expected: r.Header.Get("X-Expected-Instance"), Key: r.Header.Get("X-Key"),
		Millis: millis, Body: body,
	})
	return t.fault
}

// work takes its time and makes the calls. It reports whether the caller is
// still there.
func (t *Target) work(r *http.Request) bool {
	select {
	case <-time.After(t.Work):
		return true
	case <-r.Context().Done():
		t.mu.Lock()
		t.canceled++
		t.mu.Unlock()
		return false
	}
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, fault TargetFault) {
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
		w.Header().Set("X-Response-Signature", "signed-"+t.ID)
	}
	text := "answer to " + r.Header.Get("X-Request-Id")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	if fault == TargetBroken {
		_, _ = io.WriteString(w, text[:4])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

// call makes one nested call and reports whether it was served.
func (t *Target) call(r *http.Request, c Call) bool {
	t.mu.Lock()
	t.calls++
	id := fmt.Sprintf("%s-%s-%d", r.Header.Get("X-Request-Id"), t.Service, t.calls)
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
	defer t.mu.Unlock()
	w.Header().Set("X-Instance-Id", t.ID)
	w.Header().Set("X-Cold-Milliseconds", strconv.FormatInt(t.coldFor().Milliseconds(), 10))
	if t.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *Target) coldFor() time.Duration { return max(time.Until(t.Warm), 0) }

// Beat sends a heartbeat to the node beside the target, with the state given.
func (t *Target) Beat(control, state string, cold time.Duration) error {
	t.mu.Lock()
	t.sequence++
	t.Warm, t.draining = time.Now().Add(cold), state != "ready"
	body := map[string]any{
		"address": t.Address, "born": t.born,
		"server_info": map[string]any{"service": t.Service, "version": "v1", "zone": t.Zone, "slots": t.Slots},
		"status":      map[string]any{"state": state, "sequence": t.sequence, "cold_remaining": fmt.Sprintf("%dms", cold.Milliseconds())},
	}
	t.mu.Unlock()
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return t.say(http.MethodPut, control, text)
}

// Leave tells the node beside the target that it ends.
func (t *Target) Leave(control string) error {
	return t.say(http.MethodDelete, control, nil)
}

func (t *Target) say(method, control string, body []byte) error {
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
		return fmt.Errorf("heartbeat of %s: status %d", t.ID, response.StatusCode)
	}
	return nil
}
