package peer_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/transport/peer"
)

// shiftedClock is the system clock plus an offset that advance increases.
type shiftedClock struct {
	mu     sync.Mutex
	offset time.Duration
}

func (c *shiftedClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.offset)
}

func (c *shiftedClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset += d
}

// recordingRunner is a LocalRunner that records its calls. Each call also invokes
// run, if set.
type recordingRunner struct {
	mu    sync.Mutex
	calls []gage.Call
	run   func(ctx context.Context)
}

func (r *recordingRunner) Run(ctx context.Context, _ string, c gage.Call) gage.Result {
	r.mu.Lock()
	r.calls = append(r.calls, c)
	r.mu.Unlock()
	if r.run != nil {
		r.run(ctx)
	}
	return gage.Result{Outcome: gage.OutcomeRan, Status: 200, Body: []byte(c.RequestID)}
}

func (r *recordingRunner) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls)
}

func serveForward(t *testing.T, runner *recordingRunner, clock gage.Clock) (string, *grpc.Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	peer.RegisterForward(server, runner, clock, "b1@1")
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String(), server
}

func newCall(now time.Time) gage.Call {
	return gage.Call{RequestID: "a1.x", Attempt: 1, Deadline: now.Add(time.Minute), AdmitBy: now.Add(time.Second), RetryBudget: 1}
}

func newForwarder(t *testing.T, clock gage.Clock) *peer.Forwarder {
	t.Helper()
	pool := peer.NewPool()
	t.Cleanup(pool.Close)
	return peer.NewForwarder(pool, &recordingRunner{}, clock)
}

func TestFirstForwardIsRetriedWithAStamp(t *testing.T) {
	clock := &shiftedClock{}
	runner := &recordingRunner{}
	address, _ := serveForward(t, runner, clock)
	f := newForwarder(t, clock)
	result := f.Forward(context.Background(), gage.Choice{PeerAddress: address, Target: "t"}, newCall(clock.Now()))
	assert.Equal(t, result.Outcome, gage.OutcomeRan)
	assert.Equal(t, string(result.Body), "a1.x")
	assert.Equal(t, runner.count(), 1)
}

// A receiver whose process was paused reads a request late from its buffers. The
// test simulates the pause by advancing the receiver's clock. The receiver must
// refuse the request, since it may have expired; the sender then retries with the
// receiver's new stamp.
func TestRequestReadAfterPauseIsRetriedWithANewStamp(t *testing.T) {
	sender, receiver := &shiftedClock{}, &shiftedClock{}
	runner := &recordingRunner{}
	address, _ := serveForward(t, runner, receiver)
	f := newForwarder(t, sender)
	choice := gage.Choice{PeerAddress: address, Target: "t"}
	assert.Equal(t, f.Forward(context.Background(), choice, newCall(sender.Now())).Outcome, gage.OutcomeRan)
	receiver.advance(10 * time.Second)
	call := newCall(sender.Now())
	call.AdmitBy = sender.Now().Add(500 * time.Millisecond)
	result := f.Forward(context.Background(), choice, call)
	assert.Equal(t, result.Outcome, gage.OutcomeRan, "the retry echoes the new stamp")
	assert.Equal(t, runner.count(), 2)
	remaining := runner.calls[1].AdmitBy.Sub(receiver.Now())
	assert.Assert(t, remaining <= 500*time.Millisecond)
}

func TestForwardToUnreachablePeerIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	clock := &shiftedClock{}
	result := newForwarder(t, clock).Forward(context.Background(), gage.Choice{PeerAddress: address, Target: "t"}, newCall(clock.Now()))
	assert.Equal(t, result.Outcome, gage.OutcomeNotRun)
	assert.Equal(t, result.Reason, gage.ReasonPeerFailed)
}

func TestPeerStoppedAfterSendHasUnknownOutcome(t *testing.T) {
	clock := &shiftedClock{}
	started := make(chan struct{})
	runner := &recordingRunner{run: func(ctx context.Context) {
		close(started)
		<-ctx.Done()
	}}
	address, server := serveForward(t, runner, clock)
	go func() {
		<-started
		server.Stop()
	}()
	result := newForwarder(t, clock).Forward(context.Background(), gage.Choice{PeerAddress: address, Target: "t"}, newCall(clock.Now()))
	assert.Equal(t, result.Outcome, gage.OutcomeUnknown)
	assert.Equal(t, runner.count(), 1)
}
