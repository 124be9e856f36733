package edge_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/entry"
	"github.com/greengagewind/greengagewind/gage/protocol/header"
	"github.com/greengagewind/greengagewind/gage/protocol/probl"
	"github.com/greengagewind/greengagewind/gage/transport/clock"
	"github.com/greengagewind/greengagewind/gage/transport/edge"
)

// recordingEntry is an Entry and a gage.Announcer that records what the handlers
// pass to it.
type recordingEntry struct {
	arrival   entry.Arrival
	token     string
	announced gage.Announcement
	answer    gage.Result
	// served is the number of requests that reached the entry.
	served int
}

func (r *recordingEntry) Serve(_ context.Context, a entry.Arrival) entry.Answer {
	r.served++
	r.arrival = a
	return entry.Answer{RequestID: "a1.x", Result: r.answer}
}

func (r *recordingEntry) ServeNested(_ context.Context, token string, a entry.Arrival) entry.Answer {
	r.token = token
	return r.Serve(context.Background(), a)
}

func (r *recordingEntry) Announce(_ time.Time, a gage.Announcement) gage.Result {
	r.announced = a
	return gage.Result{Outcome: gage.OutcomeRan, Status: http.StatusOK}
}

func (r *recordingEntry) Drain(time.Time, string) gage.Result {
	return gage.Result{Outcome: gage.OutcomeRan, Status: http.StatusOK}
}

func (r *recordingEntry) Leave(time.Time, string) gage.Result {
	return gage.Result{Outcome: gage.OutcomeRan, Status: http.StatusOK}
}

func newID() string { return "a1.refused" }

func newRecordingEntry() *recordingEntry {
	return &recordingEntry{answer: gage.Result{Outcome: gage.OutcomeRan, Status: http.StatusCreated, Body: []byte("whole")}}
}

func TestOnlyAllowedCallerHeadersAreForwarded(t *testing.T) {
	r := newRecordingEntry()
	request := httptest.NewRequest(http.MethodPost, "/custody/lodge?x=1", strings.NewReader("body"))
	for name, value := range map[string]string{
		"Authorization":     "Bearer secret",
		"Idempotency-Key":   "k",
		"Gage-Timeout-Ms":   "1500",
		"Gage-Workspace":    "forged",
		"Gage-Context":      "forged",
		"X-Idempotency-Key": "k",
		"Cookie":            "key=secret",
		"Connection":        "X-Hop",
		"X-Hop":             "1",
		"Content-Type":      "application/json",
	} {
		request.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	edge.Callers(r, newID).ServeHTTP(w, request)
	assert.Equal(t, w.Code, http.StatusCreated)
	assert.Equal(t, w.Body.String(), "whole")
	assert.Equal(t, w.Header().Get(header.Outcome), "Ran")
	assert.Equal(t, r.arrival.Key, "secret")
	assert.Equal(t, r.arrival.IdempotencyKey, "k")
	assert.Equal(t, r.arrival.Timeout, 1500*time.Millisecond)
	assert.Equal(t, r.arrival.Path, "/custody/lodge?x=1")
	assert.Equal(t, r.token, "")
	assert.DeepEqual(t, r.arrival.Header, []gage.Header{{Name: "Content-Type", Value: "application/json"}})
}

func TestLongHeaderNamesAreForwardedOnlyWithAKey(t *testing.T) {
	for authorization, forwardedCount := range map[string]int{"": 2, "Bearer secret": 3} {
		r := newRecordingEntry()
		request := httptest.NewRequest(http.MethodGet, "/open", nil)
		for _, name := range []string{"X-Demo-Key-Of-Someone", "If-Modified-Since", "X-Short"} {
			request.Header.Set(name, "1")
		}
		if authorization != "" {
			request.Header.Set("Authorization", authorization)
		}
		edge.Callers(r, newID).ServeHTTP(httptest.NewRecorder(), request)
		assert.Equal(t, len(r.arrival.Header), forwardedCount, authorization)
	}
}

func TestBadRequestsAreRefused(t *testing.T) {
	cases := []struct {
		name   string
		change func(r *http.Request)
		reason gage.Reason
		status int
	}{
		{"not a bearer key", func(r *http.Request) { r.Header.Set("Authorization", "Basic x") }, gage.ReasonNoKey, 401},
		{"two keys", func(r *http.Request) { r.Header["Authorization"] = []string{"Bearer a", "Bearer b"} }, gage.ReasonNoKey, 401},
		{"bad timeout", func(r *http.Request) { r.Header.Set("Gage-Timeout-Ms", "-1") }, gage.ReasonBadRequest, 400},
		{"long idempotency key", func(r *http.Request) { r.Header.Set("Idempotency-Key", strings.Repeat("k", 257)) }, gage.ReasonBadRequest, 400},
		{"large body", func(r *http.Request) {
			largeBody := strings.NewReader(strings.Repeat("x", gage.MaxBodyBytes+1))
			r.Body = httptest.NewRequest(http.MethodPost, "/", largeBody).Body
		}, gage.ReasonTooLarge, 413},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRecordingEntry()
			request := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(""))
			c.change(request)
			w := httptest.NewRecorder()
			edge.Callers(r, newID).ServeHTTP(w, request)
			assert.Equal(t, w.Code, c.status)
			var body probl.Body
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body))
			assert.Equal(t, body.Outcome, gage.OutcomeNotRun)
			assert.Equal(t, body.Reason, c.reason)
			assert.Equal(t, body.RequestId, "a1.refused")
			assert.Equal(t, r.served, 0)
		})
	}
}

func TestRefusalSetsRetryAfter(t *testing.T) {
	r := newRecordingEntry()
	r.answer = gage.Result{Outcome: gage.OutcomeNotRun, Reason: gage.ReasonOverRate, RetryAfter: 1200 * time.Millisecond}
	w := httptest.NewRecorder()
	edge.Callers(r, newID).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", nil))
	assert.Equal(t, w.Code, http.StatusTooManyRequests)
	assert.Equal(t, w.Header().Get("Retry-After"), "2")
	assert.Equal(t, w.Header().Get("Content-Type"), probl.ContentType)
}

func TestTargetsAnnounceAndSendNestedCalls(t *testing.T) {
	r := newRecordingEntry()
	targets := edge.Targets(r, r, clock.System{}, newID)
	body := `{"Service":"search","Address":"127.0.0.1:9000","Incarnation":3,"CapacityHint":40,"TTLMillis":3000}`
	w := httptest.NewRecorder()
	targets.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/v1/targets/search-1", strings.NewReader(body)))
	assert.Equal(t, w.Code, http.StatusOK)
	want := gage.Announcement{Name: "search-1", Service: "search", Address: "127.0.0.1:9000", Incarnation: 3, CapacityHint: 40, TTL: 3 * time.Second}
	assert.DeepEqual(t, r.announced, want)

	w = httptest.NewRecorder()
	targets.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/v1/targets/search-1", strings.NewReader(`{"Port":1}`)))
	assert.Equal(t, w.Code, http.StatusBadRequest)

	nested := httptest.NewRequest(http.MethodPost, "/inside", nil)
	nested.Header.Set(header.Context, "token")
	targets.ServeHTTP(httptest.NewRecorder(), nested)
	assert.Equal(t, r.token, "token")
	assert.Equal(t, r.arrival.Path, "/inside")
}

func TestBodiesInFlightAreBounded(t *testing.T) {
	const requestCount = 70
	r := newRecordingEntry()
	started, release := make(chan struct{}, requestCount), make(chan struct{})
	blocking := &blockingEntry{recordingEntry: r, started: started, release: release}
	callers := edge.Callers(blocking, newID)
	statuses := make(chan int, requestCount)
	for range requestCount {
		go func() {
			largeBody := strings.NewReader(strings.Repeat("x", gage.MaxBodyBytes))
			w := httptest.NewRecorder()
			callers.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/x", largeBody))
			statuses <- w.Code
		}()
	}
	const admitted = 64
	for range requestCount - admitted {
		assert.Equal(t, <-statuses, http.StatusServiceUnavailable)
	}
	for range admitted {
		<-started
	}
	close(release)
	for range admitted {
		assert.Equal(t, <-statuses, http.StatusCreated)
	}
}

// blockingEntry is an Entry whose Serve returns after release is closed.
type blockingEntry struct {
	*recordingEntry
	started chan struct{}
	release chan struct{}
}

func (b *blockingEntry) Serve(context.Context, entry.Arrival) entry.Answer {
	b.started <- struct{}{}
	<-b.release
	return entry.Answer{RequestID: "a1.x", Result: b.answer}
}
