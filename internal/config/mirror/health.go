package mirror

import (
	"context"
	"sync"
	"time"
)

// Health is the availability of one store, shared by its mirrors; the first call that succeeds after an outage wakes
// them all.
type Health struct {
	mu          sync.Mutex
	unavailable bool
	recovered   chan struct{}
	// heard is when the mirror that probes the store last got a response.
	heard time.Time
}

// NewHealth returns the health of a store that is assumed to be available.
func NewHealth() *Health { return &Health{recovered: make(chan struct{})} }

// Record records whether a call succeeded.
func (h *Health) Record(ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok && h.unavailable {
		close(h.recovered)
		h.recovered = make(chan struct{})
	}
	h.unavailable = !ok
}

// RecordHeard records when the store last answered the mirror that probes it.
func (h *Health) RecordHeard(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard = at
}

// Heard returns when the store last answered the mirror that probes it; zero if it never did.
func (h *Health) Heard() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.heard
}

// Wait returns after d, or earlier if the store recovers or ctx ends.
func (h *Health) Wait(ctx context.Context, d time.Duration) {
	h.mu.Lock()
	recovered := h.recovered
	h.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-recovered:
	case <-t.C:
	}
}

// WaitIfUnavailable calls Wait if the store is unavailable, and reports whether it was.
func (h *Health) WaitIfUnavailable(ctx context.Context, d time.Duration) bool {
	h.mu.Lock()
	unavailable := h.unavailable
	h.mu.Unlock()
	if unavailable {
		h.Wait(ctx, d)
	}
	return unavailable
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
