package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage/protocol/header"
	"github.com/greengagewind/greengagewind/stand/command"
	"github.com/greengagewind/greengagewind/stand/load"
	"github.com/greengagewind/greengagewind/stand/record"
)

const plan = `
Timeout = "1s"
MaxInFlight = 100

[[Workspace]]
Name = "north"
Rate = 200

[[Workspace.Request]]
Name = "book"
Method = "POST"
Path = "/book"
Weight = 1

[[Phase]]
Name = "one"
Role = "Plain"
Duration = "200ms"
Factor = 1
`

const config = `
[[Workspace]]
Name = "north"
Rate = 1000
Burst = 100
`

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestArrivalsAreDeterministicForASeed(t *testing.T) {
	p := &load.Plan{
		Workspace: []load.Workspace{{Name: "north", Rate: 100, Request: []load.Request{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}}}},
		Phase: []load.Phase{
			{Name: "slow", Duration: load.Duration(10 * time.Second), Factor: 1},
			{Name: "fast", Duration: load.Duration(10 * time.Second), Factor: 1, Factors: map[string]float64{"north": 4}},
			{Name: "none", Duration: load.Duration(10 * time.Second), Factor: 0},
		},
	}
	arrivals, sameSeedArrivals := allArrivals(p, 5), allArrivals(p, 5)
	assert.DeepEqual(t, arrivals, sameSeedArrivals)
	arrivalsByPhase := make(map[string]int)
	arrivalsByRequest := make(map[string]int)
	for _, arrival := range arrivals {
		arrivalsByPhase[arrival.Phase]++
		arrivalsByRequest[arrival.Request.Name]++
	}
	assert.Assert(t, arrivalsByPhase["slow"] > 900 && arrivalsByPhase["slow"] < 1100)
	assert.Assert(t, arrivalsByPhase["fast"] > 3800 && arrivalsByPhase["fast"] < 4200)
	assert.Equal(t, arrivalsByPhase["none"], 0)
	assert.Assert(t, arrivalsByRequest["b"] > 2*arrivalsByRequest["a"])
}

func allArrivals(p *load.Plan, seed uint64) []load.Arrival {
	arrivals := load.NewArrivals(p, 0, 3, seed)
	var all []load.Arrival
	for {
		arrival, ok := arrivals.Next()
		if !ok {
			return all
		}
		all = append(all, arrival)
	}
}

func TestReadPlanRefusesUnknownFieldsAndRoles(t *testing.T) {
	_, err := load.ReadPlan(writeFile(t, "plan.toml", plan+"Rool = 1\n"))
	assert.ErrorContains(t, err, "read plan")
	_, err = load.ReadPlan(writeFile(t, "plan.toml", plan+"\n[[Phase]]\nName = \"x\"\nRole = \"Later\"\nDuration = \"1s\"\n"))
	assert.ErrorContains(t, err, `Role "Later"`)
}

// sendPlan sends the plan with one retry to a handler and returns the attempts
// and the error of load.Run.
func sendPlan(t *testing.T, h http.HandlerFunc) ([]record.Sent, error) {
	t.Helper()
	server := httptest.NewServer(h)
	defer server.Close()
	log := filepath.Join(t.TempDir(), "load.jsonl")
	err := load.Run(context.Background(), &load.Options{
		Plan: writeFile(t, "plan.toml", plan), Config: writeFile(t, "config.toml", config),
		Keys:    writeFile(t, "keys", "# for tests\nnorth the-key\n"),
		Entries: []string{server.URL}, Retries: 1, Seed: 3, Log: log,
		Streams: command.Streams{Out: io.Discard, Err: io.Discard},
	})
	sent, readErr := record.ReadSent(log)
	assert.NilError(t, readErr)
	assert.Assert(t, len(sent) > 0)
	return sent, err
}

// echo answers with the body of the request, which contains its ID.
func echo(w http.ResponseWriter, r *http.Request) {
	var body bytes.Buffer
	_, _ = body.ReadFrom(r.Body)
	w.Header().Set(header.Outcome, "Ran")
	_, _ = w.Write(body.Bytes())
}

func TestRunCountsOnlyWholeAnswersToTheRequest(t *testing.T) {
	sent, err := sendPlan(t, echo)
	assert.NilError(t, err)
	for _, attempt := range sent {
		assert.Assert(t, attempt.Whole && attempt.Last && attempt.Attempt == 1)
	}
	sent, err = sendPlan(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"Id":"other"}`) })
	assert.ErrorContains(t, err, "crossed")
	assert.Equal(t, sent[0].Violation, record.ViolationCrossed)
	sent, err = sendPlan(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"Id":"nor`) })
	assert.ErrorContains(t, err, "truncated")
	assert.Equal(t, sent[0].Violation, record.ViolationTruncated)
}

func TestRunRetriesWithTheSameIDAndKey(t *testing.T) {
	var wrongRequests, receivedRequests atomic.Int64
	sent, err := sendPlan(t, func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			ID string `json:"Id"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		if body.ID == "" || body.ID != r.Header.Get(header.IdempotencyKey) || r.Header.Get(header.Authorization) != "Bearer the-key" {
			wrongRequests.Add(1)
		}
		receivedRequests.Add(1)
		w.Header().Set(header.Outcome, "NotRun")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"Reason":"Overload"}`)
	})
	assert.NilError(t, err)
	assert.Equal(t, wrongRequests.Load(), int64(0))
	assert.Equal(t, receivedRequests.Load(), int64(len(sent)))
	attemptCounts := make(map[string]int)
	for _, attempt := range sent {
		attemptCounts[attempt.ID]++
		assert.Equal(t, attempt.Reason, "Overload")
		assert.Equal(t, attempt.Last, attempt.Attempt == 2)
	}
	for id, count := range attemptCounts {
		assert.Equal(t, count, 2, id)
	}
}

func TestRunReportsABrokenConnectionAsUnknown(t *testing.T) {
	sent, err := sendPlan(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	assert.NilError(t, err)
	assert.Equal(t, sent[0].Outcome, "Unknown")
	assert.Equal(t, sent[0].Reason, "Transport")
}

// TestRunNeverReportsNotRunForAReceivedRequest guards against reporting NotRun
// for a request that a node received. The node stops while it handles a GET
// request on a reused connection; net/http then retries the request itself, and
// this retry fails to connect.
func TestRunNeverReportsNotRunForAReceivedRequest(t *testing.T) {
	lookupPlan := strings.ReplaceAll(strings.ReplaceAll(plan, `Method = "POST"`, `Method = "GET"`), "200ms", "500ms")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var mu sync.Mutex
	receivedIDs := make(map[string]bool)
	knownClients := make(map[string]bool)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		id := r.URL.Query().Get("Id")
		receivedIDs[id] = true
		isReused := knownClients[r.RemoteAddr]
		knownClients[r.RemoteAddr] = true
		mu.Unlock()
		if isReused {
			_ = listener.Close()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(header.Outcome, "Ran")
		_, _ = io.WriteString(w, `{"Id":"`+id+`"}`)
	})}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	log := filepath.Join(t.TempDir(), "load.jsonl")
	assert.NilError(t, load.Run(context.Background(), &load.Options{
		Plan: writeFile(t, "plan.toml", lookupPlan), Config: writeFile(t, "config.toml", config),
		Entries: []string{"http://" + listener.Addr().String()}, Seed: 3, Log: log,
		Streams: command.Streams{Out: io.Discard, Err: io.Discard},
	}))
	sent, err := record.ReadSent(log)
	assert.NilError(t, err)
	unknownOutcomes := 0
	for _, attempt := range sent {
		if attempt.Outcome == "Unknown" {
			unknownOutcomes++
		}
		assert.Assert(t, attempt.Outcome != "NotRun" || !receivedIDs[attempt.ID], "%+v", attempt)
	}
	assert.Assert(t, unknownOutcomes > 0)
}

func TestCopiesOfARequestHaveItsID(t *testing.T) {
	planWithCopies := strings.ReplaceAll(plan, "Weight = 1\n", "Weight = 1\nCopies = 2\n")
	server := httptest.NewServer(http.HandlerFunc(echo))
	defer server.Close()
	log := filepath.Join(t.TempDir(), "load.jsonl")
	assert.NilError(t, load.Run(context.Background(), &load.Options{
		Plan: writeFile(t, "plan.toml", planWithCopies), Config: writeFile(t, "config.toml", config),
		Entries: []string{server.URL, server.URL + "/"}, Seed: 3, Log: log,
		Streams: command.Streams{Out: io.Discard, Err: io.Discard},
	}))
	sent, err := record.ReadSent(log)
	assert.NilError(t, err)
	attemptCounts := make(map[string]int)
	for _, attempt := range sent {
		attemptCounts[attempt.ID]++
	}
	assert.Assert(t, len(attemptCounts) > 0)
	for id, count := range attemptCounts {
		assert.Equal(t, count, 3, id)
	}
}
