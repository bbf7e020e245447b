package retry

import (
	"sync"
	"time"
)

const (
	// slotsPerWindow is the number of slots of equal length into which a window is divided for counting.
	slotsPerWindow = 20
	// keptSlots covers the window and the one before it.
	keptSlots = 2*slotsPerWindow + 2
)

// Limit bounds the retries of all daemons together in any window of time, in proportion to the requests of that window,
// of the window before it or of the window that starts half a window earlier, whichever are most.
type Limit struct {
	// Ratio is the number of retries per request, Slack the number of retries allowed in addition.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// WindowBudget keeps this daemon's retries within its share of a limit.
//
// Each daemon keeps to the ratio for its own requests and to an equal share of the slack, so that the sum over all
// daemons keeps to the limit without messages between them.
type WindowBudget struct {
	limit Limit

	mu    sync.Mutex
	slots [keptSlots]slot
}

// slot counts the requests and retries of one slot of time; number is its index since the epoch.
type slot struct {
	number   int64
	requests int
	retries  int
}

// NewWindowBudget returns a budget without requests or retries.
func NewWindowBudget(limit Limit) *WindowBudget { return &WindowBudget{limit: limit} }

// currentSlot returns the current slot and its number; w.mu is held.
func (w *WindowBudget) currentSlot(now time.Time) (*slot, int64) {
	number := now.UnixNano() / max(1, int64(w.limit.Window)/slotsPerWindow)
	s := &w.slots[number%int64(len(w.slots))]
	if s.number != number {
		*s = slot{number: number}
	}
	return s, number
}

// Earn counts one request.
func (w *WindowBudget) Earn(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, _ := w.currentSlot(now)
	s.requests++
}

// Spend counts one retry, unless that would use more than the given share of the allowed retries. The slack is divided
// by the number of daemons.
func (w *WindowBudget) Spend(now time.Time, daemons int, share float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current, number := w.currentSlot(now)
	slack := w.limit.Slack / float64(max(1, daemons))
	retries := 1
	// Checks each window that would contain the retry, from the one that starts now to the one that ends now. A window
	// may start anywhere within a slot. Therefore the retries of the slots at its edges count, but their requests don't.
	for from := number; from >= number-slotsPerWindow; from-- {
		retries += w.slotAt(from).retries
		counted := max(
			w.requests(from+1, number),
			w.requests(from-slotsPerWindow+1, from-1),
			w.requests(from-slotsPerWindow/2+1, min(number, from+slotsPerWindow/2-1)),
		)
		if float64(retries) > share*(w.limit.Ratio*float64(counted)+slack) {
			return false
		}
	}
	current.retries++
	return true
}

// slotAt returns the slot of a number, or an empty one if it is no longer kept.
func (w *WindowBudget) slotAt(number int64) slot {
	if s := w.slots[number%keptSlots]; s.number == number {
		return s
	}
	return slot{}
}

// requests counts the requests of the slots from first to last.
func (w *WindowBudget) requests(first, last int64) int {
	n := 0
	for i := first; i <= last; i++ {
		n += w.slotAt(i).requests
	}
	return n
}
