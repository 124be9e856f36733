package target_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage/protocol/header"
	"github.com/greengagewind/greengagewind/stand/command"
	"github.com/greengagewind/greengagewind/stand/record"
	"github.com/greengagewind/greengagewind/stand/target"
)

var startTime = time.Unix(1_700_000_000, 0)

func TestRequestIsShedWhenSlotsAndQueueAreFull(t *testing.T) {
	capacity := target.NewCapacity(&target.Options{Slots: 2, Queue: 1, ColdSlots: 1}, startTime)
	for range 3 {
		_, ok := capacity.Begin(startTime)
		assert.Assert(t, ok)
	}
	_, ok := capacity.Begin(startTime)
	assert.Assert(t, !ok)
	capacity.End(false)
	_, ok = capacity.Begin(startTime)
	assert.Assert(t, ok)
	assert.Equal(t, capacity.Stats(startTime).Sheds, 1)
	assert.Equal(t, capacity.Stats(startTime).MaxConcurrency, 3)
}

func TestRunTakesLongerUnderCongestion(t *testing.T) {
	capacity := target.NewCapacity(&target.Options{Slots: 10, Queue: 90, ColdSlots: 1, ServiceTime: time.Second}, startTime)
	var lastAdmission target.Admission
	for range 40 {
		lastAdmission, _ = capacity.Begin(startTime)
	}
	assert.Assert(t, lastAdmission.Duration > 12*time.Second, "40 runs on 10 slots take 16 times the service time, less 20 % jitter")
}

func TestColdOverrunRestartsColdPeriod(t *testing.T) {
	opts := &target.Options{Slots: 10, ColdSlots: 1, ColdStart: time.Second}
	capacity := target.NewCapacity(opts, startTime)
	_, _ = capacity.Begin(startTime)
	later := startTime.Add(900 * time.Millisecond)
	admission, _ := capacity.Begin(later)
	assert.Assert(t, admission.Cold)
	assert.Equal(t, capacity.Stats(startTime.Add(1800*time.Millisecond)).Cold, true)
	assert.Equal(t, capacity.Stats(startTime.Add(1901*time.Millisecond)).Cold, false)
	assert.Equal(t, capacity.Stats(later).ColdOverruns, 1)
	assert.Equal(t, capacity.Stats(later).MaxColdConcurrency, 2)
}

func TestParseNestedCall(t *testing.T) {
	call, err := target.ParseNestedCall("POST /b=POST /a")
	assert.NilError(t, err)
	assert.Assert(t, call.AppliesTo("POST", "/b"))
	assert.Assert(t, !call.AppliesTo("GET", "/b"))
	call, err = target.ParseNestedCall("POST /a")
	assert.NilError(t, err)
	assert.Assert(t, call.AppliesTo("GET", "/anything"))
	_, err = target.ParseNestedCall("/a")
	assert.ErrorContains(t, err, "expected a form such as")
}

// fakeNode records the calls that a target makes to its node.
type fakeNode struct {
	mu sync.Mutex
	// calls holds "METHOD PATH TOKEN" for each call; TOKEN is the Gage-Context
	// header, which is "" for calls that are not nested.
	calls []string
	// answerNested answers a nested call.
	answerNested func(w http.ResponseWriter)
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	n.calls = append(n.calls, r.Method+" "+r.URL.Path+" "+r.Header.Get(header.Context))
	n.mu.Unlock()
	if !strings.HasPrefix(r.URL.Path, "/v1/") {
		n.answerNested(w)
	}
}

func (n *fakeNode) received(call string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, recorded := range n.calls {
		if recorded == call {
			return true
		}
	}
	return false
}

// startTarget starts a target that is registered at n. stop ends it and returns
// the runs that it logged.
func startTarget(t *testing.T, n *fakeNode) (url string, stop func() []record.Run) {
	t.Helper()
	server := httptest.NewServer(n)
	dir := t.TempDir()
	call, err := target.ParseNestedCall("POST /book=POST /reserve")
	assert.NilError(t, err)
	opts := &target.Options{
		Name: "t1", Service: "ceremonies", Listen: freeAddress(t), Control: freeAddress(t), Node: server.URL,
		Slots: 4, Queue: 4, ColdSlots: 1, ServiceTime: time.Millisecond, TTL: time.Minute,
		NestedCalls: []target.NestedCall{call}, RunLog: filepath.Join(dir, "t1.jsonl"),
		Streams: command.Streams{Out: io.Discard, Err: io.Discard},
	}
	ctx, cancel := context.WithCancel(context.Background())
	runError := make(chan error, 1)
	go func() { runError <- target.Run(ctx, opts) }()
	waitFor(t, func() bool { return n.received("PUT /v1/targets/t1 ") })
	return "http://" + opts.Listen, func() []record.Run {
		cancel()
		assert.NilError(t, <-runError)
		server.Close()
		runs, err := record.ReadRuns(dir)
		assert.NilError(t, err)
		return runs
	}
}

func TestNestedCallCarriesContextTokenAndID(t *testing.T) {
	n := &fakeNode{answerNested: func(w http.ResponseWriter) { _, _ = io.WriteString(w, `{"Id":"x1"}`) }}
	url, stop := startTarget(t, n)
	status, body := post(t, url+"/book", "token-1")
	assert.Equal(t, status, http.StatusOK)
	var answer target.Answer
	assert.NilError(t, json.Unmarshal(body, &answer))
	assert.Equal(t, answer.ID, "x1")
	assert.Equal(t, len(answer.Nested), 1)
	runs := stop()
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Result, record.ResultDone)
	assert.Equal(t, runs[0].Workspace, "north")
	assert.Assert(t, n.received("POST /reserve token-1"))
	assert.Assert(t, n.received("POST /v1/targets/t1/drain "))
	assert.Assert(t, n.received("DELETE /v1/targets/t1 "))
}

func TestRunFailsWhenItsNestedCallFails(t *testing.T) {
	cases := []struct {
		name         string
		answerNested func(w http.ResponseWriter)
	}{
		{"refused", func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }},
		{"answer to another request", func(w http.ResponseWriter) { _, _ = io.WriteString(w, `{"Id":"x2"}`) }},
		{"truncated", func(w http.ResponseWriter) { _, _ = io.WriteString(w, `{"Id":"x`) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			url, stop := startTarget(t, &fakeNode{answerNested: c.answerNested})
			status, _ := post(t, url+"/book", "token-1")
			assert.Equal(t, status, http.StatusBadGateway)
			assert.Equal(t, stop()[0].Result, record.ResultFailed)
		})
	}
}

func post(t *testing.T, url, token string) (int, []byte) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"Id":"x1"}`))
	assert.NilError(t, err)
	req.Header.Set(header.Context, token)
	req.Header.Set(header.Workspace, "north")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, body
}

// freeAddress returns a host:port on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.200.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// waitFor polls condition every 10 ms for up to 5 s.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition did not hold within 5 s")
}
