package peer

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/frame"
	"github.com/greengagewind/greengagewind/gage/protocol/wire"
	"github.com/greengagewind/greengagewind/gage/state/echo"
	"github.com/greengagewind/greengagewind/gage/transport/trace"
)

// LocalRunner runs calls at the targets on this node's VM.
type LocalRunner interface {
	Run(ctx context.Context, target string, c gage.Call) gage.Result
}

// Forwarder implements gage.Forwarder. It runs calls for local targets through a
// LocalRunner and sends all others to the node on the target's VM.
type Forwarder struct {
	pool   *Pool
	local  LocalRunner
	clock  gage.Clock
	stamps *echo.Cache
}

// NewForwarder returns a forwarder that uses the connections of pool.
func NewForwarder(pool *Pool, local LocalRunner, clock gage.Clock) *Forwarder {
	return &Forwarder{pool: pool, local: local, clock: clock, stamps: echo.New()}
}

// Forward sends c to the node at choice.PeerAddress, or runs it on this node if
// the target is local.
func (f *Forwarder) Forward(ctx context.Context, choice gage.Choice, c gage.Call) gage.Result {
	if choice.Local {
		return f.local.Run(ctx, choice.Target, c)
	}
	conn, err := f.pool.Conn(choice.PeerAddress)
	if err != nil {
		return failedResult(gage.OutcomeNotRun, gage.ReasonPeerFailed, err)
	}
	client := wire.NewForwarderClient(conn)
	result := f.forward(ctx, client, choice, c)
	if result.Reason == reasonUndated {
		// The call did not run, so one retry is safe. The refusal carried a current
		// stamp of the receiver, from which the age of the retry can be determined.
		result = f.forward(ctx, client, choice, c)
	}
	if result.Reason == reasonUndated {
		result.Reason = gage.ReasonStaleDecision
	}
	return result
}

// reasonUndated is used only between nodes. The receiver refuses a request for this
// reason in two cases: the request echoes no stamp of the receiver, so that its age
// is unknown, or the request may have arrived after its AdmitBy.
const reasonUndated gage.Reason = "Undated"

func (f *Forwarder) forward(ctx context.Context, client wire.ForwarderClient, choice gage.Choice, c gage.Call) gage.Result {
	now := f.clock.Now()
	if now.After(c.AdmitBy) {
		return failedResult(gage.OutcomeNotRun, gage.ReasonStaleDecision, status.Error(codes.DeadlineExceeded, "the decisions made for the request have expired"))
	}
	request := frame.Request(now, c, choice.Target)
	request.TraceParent = trace.Parent(ctx)
	stamp := f.stamps.Echo(now, choice.PeerAddress)
	request.EchoProcess = stamp.Process
	request.EchoMicros = stamp.Micros
	request.EchoHeldMicros = stamp.Held.Microseconds()
	callContext, sent := withSentFlag(ctx)
	reply, err := client.Forward(callContext, request)
	if err != nil {
		return rpcFailure(ctx, sent.Load(), err)
	}
	f.stamps.Put(f.clock.Now(), choice.PeerAddress, echo.Stamp{
		Process: reply.GetStampProcess(),
		Micros:  reply.GetStampMicros(),
	})
	if reply.GetRequestId() != c.RequestID {
		return failedResult(gage.OutcomeUnknown, gage.ReasonPeerFailed, status.Error(codes.DataLoss, "the reply has the ID of another request"))
	}
	return frame.Result(reply)
}

// rpcFailure returns the result of a gRPC call that failed with err. Its outcome
// is NotRun only if the request was not handed to a connection.
func rpcFailure(ctx context.Context, sent bool, err error) gage.Result {
	outcome := gage.OutcomeNotRun
	if sent {
		outcome = gage.OutcomeUnknown
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failedResult(outcome, gage.ReasonDeadline, err)
	case ctx.Err() != nil:
		return failedResult(outcome, gage.ReasonCanceled, err)
	}
	return failedResult(outcome, gage.ReasonPeerFailed, err)
}

// errorCause describes err for the caller of the request. It leaves out network
// addresses.
func errorCause(err error) string {
	if code := status.Code(err); code != codes.Unknown {
		return code.String()
	}
	return "no connection"
}

func failedResult(outcome gage.Outcome, reason gage.Reason, err error) gage.Result {
	return gage.Result{Outcome: outcome, Reason: reason, Detail: "The node on the target's VM could not be reached or did not answer: " + errorCause(err) + "."}
}

// ForwardServer runs calls that other nodes forward to this one.
type ForwardServer struct {
	wire.UnimplementedForwarderServer
	local     LocalRunner
	clock     gage.Clock
	process   string
	startedAt time.Time
}

// RegisterForward registers a ForwardServer on server. process identifies this
// process by its VM and start time and is never reused, so that a stamp of an
// earlier process is recognized.
func RegisterForward(server *grpc.Server, local LocalRunner, clock gage.Clock, process string) {
	wire.RegisterForwarderServer(server, &ForwardServer{
		local:     local,
		clock:     clock,
		process:   process,
		startedAt: clock.Now(),
	})
}

// Forward runs a call at a target on this node's VM. The reply carries a new
// stamp of this process.
func (s *ForwardServer) Forward(ctx context.Context, m *wire.ForwardRequest) (*wire.ForwardReply, error) {
	if m.GetRequestId() == "" || m.GetTarget() == "" {
		return nil, status.Error(codes.InvalidArgument, "RequestId and Target are required")
	}
	reply := frame.Reply(m.GetRequestId(), s.run(ctx, m))
	stamp := s.stamp(s.clock.Now())
	reply.StampProcess = stamp.Process
	reply.StampMicros = stamp.Micros
	return reply, nil
}

func (s *ForwardServer) run(ctx context.Context, m *wire.ForwardRequest) gage.Result {
	now := s.clock.Now()
	age, ageKnown := echo.MaxAge(s.stamp(now), echo.Echo{
		Stamp: echo.Stamp{Process: m.GetEchoProcess(), Micros: m.GetEchoMicros()},
		Held:  time.Duration(m.GetEchoHeldMicros()) * time.Microsecond,
	})
	call := frame.Call(now, age, m)
	if !ageKnown || now.After(call.AdmitBy) {
		return gage.Result{
			Outcome:     gage.OutcomeNotRun,
			Reason:      reasonUndated,
			Detail:      "The request had expired, or its age could not be determined.",
			RetryBudget: call.RetryBudget,
		}
	}
	ctx, span := trace.Hop(ctx, "Host", m.GetTraceParent())
	result := s.local.Run(ctx, m.GetTarget(), call)
	span.End(m.GetRequestId(), result)
	return result
}

func (s *ForwardServer) stamp(now time.Time) echo.Stamp {
	return echo.Stamp{Process: s.process, Micros: now.Sub(s.startedAt).Microseconds()}
}
