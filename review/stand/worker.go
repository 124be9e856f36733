package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	healthPath        = "/health"
	heartbeatInterval = 1500 * time.Millisecond
	// ackTimeout is how long a worker waits for the ack of a heartbeat.
	ackTimeout  = time.Second
	queuePlaces = 200
)

// run is one execution of a request at a worker.
type run struct {
	at                     time.Time
	worker, id, path       string
	tenant, callerService  string
	firstByteAt, arrivedAt time.Time
}

// worker is a stand-in for one lifetime of an application worker.
type worker struct {
	id, service, zone, address, control string
	slots                               int
	work                                time.Duration
	born                                int64
	record                              *record

	mu         sync.Mutex
	sequence   int64
	state      string
	isLeaving  bool
	warmAt     time.Time
	held       int
	busy       chan struct{}
	runs       []run
	endedAt    time.Time
	endedRuns  int
	server     *http.Server
	stopBeats  chan struct{}
	wasStopped bool
	// maxPerSecond is how many requests in a second make the worker crash while it is
	// cold, 0 if none do.
	maxPerSecond int
	// healthPath is the path of the service's health probe.
	healthPath string
	// failing is the share of requests that the worker answers with 500 and failureText.
	failing float64
}

// failureText is the body of a worker's failure. It is longer than what a node buffers.
var failureText = strings.Repeat("the worker has failed\n", 9000)

// fails reports whether the worker fails the next request.
func (w *worker) fails() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return rand.Float64() < w.failing
}

func (w *worker) setFailing(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = share
	w.record.line("worker %s fails %.2f of its requests", w.id, share)
}

func newWorker(r *record, id, service, zone, address, control string, slots int, work time.Duration) *worker {
	return &worker{
		id: id, service: service, zone: zone, address: address, control: control, slots: slots, work: work, record: r,
		state: "ready", healthPath: healthPath, busy: make(chan struct{}, slots), stopBeats: make(chan struct{}),
	}
}

// start opens the worker's address. Heartbeats are sent by the caller or by beat.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return fmt.Errorf("listen for worker %s: %w", w.id, err)
	}
	w.born = time.Now().UnixMilli()
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	w.record.line("worker %s of %s starts", w.id, w.service)
	go func() { _ = w.server.Serve(listener) }()
	return nil
}

// beat sends a heartbeat at once and then one in each interval, until stop or crash.
func (w *worker) beat(first time.Duration) {
	go func() {
		timer := time.NewTimer(first)
		for {
			select {
			case <-w.stopBeats:
				return
			case <-timer.C:
			}
			_ = w.send(http.MethodPut, w.beatBody(), ackTimeout)
			timer.Reset(heartbeatInterval)
		}
	}()
}

func (w *worker) endBeats() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.wasStopped {
		w.wasStopped = true
		close(w.stopBeats)
	}
}

// crash ends the worker without a word.
func (w *worker) crash() {
	w.endBeats()
	w.record.line("worker %s ends", w.id)
	w.mu.Lock()
	w.endedAt = time.Now()
	w.endedRuns = w.held
	w.mu.Unlock()
	_ = w.server.Close()
}

// beatBody returns the body of the next heartbeat.
func (w *worker) beatBody() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"address": w.address, "born": w.born,
		"server_info": map[string]any{"service": w.service, "version": "v1", "zone": w.zone, "slots": w.slots},
		"status":      map[string]any{"state": w.state, "sequence": w.sequence, "cold_remaining": fmt.Sprintf("%dms", w.coldLocked().Milliseconds())},
	})
	return body
}

func (w *worker) coldLocked() time.Duration { return max(time.Until(w.warmAt), 0) }

// send sends a heartbeat, or with DELETE the word that the worker leaves, and returns nil
// if it was acknowledged in time.
func (w *worker) send(method string, body []byte, timeout time.Duration) error {
	request, err := http.NewRequest(method, "http://"+w.control+"/-/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// leave says that the worker leaves, as the workers do that never report draining. Its
// health probe fails from now on.
func (w *worker) leave() error {
	w.endBeats()
	w.mu.Lock()
	w.isLeaving = true
	w.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"born": w.born})
	return w.send(http.MethodDelete, body, ackTimeout)
}

func (w *worker) runsSoFar() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run{}, w.runs...)
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	if r.Method == http.MethodGet && r.URL.Path == w.healthPath {
		w.mu.Lock()
		status, cold := http.StatusOK, w.coldLocked()
		if w.isLeaving || w.state != "ready" {
			status = http.StatusServiceUnavailable
		}
		w.mu.Unlock()
		h.Set("X-Instance-Id", w.id)
		if cold > 0 {
			h.Set("X-Cold-Milliseconds", strconv.FormatInt(cold.Milliseconds(), 10))
		}
		rw.WriteHeader(status)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != w.id {
		h.Set("X-Instance-Id", w.id)
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arrivedAt := time.Now()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !w.take(rw, r) {
		return
	}
	defer w.free()
	w.begin(r, id, arrivedAt)
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Response-Signature", w.id+"."+id)
	if w.fails() {
		// Without a length, the answer is sent in chunks.
		rw.WriteHeader(http.StatusInternalServerError)
		_, err := io.WriteString(rw, failureText)
		w.record.line("failure %s written, error %v", id, err)
		return
	}
	text := "answer to " + id
	h.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(rw, text)
}

// take waits for a slot. If the queue is full, it answers that the request did not run.
func (w *worker) take(rw http.ResponseWriter, r *http.Request) bool {
	w.mu.Lock()
	isFull := w.held >= w.slots+queuePlaces
	if !isFull {
		w.held++
	}
	w.mu.Unlock()
	if isFull {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	select {
	case w.busy <- struct{}{}:
		return true
	case <-r.Context().Done():
		w.mu.Lock()
		w.held--
		w.mu.Unlock()
		return false
	}
}

func (w *worker) free() {
	<-w.busy
	w.mu.Lock()
	w.held--
	w.mu.Unlock()
}

func (w *worker) begin(r *http.Request, id string, arrivedAt time.Time) {
	now := time.Now()
	w.mu.Lock()
	w.runs = append(w.runs, run{
		at: now, arrivedAt: arrivedAt, worker: w.id, id: id, path: r.URL.Path, tenant: r.Header.Get("X-Tenant"), callerService: r.Header.Get("X-Caller-Service"),
	})
	isTooMuch := false
	if w.maxPerSecond > 0 && w.coldLocked() > 0 {
		recent := 0
		for i := len(w.runs) - 1; i >= 0 && now.Sub(w.runs[i].at) < time.Second; i-- {
			recent++
		}
		isTooMuch = recent > w.maxPerSecond
	}
	w.mu.Unlock()
	w.record.line("run %s at %s tenant %q", id, w.id, r.Header.Get("X-Tenant"))
	if isTooMuch && w.endedAt.IsZero() {
		go w.crash()
	}
}
