package retry

import "sync"

// Earned is the part of a retry that each request earns.
const EarnedPerRequest = 0.09

// maxSaved bounds the retries that quiet times save up.
const maxSaved = 20

// Budget counts the retries that may be spent.
type Budget struct {
	mu    sync.Mutex
	saved float64
}

// New returns a budget with a few retries to start with.
func NewBudget() *Budget { return &Budget{saved: maxSaved / 4} }

// Earn counts one request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(maxSaved, b.saved+EarnedPerRequest)
}

// Spend takes one retry if there is one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Saved returns the retries that may be spent.
func (b *Budget) Balance() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.saved
}
