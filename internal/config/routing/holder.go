package routing

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencourse/pollencourse/internal/core/event"
)

// Holder holds the table in force.
type Holder struct {
	log     *event.Log
	current atomic.Pointer[Table]

	// firstInForce is closed once the first table is in force.
	firstInForce chan struct{}

	mu           sync.Mutex
	inForceSince time.Time
	onChange     []func(*Table)
}

// NewHolder returns a holder without a table.
func NewHolder(log *event.Log) *Holder { return &Holder{log: log, firstInForce: make(chan struct{})} }

// OnChange calls fn after each change of the table in force.
func (h *Holder) OnChange(fn func(*Table)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onChange = append(h.onChange, fn)
}

// Current returns the table in force, or nil before the first one.
func (h *Holder) Current() *Table { return h.current.Load() }

// Await waits until a table is in force and returns it, or nil if ctx ends before.
func (h *Holder) Await(ctx context.Context) *Table {
	select {
	case <-h.firstInForce:
	case <-ctx.Done():
	}
	return h.Current()
}

// Offer puts a table in force if its revision is higher, and reports whether it did; source is only logged.
func (h *Holder) Offer(t *Table, source string) bool {
	h.mu.Lock()
	if old := h.current.Load(); old != nil && old.Revision >= t.Revision {
		h.mu.Unlock()
		return false
	}
	if h.current.Swap(t) == nil {
		close(h.firstInForce)
	}
	h.inForceSince = time.Now()
	fns := h.onChange
	h.mu.Unlock()
	h.log.Emit(event.ConfigInForce, "revision", t.Revision, "routes", t.Routes(), "source", source)
	for _, fn := range fns {
		fn(t)
	}
	return true
}

// Dump shows the revision in force and since when it is.
func (h *Holder) Dump() any {
	t := h.Current()
	if t == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return struct {
		Revision int64     `json:"revision"`
		Routes   int       `json:"routes"`
		Since    time.Time `json:"since"`
	}{t.Revision, t.Routes(), h.inForceSince}
}
