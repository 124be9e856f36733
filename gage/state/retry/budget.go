package retry

import (
	"sync"

	"github.com/greengagewind/greengagewind/gage/invar"
)

// Budget is what is left of the retries of one request while it is in flight
// at a target. Its nested calls take from it in order of arrival and give
// back what they did not use. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// left is never below 0 and never above given.
	left  int
	given int
	// lent is what nested calls in flight hold. left + lent is at most given.
	lent int
}

// NewBudget returns the budget of a request that was given n retries.
func NewBudget(n int) *Budget {
	n = max(n, 0)
	return &Budget{left: n, given: n}
}

// TakeAll lends all that is left to a nested call.
func (b *Budget) TakeAll() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.left
	b.left = 0
	b.lent += taken
	return taken
}

// Return gives back what a nested call that took taken has left over.
func (b *Budget) Return(taken, left int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	invar.Check(left >= 0 && left <= taken && taken <= b.lent, "RetryBudgetNeverGrows",
		"Taken", taken, "Left", left, "Lent", b.lent)
	b.lent -= taken
	b.left += left
	invar.Check(b.left+b.lent <= b.given, "RetryBudgetNeverGrows",
		"Left", b.left, "Lent", b.lent, "Given", b.given)
}

// Close closes the budget and returns what is left of it for the request's
// result. What nested calls still hold is lost.
func (b *Budget) Close() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.left
	b.left = 0
	return left
}
