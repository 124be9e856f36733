// Package entry takes requests into the fleet: from callers, for the workspace
// whose key came with them, and from targets, as nested calls of a request
// that is in flight. It asks for quota, suppresses duplicates, picks targets
// and retries within the request's budget.
package entry

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/host"
	"github.com/greengagewind/greengagewind/gage/coordination/tally"
	"github.com/greengagewind/greengagewind/gage/state/recent"
	"github.com/greengagewind/greengagewind/gage/state/retry"
)

// The bounds of a request.
const (
	// maxDepth bounds chains of nested calls.
	maxDepth = 32
	// maxDecisionAge bounds how long the decisions for a request that needs
	// no quota may be acted on.
	maxDecisionAge = 250 * time.Millisecond
	// maxNestedAge is the same for nested calls, which wait for targets in
	// demand rather than waste the work done above them.
	maxNestedAge = time.Second
	// rootRetryBudget is how many retries a caller's request and all calls
	// nested in it may make together.
	rootRetryBudget = 2
	// firstQuotaWait and lastQuotaWait are the waits between asks for quota
	// that no holder answered; each is twice the one before.
	firstQuotaWait = 20 * time.Millisecond
	lastQuotaWait  = 320 * time.Millisecond
)

// Freshness tells whether the node's configuration may still be acted on.
type Freshness interface {
	// Fresh reports whether the node may serve keyed requests.
	Fresh(now time.Time) bool
}

// Options holds what an Entry depends on.
type Options struct {
	VM          string
	Views       *Views
	Freshness   Freshness
	Limiter     gage.Limiter
	Claimer     gage.Claimer
	Router      gage.Router
	Forwarder   gage.Forwarder
	RetryRatio  *retry.Ratio
	ActiveCalls *host.ActiveCalls
	Recent      *recent.Ring
	// Tally counts callers' requests; nil counts them nowhere.
	Tally *tally.Tally
	Clock gage.Clock
	// NewID returns a request ID that is new in the fleet.
	NewID func() string
	// Random returns a uniform number, for the jitter of retries.
	Random func() uint64
	// Sleep waits for d or until ctx ends.
	Sleep func(ctx context.Context, d time.Duration)
}

// Entry takes requests into the fleet.
type Entry struct {
	options Options
}

// New returns an entry.
func New(options Options) *Entry {
	if options.Tally == nil {
		options.Tally = tally.New(metrics.NewSet())
	}
	return &Entry{options: options}
}

// Arrival is a request as it reached this node.
type Arrival struct {
	// Key is the caller's key, or "".
	Key            string
	IdempotencyKey string
	Method         string
	// Path is the escaped path with its query.
	Path string
	// MatchPath is the escaped path alone.
	MatchPath   string
	Header      []gage.Header
	Body        []byte
	TraceParent string
	// Timeout is how long the caller waits, or 0 for the route's deadline.
	Timeout time.Duration
}

// Answer is a result with the identity of its request.
type Answer struct {
	RequestID string
	gage.Result
}
