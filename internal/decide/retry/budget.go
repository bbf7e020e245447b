package retry

import "sync"

// EarnedPerRequest is the number of retries that each request earns.
const EarnedPerRequest = 0.09

// maxBalance bounds the retries that accumulate while few are needed.
const maxBalance = 20

// Budget is a balance of retries that requests earn and retries spend.
type Budget struct {
	mu      sync.Mutex
	balance float64
}

// NewBudget returns a budget that starts with a quarter of the largest balance.
func NewBudget() *Budget { return &Budget{balance: maxBalance / 4} }

// Earn adds what one request earns.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(maxBalance, b.balance+EarnedPerRequest)
}

// Spend takes one retry off the balance; it returns false if less than one is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Balance returns the retries that may be spent.
func (b *Budget) Balance() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance
}
