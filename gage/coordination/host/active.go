package host

import (
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
	"github.com/greengagewind/greengagewind/gage/state/retry"
)

// tokenBytes is the number of random bytes in a token, which must be
// impossible to guess.
const tokenBytes = 16

// ActiveCall is a call in flight at a target on this VM. It is safe for
// concurrent use.
type ActiveCall struct {
	Call gage.Call
	// Target is the name of the target that runs the call.
	Target string
	// Budget is the retry budget that the call and its nested calls share.
	Budget *retry.Budget

	mu sync.Mutex
	// hasSideEffects is set once a non-idempotent nested call ran or may have run.
	hasSideEffects bool
	// hasShedNestedCall is set once a nested call was refused for overload.
	hasShedNestedCall bool
	// openNested is the number of nested calls that have begun but not ended.
	openNested int
	// openSince is when openNested last rose from 0.
	openSince time.Time
	// nestedTime is the total length of the periods during which openNested was
	// above 0. A period that has not ended is not included.
	nestedTime time.Duration
}

// BeginNested records that the target has begun a nested call.
func (c *ActiveCall) BeginNested(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openNested == 0 {
		c.openSince = now
	}
	c.openNested++
}

// EndNested records the result of a nested call. It must be called once for
// each BeginNested.
func (c *ActiveCall) EndNested(now time.Time, idempotent bool, r gage.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openNested--
	invar.Check(c.openNested >= 0, "NestedCallsEndOnce", "RequestID", c.Call.RequestID)
	if c.openNested == 0 {
		c.nestedTime += now.Sub(c.openSince)
	}
	c.hasSideEffects = c.hasSideEffects || r.NestedSideEffects || !idempotent && r.Outcome != gage.OutcomeNotRun
	c.hasShedNestedCall = c.hasShedNestedCall || r.Outcome == gage.OutcomeNotRun && isOverloadReason(r.Reason)
}

// isOverloadReason reports whether a call refused for reason was refused because
// of overload.
func isOverloadReason(reason gage.Reason) bool {
	switch reason {
	case gage.ReasonOverload, gage.ReasonQueueFull, gage.ReasonColdStart,
		gage.ReasonNestedOverload, gage.ReasonStaleDecision:
		return true
	default:
		return false
	}
}

// nestedSummary sums up the nested calls of one call.
type nestedSummary struct {
	// hasSideEffects is set if a non-idempotent nested call ran or may have run.
	hasSideEffects bool
	// hasShedCall is set if a nested call was refused for overload.
	hasShedCall bool
	// duration is the time during which at least one nested call was open.
	duration time.Duration
}

// nestedSummary returns the summary of the nested calls up to now.
func (c *ActiveCall) nestedSummary(now time.Time) nestedSummary {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := nestedSummary{hasSideEffects: c.hasSideEffects, hasShedCall: c.hasShedNestedCall, duration: c.nestedTime}
	if c.openNested > 0 {
		s.duration += now.Sub(c.openSince)
	}
	return s
}

// ActiveCalls maps context tokens to the calls in flight. A target gets a token
// with each call and sends it with the nested calls that it makes. The token is
// valid only while its call is in flight. Admission control bounds the number
// of entries.
type ActiveCalls struct {
	mu      sync.Mutex
	byToken map[string]*ActiveCall
}

// NewActiveCalls returns an empty table.
func NewActiveCalls() *ActiveCalls {
	return &ActiveCalls{byToken: make(map[string]*ActiveCall)}
}

// Begin adds a call and returns its new token.
func (a *ActiveCalls) Begin(c gage.Call, target string) (string, *ActiveCall) {
	token := newToken()
	active := &ActiveCall{Call: c, Target: target, Budget: retry.NewBudget(c.RetryBudget)}
	a.mu.Lock()
	defer a.mu.Unlock()
	_, isTaken := a.byToken[token]
	invar.Check(!isTaken, "TokensAreUnique", "RequestID", c.RequestID)
	a.byToken[token] = active
	return token, active
}

// End invalidates a token.
func (a *ActiveCalls) End(token string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.byToken, token)
}

// Find returns the call in flight to which a token belongs, or false if there is
// none.
func (a *ActiveCalls) Find(token string) (*ActiveCall, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	active, ok := a.byToken[token]
	return active, ok
}

// Len returns the number of calls in flight.
func (a *ActiveCalls) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.byToken)
}

func newToken() string {
	var b [tokenBytes]byte
	_, err := rand.Read(b[:])
	invar.Check(err == nil, "RandomSourceWorks", "Error", err)
	return hex.EncodeToString(b[:])
}
