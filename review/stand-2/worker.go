package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	ackTime           = time.Second
	coldTime          = 3 * time.Second
)

// worker is a stand-in for the application worker of a machine. It has one lifetime
// after the other, each started by start.
type worker struct {
	record  *record
	address string
	control string
	service string
	zone    string
	id      string
	workFor time.Duration
	// callInner makes the call that each run needs, and reports whether it succeeded. It
	// is nil if runs make no calls.
	callInner func(budget time.Duration) bool
	// timeOfDay is the clock of the worker's machine.
	timeOfDay func() time.Time

	mu       sync.Mutex
	server   *http.Server
	lifetime int
	born     int64
	// coldUntil is when the worker stops being cold.
	coldUntil time.Time
	sequence  int64
	state     string
	stop      chan struct{}
	runs      []run
}

// run is a request that a worker began to work on.
type run struct {
	id       string
	tenant   string
	lifetime int
	at       time.Time
}

// start begins a lifetime. It keeps the id.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.lifetime++
	w.born, w.coldUntil, w.sequence, w.state = w.timeOfDay().UnixMilli(), time.Now().Add(coldTime), 0, "ready"
	w.stop = make(chan struct{})
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 10 * time.Second}
	server, stop, lifetime := w.server, w.stop, w.lifetime
	w.mu.Unlock()
	w.record.add("worker", "%s starts, lifetime %d, born %d", w.id, lifetime, w.born)
	go func() { _ = server.Serve(listener) }()
	go w.beat(stop)
	return nil
}

// end ends the lifetime as a crash or an exit does.
func (w *worker) end(how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server == nil {
		return
	}
	close(w.stop)
	_ = w.server.Close()
	w.server = nil
	w.record.add("worker", "%s %s, lifetime %d", w.id, how, w.lifetime)
}

func (w *worker) beat(stop chan struct{}) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		w.report()
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// report sends one heartbeat and returns whether it was acknowledged.
func (w *worker) report() bool {
	w.mu.Lock()
	w.sequence++
	cold := max(time.Until(w.coldUntil), 0)
	body := fmt.Sprintf(`{"address":%q,"born":%d,"server_info":{"service":%q,"version":"v1","zone":%q,"slots":60},"status":{"state":%q,"sequence":%d,"cold_remaining":"%dms"}}`,
		w.address, w.born, w.service, w.zone, w.state, w.sequence, cold.Milliseconds())
	text := fmt.Sprintf("heartbeat of %s, lifetime %d, state %s, sequence %d, born %d", w.id, w.lifetime, w.state, w.sequence, w.born)
	w.mu.Unlock()
	return w.call(http.MethodPut, body, text)
}

// leave sends the worker's departure and returns whether it was acknowledged.
func (w *worker) leave() bool {
	w.mu.Lock()
	body := fmt.Sprintf(`{"born":%d}`, w.born)
	w.mu.Unlock()
	return w.call(http.MethodDelete, body, "departure of "+w.id)
}

func (w *worker) call(method, body, text string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), ackTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+w.control+"/-/instances/"+w.id, bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		w.record.add("worker", "%s: no answer: %v", text, err)
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	w.record.add("worker", "%s: answered %d", text, response.StatusCode)
	return response.StatusCode/100 == 2
}

func (w *worker) setState(state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = state
}

func (w *worker) ranSince(at time.Time) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []run
	for _, r := range w.runs {
		if r.at.After(at) {
			found = append(found, r)
		}
	}
	return found
}

// ServeHTTP answers a health check or runs a request.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	state, cold, lifetime := w.state, max(time.Until(w.coldUntil), 0), w.lifetime
	w.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		rw.Header().Set("X-Request-Id", id)
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.Header().Set("X-Cold-Milliseconds", strconv.FormatInt(cold.Milliseconds(), 10))
		if state != "ready" {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, run{id: id, tenant: r.Header.Get("X-Tenant"), lifetime: lifetime, at: time.Now()})
	w.mu.Unlock()
	w.record.add("worker", "%s, lifetime %d, state %s, runs %s %s %s", w.id, lifetime, state, r.Method, r.URL.Path, id)
	select {
	case <-time.After(w.workFor):
	case <-r.Context().Done():
		return
	}
	if state != "ready" {
		rw.Header().Set("Connection", "close")
	}
	if w.callInner != nil && !w.callInner(deadlineOf(r)) {
		rw.Header().Set("X-Response-Signature", fmt.Sprintf("%s.%s.500", w.id, id))
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	rw.Header().Set("X-Response-Signature", fmt.Sprintf("%s.%s.%d", w.id, id, len(body)))
	_, _ = io.WriteString(rw, "done "+id)
}

// deadlineOf returns the time that a request leaves to the worker.
func deadlineOf(r *http.Request) time.Duration {
	millis, err := strconv.Atoi(r.Header.Get("X-Deadline-Milliseconds"))
	if err != nil {
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}
