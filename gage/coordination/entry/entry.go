// Package entry serves the requests that enter the fleet at this node: requests
// of callers, which it authenticates by their API key, and nested calls that
// targets make while they serve a request. It takes quota, suppresses
// duplicates, picks targets and retries within the request's retry budget.
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
	// maxDepth is the maximum depth of a chain of nested calls.
	maxDepth = 32
	// maxDecisionAge is how long after its arrival a caller's request may be
	// sent to a target. If the request needs quota, the grant replaces this
	// limit by its own.
	maxDecisionAge = 250 * time.Millisecond
	// maxNestedDecisionAge is how long after its arrival a nested call may be
	// sent to a target. It is longer than maxDecisionAge, since refusing a nested
	// call wastes the work already done by its callers.
	maxNestedDecisionAge = time.Second
	// rootRetryBudget is the total number of retries that a caller's request
	// and all calls nested in it may make.
	rootRetryBudget = 2
	// minQuotaBackoff is the first wait before Take is retried because no quota
	// holder answered. Each later wait is twice as long as the one before, up to
	// maxQuotaBackoff.
	minQuotaBackoff = 20 * time.Millisecond
	maxQuotaBackoff = 320 * time.Millisecond
)

// Freshness reports whether the node's configuration is recent enough to use.
type Freshness interface {
	// Fresh reports whether the node may serve requests that need an API key.
	Fresh(now time.Time) bool
}

// Options are the dependencies of an Entry.
type Options struct {
	VM          string
	Views       *Views
	Freshness   Freshness
	Limiter     gage.Limiter
	Claimer     gage.Claimer
	Router      gage.Router
	Forwarder   gage.Forwarder
	RetryRatio  *retry.TokenBucket
	ActiveCalls *host.ActiveCalls
	Recent      *recent.Ring
	// Tally counts callers' requests. If it is nil, they are not counted.
	Tally *tally.Tally
	Clock gage.Clock
	// NewID returns a request ID that is unique in the fleet.
	NewID func() string
	// Random returns a uniformly distributed number. It is used for the jitter
	// of retries.
	Random func() uint64
	// Sleep waits for d or until ctx ends.
	Sleep func(ctx context.Context, d time.Duration)
}

// Entry serves the requests that enter the fleet at this node.
type Entry struct {
	options Options
}

// New returns an Entry. Options.Tally may be nil; all other options are required.
func New(options Options) *Entry {
	if options.Tally == nil {
		options.Tally = tally.New(metrics.NewSet())
	}
	return &Entry{options: options}
}

// Arrival is a request as received by this node, before it is checked.
type Arrival struct {
	// Key is the caller's API key, or "".
	Key            string
	IdempotencyKey string
	Method         string
	// Path is the escaped path with the query string.
	Path string
	// MatchPath is the escaped path without the query string. Routes are
	// matched against it.
	MatchPath   string
	Header      []gage.Header
	Body        []byte
	TraceParent string
	// Timeout is how long the caller waits for an answer, or 0 if the request
	// did not specify a timeout. The route's deadline applies in any case.
	Timeout time.Duration
}

// Answer is a result with the ID of its request.
type Answer struct {
	RequestID string
	gage.Result
}
