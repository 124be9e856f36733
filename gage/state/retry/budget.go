package retry

import (
	"sync"

	"github.com/greengagewind/greengagewind/gage/invar"
)

// Budget holds the retries given to one request. The nested calls of the request
// may use them while the request is in flight at a target. They borrow retries in
// order of arrival and return the unused ones. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// available is between 0 and given.
	available int
	given     int
	// lent is the number of retries that nested calls in flight have borrowed.
	// available + lent is at most given.
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

// Close empties the budget and returns the number of retries that were available.
// The response of the request returns them to its caller. Retries that nested calls
// still hold are lost.
func (b *Budget) Close() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := b.available
	b.available = 0
	return remaining
}
