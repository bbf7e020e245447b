package mirror

import (
	"context"
	"sync"
	"time"
)

// Health is what the mirrors of one store share: the first call that succeeds after an outage wakes all.
type Health struct {
	mu   sync.Mutex
	away bool
	back chan struct{}
}

// NewHealth returns the health of a store that is taken to answer.
func NewHealth() *Health { return &Health{back: make(chan struct{})} }

// Note takes the outcome of a call.
func (h *Health) Note(ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok && h.away {
		close(h.back)
		h.back = make(chan struct{})
	}
	h.away = !ok
}

// Wait returns after d, or earlier when the store answers again or ctx ends.
func (h *Health) Wait(ctx context.Context, d time.Duration) {
	h.mu.Lock()
	back := h.back
	h.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-back:
	case <-t.C:
	}
}

// WaitWhileAway waits like Wait if the store is away, and reports whether it was.
func (h *Health) WaitWhileAway(ctx context.Context, d time.Duration) bool {
	h.mu.Lock()
	away := h.away
	h.mu.Unlock()
	if away {
		h.Wait(ctx, d)
	}
	return away
}

// rest returns after d or when ctx ends.
func rest(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
