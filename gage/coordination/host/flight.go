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

const tokenBytes = 16

// Flight is a call that runs at a target beside this node.
type Flight struct {
	Call gage.Call
	// Target is where the call runs.
	Target string
	// Budget holds the retries that the call and its nested calls may make.
	Budget *retry.Budget

	mu sync.Mutex
	// nested tells that a nested non-idempotent call may have run.
	nested bool
	// shed tells that a nested call was refused for overload.
	shed bool
	// open is how many nested calls are under way.
	open int
	// openedAt is when open last rose above 0.
	openedAt time.Time
	// waited is the time spent with nested calls under way, up to openedAt.
	waited time.Duration
}

// BeginNested notes that the target waits for a nested call.
func (f *Flight) BeginNested(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open == 0 {
		f.openedAt = now
	}
	f.open++
}

// EndNested notes what became of a nested call.
func (f *Flight) EndNested(now time.Time, idempotent bool, r gage.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open--
	invar.Check(f.open >= 0, "NestedCallsEndOnce", "RequestID", f.Call.RequestID)
	if f.open == 0 {
		f.waited += now.Sub(f.openedAt)
	}
	f.nested = f.nested || r.NestedSideEffects || !idempotent && r.Outcome != gage.OutcomeNotRun
	f.shed = f.shed || r.Outcome == gage.OutcomeNotRun && shedReason(r.Reason)
}

func shedReason(reason gage.Reason) bool {
	switch reason {
	case gage.ReasonOverload, gage.ReasonQueueFull, gage.ReasonColdStart,
		gage.ReasonNestedOverload, gage.ReasonStaleDecision:
		return true
	default:
		return false
	}
}

// outcome is what nested calls made of a call.
type outcome struct {
	nested bool
	shed   bool
	// waited is the time that the target spent waiting for nested calls.
	waited time.Duration
}

// outcome returns what the nested calls up to now made of the call.
func (f *Flight) outcome(now time.Time) outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := outcome{nested: f.nested, shed: f.shed, waited: f.waited}
	if f.open > 0 {
		o.waited += now.Sub(f.openedAt)
	}
	return o
}

// Flights maps the opaque tokens that targets hold to the calls they run. A
// token is good only while its call is in flight. The admission limits bound
// its size.
type Flights struct {
	mu      sync.Mutex
	byToken map[string]*Flight
}

// NewFlights returns an empty table.
func NewFlights() *Flights {
	return &Flights{byToken: make(map[string]*Flight)}
}

// Begin registers a call and returns its token.
func (f *Flights) Begin(c gage.Call, target string) (string, *Flight) {
	token := newToken()
	flight := &Flight{Call: c, Target: target, Budget: retry.NewBudget(c.RetryBudget)}
	f.mu.Lock()
	defer f.mu.Unlock()
	_, taken := f.byToken[token]
	invar.Check(!taken, "TokensAreUnique", "RequestID", c.RequestID)
	f.byToken[token] = flight
	return token, flight
}

// End makes the token worthless.
func (f *Flights) End(token string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.byToken, token)
}

// Find returns the call that a token stands for.
func (f *Flights) Find(token string) (*Flight, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	flight, ok := f.byToken[token]
	return flight, ok
}

// Len returns the number of calls in flight.
func (f *Flights) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.byToken)
}

func newToken() string {
	var b [tokenBytes]byte
	_, err := rand.Read(b[:])
	invar.Check(err == nil, "RandomSourceWorks", "Error", err)
	return hex.EncodeToString(b[:])
}
