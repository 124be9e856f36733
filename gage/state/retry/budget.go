package retry

import (
	"sync"

	"github.com/greengagewind/greengagewind/gage/invar"
)

// Budget holds the retries given to one request, for use by its nested calls
// while the request is in flight at a target.
// Nested calls borrow from it in order of arrival and return what they did not
// use. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// available is between 0 and given.
	available int
	given     int
	// lent is the budget that nested calls in flight hold. available + lent is
	// at most given.
	lent int
}

// NewBudget returns the budget of a request that was given n retries; a
// negative n counts as 0.
func NewBudget(n int) *Budget {
	n = max(n, 0)
	return &Budget{available: n, given: n}
}

// TakeAll lends all available retries to a nested call and returns their
// number.
func (b *Budget) TakeAll() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.available
	b.available = 0
	b.lent += taken
	return taken
}

// Return ends the loan of taken retries to a nested call and puts the unused
// ones back.
func (b *Budget) Return(taken, unused int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	invar.Check(unused >= 0 && unused <= taken && taken <= b.lent, "RetryBudgetNeverGrows",
		"Taken", taken, "Left", unused, "Lent", b.lent)
	b.lent -= taken
	b.available += unused
	invar.Check(b.available+b.lent <= b.given, "RetryBudgetNeverGrows",
		"Left", b.available, "Lent", b.lent, "Given", b.given)
}

// Close empties the budget and returns the retries that were available, for the
// response of the request. Retries that nested calls still hold are lost.
func (b *Budget) Close() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := b.available
	b.available = 0
	return remaining
}
