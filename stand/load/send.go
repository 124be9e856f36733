package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/header"
	"github.com/greengagewind/greengagewind/stand/record"
)

// answerGrace is how long a caller waits for an answer after the deadline of the
// request, so that the fleet's answer to a request that missed its deadline can
// still arrive.
const answerGrace = 250 * time.Millisecond

// sender sends requests and their retries.
type sender struct {
	client *http.Client
	// entryURLs holds the base URLs of the nodes' listeners for callers.
	entryURLs []string
	// timeout is the time from the planned arrival of a request to its deadline.
	timeout time.Duration
	// record is called with each attempt, from many goroutines.
	record func(record.Sent)
}

// request is one request of a caller.
type request struct {
	id        string
	workspace string
	key       string
	phase     string
	spec      Request
	// retries is the number of immediate retries if the request fails.
	retries int
	// arrived is the planned arrival time.
	arrived time.Time
	// entry is the index in sender.entryURLs of the node that gets the first
	// attempt.
	entry int
	// directURL is the base URL of the target that gets the request instead of a
	// node. It is "" if a node gets the request.
	directURL string
}

// send sends a request until it gets a whole answer, its retries are used up or
// its deadline has passed. A direct request is sent once. Each attempt goes to the
// entry after that of the previous attempt. If no connection could be opened, the
// next attempt does not use up a retry; this applies at most once for each entry
// other than the first.
func (s *sender) send(r request) {
	deadline := r.arrived.Add(s.timeout)
	attemptsLeft := 1 + r.retries
	failoversLeft := len(s.entryURLs) - 1
	for number := 1; ; number++ {
		baseURL := r.directURL
		if baseURL == "" {
			baseURL = s.entryURLs[(r.entry+number-1)%len(s.entryURLs)]
		}
		sent := s.attempt(r, baseURL, number, deadline)
		attemptsLeft--
		if sent.Reason == reasonNoConnection && failoversLeft > 0 {
			failoversLeft--
			attemptsLeft++
		}
		sent.Last = sent.Whole || r.directURL != "" || attemptsLeft < 1 || !time.Now().Before(deadline)
		s.record(sent)
		if sent.Last {
			return
		}
	}
}

func (s *sender) attempt(r request, baseURL string, number int, deadline time.Time) record.Sent {
	sent := record.Sent{
		ID: r.id, Workspace: r.workspace, Phase: r.phase,
		Route: r.spec.Name, Method: r.spec.Method, Path: r.spec.Path, Idempotent: r.spec.Idempotent,
		Keyed: r.key != "", Entry: baseURL, Direct: r.directURL != "", Attempt: number,
		ArrivalMicros: r.arrived.UnixMicro(),
	}
	now := time.Now()
	sent.SentMicros = now.UnixMicro()
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(answerGrace))
	defer cancel()
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }})
	req, err := newRequest(ctx, r, baseURL, deadline.Sub(now))
	if err != nil {
		recordFailure(&sent, err, reasonTransport, false)
		return sent
	}
	s.exchange(&sent, req, &written)
	received := time.Now()
	sent.ReceivedMicros = received.UnixMicro()
	if sent.Whole && received.After(deadline) {
		sent.Whole = false
	}
	return sent
}

// exchange sends req and fills in sent from the answer or the error. Package
// net/http by itself retries a GET request when a reused connection breaks, so a
// request may be written to several connections. Flag written is true once the
// request was written to any of them.
func (s *sender) exchange(sent *record.Sent, req *http.Request, written *atomic.Bool) {
	resp, err := s.client.Do(req)
	if err != nil {
		recordFailure(sent, err, reasonTransport, written.Load())
		return
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, gage.MaxBodyBytes+1))
	if err != nil {
		recordFailure(sent, err, reasonBrokenBody, true)
		return
	}
	recordAnswer(sent, resp, text)
}

func newRequest(ctx context.Context, r request, baseURL string, timeLeft time.Duration) (*http.Request, error) {
	address := strings.TrimSuffix(baseURL, "/") + r.spec.Path
	var content io.Reader
	if r.spec.Method == http.MethodGet {
		address += "?Id=" + url.QueryEscape(r.id)
	} else {
		text, err := json.Marshal(struct {
			ID string `json:"Id"`
		}{r.id})
		if err != nil {
			return nil, err
		}
		content = strings.NewReader(string(text))
	}
	req, err := http.NewRequestWithContext(ctx, r.spec.Method, address, content)
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http cannot retry a request with a body by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(header.TimeoutMillis, strconv.FormatInt(max(1, timeLeft.Milliseconds()), 10))
	if r.key != "" && r.directURL == "" {
		req.Header.Set(header.Authorization, "Bearer "+r.key)
	}
	if !r.spec.Idempotent {
		req.Header.Set(header.IdempotencyKey, r.id)
	}
	return req, nil
}
