// Package frame converts calls and results to and from the protobuf messages
// that nodes exchange. A message holds the time left until each deadline, since
// the clocks of two nodes may differ.
package frame

import (
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/wire"
)

// Request returns the message that forwards an attempt of c to target. The
// remaining times in it are counted from now.
func Request(now time.Time, c gage.Call, target string) *wire.ForwardRequest {
	return &wire.ForwardRequest{
		RequestId:      c.RequestID,
		RootId:         c.RootID,
		Attempt:        int32(c.Attempt),
		Depth:          int32(c.Depth),
		Workspace:      c.Workspace,
		Route:          c.Route,
		Service:        c.Service,
		Importance:     string(c.Importance),
		Idempotent:     c.Idempotent,
		RetryAttempt:   c.AfterUnknownOutcome,
		Method:         c.Method,
		Path:           c.Path,
		Header:         headersToWire(c.Header),
		Body:           c.Body,
		DeadlineMicros: c.Deadline.Sub(now).Microseconds(),
		AdmitByMicros:  c.AdmitBy.Sub(now).Microseconds(),
		RetryBudget:    int32(c.RetryBudget),
		TraceParent:    c.TraceParent,
		Target:         target,
	}
}

// Call returns the call in m. m holds the time that was left until Deadline and
// AdmitBy when it was sent, and age is the time since then. If age is not
// underestimated, neither time is later than at the sender.
func Call(now time.Time, age time.Duration, m *wire.ForwardRequest) gage.Call {
	sentAt := now.Add(-age)
	return gage.Call{
		RequestID:           m.GetRequestId(),
		RootID:              m.GetRootId(),
		Attempt:             int(m.GetAttempt()),
		Depth:               int(m.GetDepth()),
		Workspace:           m.GetWorkspace(),
		Route:               m.GetRoute(),
		Service:             m.GetService(),
		Importance:          gage.Importance(m.GetImportance()),
		Idempotent:          m.GetIdempotent(),
		AfterUnknownOutcome: m.GetRetryAttempt(),
		Method:              m.GetMethod(),
		Path:                m.GetPath(),
		Header:              headersFromWire(m.GetHeader()),
		Body:                m.GetBody(),
		Deadline:            sentAt.Add(micros(m.GetDeadlineMicros())),
		AdmitBy:             sentAt.Add(micros(m.GetAdmitByMicros())),
		RetryBudget:         int(m.GetRetryBudget()),
		TraceParent:         m.GetTraceParent(),
	}
}

// Reply returns the message that carries r, the result of the request requestID.
func Reply(requestID string, r gage.Result) *wire.ForwardReply {
	return &wire.ForwardReply{
		Outcome:          string(r.Outcome),
		Reason:           string(r.Reason),
		Detail:           r.Detail,
		Status:           int32(r.Status),
		Header:           headersToWire(r.Header),
		Body:             r.Body,
		RetryAfterMicros: r.RetryAfter.Microseconds(),
		Target:           r.Target,
		VM:               r.VM,
		RetryBudget:      int32(r.RetryBudget),
		Nested:           r.NestedSideEffects,
		Load: &wire.LoadReport{
			Limit:         int32(r.Load.Limit),
			InFlight:      int32(r.Load.InFlight),
			Queued:        int32(r.Load.Queued),
			ShedRank:      int32(r.Load.ShedRank),
			LatencyMicros: r.Load.Latency.Microseconds(),
		},
		RequestId: requestID,
	}
}

// Result returns the result in m. Its Load is zero if m holds no load report.
func Result(m *wire.ForwardReply) gage.Result {
	load := m.GetLoad()
	return gage.Result{
		Outcome:           gage.Outcome(m.GetOutcome()),
		Reason:            gage.Reason(m.GetReason()),
		Detail:            m.GetDetail(),
		Status:            int(m.GetStatus()),
		Header:            headersFromWire(m.GetHeader()),
		Body:              m.GetBody(),
		RetryAfter:        micros(m.GetRetryAfterMicros()),
		Target:            m.GetTarget(),
		VM:                m.GetVM(),
		RetryBudget:       int(m.GetRetryBudget()),
		NestedSideEffects: m.GetNested(),
		Load: gage.Load{
			Limit:    int(load.GetLimit()),
			InFlight: int(load.GetInFlight()),
			Queued:   int(load.GetQueued()),
			ShedRank: int(load.GetShedRank()),
			Latency:  micros(load.GetLatencyMicros()),
		},
	}
}

func micros(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}

func headersToWire(lines []gage.Header) []*wire.HeaderLine {
	out := make([]*wire.HeaderLine, len(lines))
	for i, line := range lines {
		out[i] = &wire.HeaderLine{Name: line.Name, Value: line.Value}
	}
	return out
}

func headersFromWire(lines []*wire.HeaderLine) []gage.Header {
	out := make([]gage.Header, len(lines))
	for i, line := range lines {
		out[i] = gage.Header{Name: line.GetName(), Value: line.GetValue()}
	}
	return out
}
