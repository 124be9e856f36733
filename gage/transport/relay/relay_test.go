package relay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/transport/clock"
	"github.com/greengagewind/greengagewind/gage/transport/relay"
)

const callTimeout = time.Minute

func newPost(body string) gage.Call {
	now := time.Now()
	return gage.Call{
		RequestID: "vm.1",
		Attempt:   1,
		Method:    http.MethodPost,
		Path:      "/custody/lodge",
		Body:      []byte(body),
		Deadline:  now.Add(callTimeout),
		AdmitBy:   now.Add(callTimeout),
	}
}

// startTarget starts a target that writes answers[n] as the answer to request n,
// counted from 0 over all connections. If that answer is empty or missing, it
// closes the connection instead. startTarget also returns the number of requests
// received.
func startTarget(t *testing.T, answers ...string) (address string, requests *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	requests = new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConn(conn, requests, answers)
		}
	}()
	return listener.Addr().String(), requests
}

func serveConn(conn net.Conn, requests *atomic.Int64, answers []string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		n := requests.Add(1)
		if int(n) > len(answers) || answers[n-1] == "" {
			return
		}
		if _, err := io.WriteString(conn, answers[n-1]); err != nil {
			return
		}
	}
}

const completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestSendReturnsCompleteAnswer(t *testing.T) {
	address, _ := startTarget(t, completeAnswer)
	r := relay.New(clock.System{})
	defer r.Close()
	result := r.Send(context.Background(), address, "token", newPost("x"))
	assert.Equal(t, result.Outcome, gage.OutcomeRan)
	assert.Equal(t, result.Status, http.StatusOK)
	assert.Equal(t, string(result.Body), "ok")
}

func TestRequestOnBrokenIdleConnectionIsNotReplayed(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, body := range []string{"", "x"} {
			t.Run(method+body, func(t *testing.T) {
				address, requests := startTarget(t, completeAnswer, "", completeAnswer)
				r := relay.New(clock.System{})
				defer r.Close()
				call := newPost(body)
				call.Method = method
				call.Header = []gage.Header{{Name: "Idempotency-Key", Value: "k"}}
				first := r.Send(context.Background(), address, "token", call)
				assert.Equal(t, first.Outcome, gage.OutcomeRan)
				second := r.Send(context.Background(), address, "token", call)
				assert.Equal(t, second.Outcome, gage.OutcomeUnknown)
				assert.Equal(t, requests.Load(), int64(2))
			})
		}
	}
}

func TestTruncatedAnswerHasUnknownOutcome(t *testing.T) {
	cases := map[string]string{
		"short":     "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok",
		"chunked":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
		"no length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok",
		"header":    "HTTP/1.1 200 OK\r\nContent-",
	}
	for name, truncated := range cases {
		t.Run(name, func(t *testing.T) {
			address := startClosingTarget(t, truncated)
			r := relay.New(clock.System{})
			defer r.Close()
			result := r.Send(context.Background(), address, "token", newPost("x"))
			assert.Equal(t, result.Outcome, gage.OutcomeUnknown)
			assert.Equal(t, result.Status, 0)
		})
	}
}

// startClosingTarget starts a target that takes one request, writes answer and
// closes the connection.
func startClosingTarget(t *testing.T, answer string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, answer)
		}
		_ = conn.Close()
	}()
	return listener.Addr().String()
}

func TestExpiredRequestIsNotSent(t *testing.T) {
	address, requests := startTarget(t, completeAnswer)
	r := relay.New(clock.System{})
	defer r.Close()
	call := newPost("x")
	call.AdmitBy = time.Now().Add(-time.Millisecond)
	result := r.Send(context.Background(), address, "token", call)
	assert.Equal(t, result.Outcome, gage.OutcomeNotRun)
	assert.Equal(t, result.Reason, gage.ReasonStaleDecision)
	assert.Equal(t, requests.Load(), int64(0))
}

func TestUnreachableTargetIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	r := relay.New(clock.System{})
	defer r.Close()
	result := r.Send(context.Background(), address, "token", newPost("x"))
	assert.Equal(t, result.Outcome, gage.OutcomeNotRun)
}

func TestRefusalByTargetIsNotRun(t *testing.T) {
	address, _ := startTarget(t, "HTTP/1.1 503 Service Unavailable\r\nGage-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
	r := relay.New(clock.System{})
	defer r.Close()
	result := r.Send(context.Background(), address, "token", newPost("x"))
	assert.Equal(t, result.Outcome, gage.OutcomeNotRun)
	assert.Equal(t, result.Reason, gage.ReasonOverload)
}

// A target wrote an earlier refusal once more on a kept connection, and it was taken for the
// answer to the next request, which the target ran.
func TestRepeatedRefusalRefusesNoOtherRequest(t *testing.T) {
	refusal := func(id, attempt string) string {
		head := "HTTP/1.1 503 Service Unavailable\r\nGage-Not-Run: true\r\n"
		if id != "" {
			head += "Gage-Request-Id: " + id + "\r\n"
		}
		if attempt != "" {
			head += "Gage-Attempt: " + attempt + "\r\n"
		}
		return head + "Content-Length: 0\r\n\r\n"
	}
	cases := map[string]struct {
		answer string
		want   gage.Outcome
	}{
		"refusal of the request":               {refusal("vm.2", "1"), gage.OutcomeNotRun},
		"refusal of the request, no attempt":   {refusal("vm.2", ""), gage.OutcomeNotRun},
		"refusal of the earlier request":       {refusal("vm.1", "1"), gage.OutcomeUnknown},
		"refusal of an earlier attempt":        {refusal("vm.2", "0"), gage.OutcomeUnknown},
		"refusal that does not say of what":    {refusal("", ""), gage.OutcomeUnknown},
		"answer to the earlier request":        {"HTTP/1.1 200 OK\r\nGage-Request-Id: vm.1\r\nContent-Length: 2\r\n\r\nok", gage.OutcomeUnknown},
		"answer that does not say to what":     {completeAnswer, gage.OutcomeRan},
		"answer to the request, with its name": {"HTTP/1.1 200 OK\r\nGage-Request-Id: vm.2\r\nContent-Length: 2\r\n\r\nok", gage.OutcomeRan},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address, _ := startTarget(t, refusal("", ""), c.answer, completeAnswer)
			r := relay.New(clock.System{})
			defer r.Close()
			assert.Equal(t, r.Send(t.Context(), address, "token", newPost("x")).Outcome, gage.OutcomeNotRun)
			call := newPost("x")
			call.RequestID = "vm.2"
			assert.Equal(t, r.Send(t.Context(), address, "token", call).Outcome, c.want)
			assert.Equal(t, r.Send(t.Context(), address, "token", newPost("x")).Outcome, gage.OutcomeRan)
		})
	}
}

func TestServerErrorsDoNotTripACircuitBreaker(t *testing.T) {
	const failures = 200
	failure := "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	answers := strings.Split(strings.TrimSuffix(strings.Repeat(failure+"|", failures), "|"), "|")
	address, requests := startTarget(t, answers...)
	r := relay.New(clock.System{})
	defer r.Close()
	for range failures {
		result := r.Send(context.Background(), address, "token", newPost("x"))
		assert.Equal(t, result.Outcome, gage.OutcomeRan)
	}
	assert.Equal(t, requests.Load(), int64(failures))
}

// A target stopped in the middle of the head of its answer and closed the connection.
func TestHeadCutOffAnywhereIsUnknown(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nGage-Request-Id: vm.1\r\nContent-Length: 2\r\n\r\n"
	for length := range len(head) {
		address := startClosingTarget(t, head[:length])
		r := relay.New(clock.System{})
		result := r.Send(t.Context(), address, "token", newPost("x"))
		r.Close()
		assert.Equal(t, result.Outcome, gage.OutcomeUnknown, "%q", head[:length])
	}
}
