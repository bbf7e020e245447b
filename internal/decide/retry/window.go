package retry

import (
	"sync"
	"time"
)

const (
	// windowSlots is the number of parts of a window that are counted apart.
	windowSlots = 20
	// keptSlots covers the window and the one before it.
	keptSlots = 2*windowSlots + 2
)

// Limit bounds the repeats of all daemons together in any window of time. The requests that count are those of the
// window, of the one before it or of the one half a window before it, whichever are most.
type Limit struct {
	// Ratio is how many repeats a request allows, Slack how many are allowed besides.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Window keeps this daemon's repeats within its part of a limit.
//
// Each daemon keeps to the ratio for its own requests and to an equal part of the slack, so that the sum over all
// daemons keeps to the limit without any message between them.
type Window struct {
	limit Limit

	mu    sync.Mutex
	slots [keptSlots]slot
}

// slot counts one part of a window; at is its number since the epoch.
type slot struct {
	at       int64
	requests int
	repeats  int
}

// NewWindow returns an empty window.
func NewWindow(limit Limit) *Window { return &Window{limit: limit} }

// slot returns the current part; w.mu is held.
func (w *Window) slot(now time.Time) (*slot, int64) {
	at := now.UnixNano() / max(1, int64(w.limit.Window)/windowSlots)
	s := &w.slots[at%int64(len(w.slots))]
	if s.at != at {
		*s = slot{at: at}
	}
	return s, at
}

// Earn counts one request.
func (w *Window) Earn(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, _ := w.slot(now)
	s.requests++
}

// Spend takes one repeat if not more than a part of what is allowed is used; daemons share the slack.
func (w *Window) Spend(now time.Time, daemons int, part float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current, at := w.slot(now)
	slack := w.limit.Slack / float64(max(1, daemons))
	repeats := 1
	// Each window that the repeat would lie in is looked at, from the one that begins now to the one that ends now.
	// A window may begin anywhere within a part, so that of the parts at its edges the repeats count and the requests
	// do not.
	for from := at; from >= at-windowSlots; from-- {
		repeats += w.at(from).repeats
		counted := max(
			w.requests(from+1, at),
			w.requests(from-windowSlots+1, from-1),
			w.requests(from-windowSlots/2+1, min(at, from+windowSlots/2-1)),
		)
		if float64(repeats) > part*(w.limit.Ratio*float64(counted)+slack) {
			return false
		}
	}
	current.repeats++
	return true
}

// at returns a part by its number; parts that are gone are empty.
func (w *Window) at(number int64) slot {
	if s := w.slots[number%keptSlots]; s.at == number {
		return s
	}
	return slot{}
}

// requests counts the requests of the parts from first to last.
func (w *Window) requests(first, last int64) int {
	n := 0
	for i := first; i <= last; i++ {
		n += w.at(i).requests
	}
	return n
}
