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
	// lost is closed when the store becomes unavailable.
	lost chan struct{}
	// contact is the time up to which the mirror that probes the store has applied its changes.
	contact time.Time
}

// NewHealth returns the health of a store that is assumed to be available.
func NewHealth() *Health {
	return &Health{recovered: make(chan struct{}), lost: make(chan struct{})}
}

// Record records whether a call succeeded.
func (h *Health) Record(ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case ok && h.unavailable:
		close(h.recovered)
		h.recovered, h.lost = make(chan struct{}), make(chan struct{})
	case !ok && !h.unavailable:
		close(h.lost)
	}
	h.unavailable = !ok
}

// WithAvailability returns a context that ends with [ErrUnavailable] as its cause once the store is unavailable.
func (h *Health) WithAvailability(ctx context.Context) (context.Context, context.CancelFunc) {
	h.mu.Lock()
	lost := h.lost
	h.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-lost:
			cancel(ErrUnavailable)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// RecordContact records that the mirror that probes the store has applied the changes up to a time.
func (h *Health) RecordContact(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contact = at
}

// LastContact returns the time up to which the mirror that probes the store has applied its changes; zero if the store never
// answered it.
func (h *Health) LastContact() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.contact
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
