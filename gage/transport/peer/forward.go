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

// LocalRunner runs calls at the targets beside this node.
type LocalRunner interface {
	Run(ctx context.Context, target string, c gage.Call) gage.Result
}

// Forwarder is the gage.Forwarder between nodes.
type Forwarder struct {
	pool   *Pool
	local  LocalRunner
	clock  gage.Clock
	stamps *echo.Cache
}

// NewForwarder returns a forwarder.
func NewForwarder(pool *Pool, local LocalRunner, clock gage.Clock) *Forwarder {
	return &Forwarder{pool: pool, local: local, clock: clock, stamps: echo.New()}
}

// Forward sends c to the choice's node, or runs it when the target is local.
func (f *Forwarder) Forward(ctx context.Context, choice gage.Choice, c gage.Call) gage.Result {
	if choice.Local {
		return f.local.Run(ctx, choice.Target, c)
	}
	conn, err := f.pool.Conn(choice.PeerAddress)
	if err != nil {
		return lost(gage.OutcomeNotRun, gage.ReasonPeerFailed, err)
	}
	client := wire.NewForwarderClient(conn)
	result := f.forward(ctx, client, choice, c)
	if result.Reason == reasonUndated {
		// Nothing ran, and the refusal brought the stamp that was missing.
		result = f.forward(ctx, client, choice, c)
	}
	if result.Reason == reasonUndated {
		result.Reason = gage.ReasonStaleDecision
	}
	return result
}

// reasonUndated passes between two forwarders only: the request came without
// a stamp of the receiver by which to date it.
const reasonUndated gage.Reason = "Undated"

func (f *Forwarder) forward(ctx context.Context, client wire.ForwarderClient, choice gage.Choice, c gage.Call) gage.Result {
	now := f.clock.Now()
	if now.After(c.AdmitBy) {
		return lost(gage.OutcomeNotRun, gage.ReasonStaleDecision, status.Error(codes.DeadlineExceeded, "the decisions are too old"))
	}
	request := frame.Request(now, c, choice.Target)
	request.TraceParent = trace.Parent(ctx)
	stamp := f.stamps.Echo(now, choice.PeerAddress)
	request.EchoProcess = stamp.Process
	request.EchoMicros = stamp.Micros
	request.EchoHeldMicros = stamp.Held.Microseconds()
	tagged, sent := withSent(ctx)
	reply, err := client.Forward(tagged, request)
	if err != nil {
		return failure(ctx, sent.Load(), err)
	}
	f.stamps.Put(f.clock.Now(), choice.PeerAddress, echo.Stamp{
		Process: reply.GetStampProcess(),
		Micros:  reply.GetStampMicros(),
	})
	if reply.GetRequestId() != c.RequestID {
		return lost(gage.OutcomeUnknown, gage.ReasonPeerFailed, status.Error(codes.DataLoss, "the answer belongs to another request"))
	}
	return frame.Result(reply)
}

// failure is NotRun only when nothing was handed to a connection.
func failure(ctx context.Context, sent bool, err error) gage.Result {
	outcome := gage.OutcomeNotRun
	if sent {
		outcome = gage.OutcomeUnknown
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return lost(outcome, gage.ReasonDeadline, err)
	case ctx.Err() != nil:
		return lost(outcome, gage.ReasonCanceled, err)
	}
	return lost(outcome, gage.ReasonPeerFailed, err)
}

// cause names an error without the addresses in it, since callers see it.
func cause(err error) string {
	if code := status.Code(err); code != codes.Unknown {
		return code.String()
	}
	return "no connection"
}

func lost(outcome gage.Outcome, reason gage.Reason, err error) gage.Result {
	return gage.Result{Outcome: outcome, Reason: reason, Detail: "The node beside the target was not heard: " + cause(err) + "."}
}

// ForwardServer takes calls from other nodes.
type ForwardServer struct {
	wire.UnimplementedForwarderServer
	local     LocalRunner
	clock     gage.Clock
	process   string
	startedAt time.Time
}

// RegisterForward serves calls from other nodes on server. Process names this
// process among all that ever were: its VM and start time.
func RegisterForward(server *grpc.Server, local LocalRunner, clock gage.Clock, process string) {
	wire.RegisterForwarderServer(server, &ForwardServer{
		local:     local,
		clock:     clock,
		process:   process,
		startedAt: clock.Now(),
	})
}

// Forward runs one call beside this node.
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
	late, known := echo.MaxAge(s.stamp(now), echo.Echo{
		Stamp: echo.Stamp{Process: m.GetEchoProcess(), Micros: m.GetEchoMicros()},
		Held:  time.Duration(m.GetEchoHeldMicros()) * time.Microsecond,
	})
	call := frame.Call(now, late, m)
	if !known || now.After(call.AdmitBy) {
		return gage.Result{
			Outcome:     gage.OutcomeNotRun,
			Reason:      reasonUndated,
			Detail:      "The request was too old, or could not be dated.",
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
