package admission

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// Request describes a request that asks for a slot at a backend server.
type Request struct {
	Account  string
	Weight   float64
	Priority int
	Deadline time.Time
	// ServiceTime is the expected time to serve the request.
	ServiceTime time.Duration
}

// minTimeLeftRatio is the least time before its deadline at which a request may start, as a multiple of its ServiceTime.
const minTimeLeftRatio = 1.5

// latestStart is the latest time at which the request may start.
func (r Request) latestStart() time.Time {
	return r.Deadline.Add(-time.Duration(minTimeLeftRatio * float64(r.ServiceTime)))
}

// waiter is one waiting request. Its start tag, as in start-time fair queueing, orders it within its priority.
type waiter struct {
	request  Request
	startTag float64
	// ready receives a value once the waiter is the head of the queue.
	ready chan struct{}
}

// Queue orders the requests that wait for one pool of backend servers. It keeps the virtual time and the finish tag of
// each client account for start-time fair queueing.
type Queue struct {
	mu          sync.Mutex
	waiting     []*waiter
	virtualTime float64
	finishTags  map[string]float64
	rate        rateMeter
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{finishTags: map[string]float64{}}
}

// maxWaiting bounds the number of waiting requests; with more, every further request would be late.
const maxWaiting = 10_000

// Wait returns nil once try has returned true, that is, has reserved a slot for the request. It returns an error if the
// request is refused or ctx ends.
//
// It calls try at once if no request waits. Otherwise it calls try when the request reaches the head of the queue, then
// each time the channel from changed is closed and at short intervals.
func (q *Queue) Wait(ctx context.Context, request Request, try func() bool, changed func() <-chan struct{}) error {
	if q.tryWithoutWaiting(try) {
		q.countServed()
		return nil
	}
	w, err := q.enqueue(request)
	if err != nil {
		return err
	}
	if err := q.waitTurn(ctx, w, try, changed); err != nil {
		return err
	}
	q.countServed()
	return nil
}

// headRetryInterval is how often the head of the queue calls try without a change, since the end of a server's ejection
// is not signalled.
const headRetryInterval = 20 * time.Millisecond

// waitTurn waits until the request is the head of the queue and try succeeds.
func (q *Queue) waitTurn(ctx context.Context, w *waiter, try func() bool, changed func() <-chan struct{}) error {
	defer q.remove(w)
	late := time.NewTimer(time.Until(w.request.latestStart()))
	defer late.Stop()
	for {
		var wake <-chan struct{} = w.ready
		var recheck <-chan time.Time
		if q.isHead(w) {
			change := changed()
			if try() {
				return nil
			}
			wake, recheck = change, time.After(headRetryInterval)
		}
		select {
		case <-wake:
		case <-recheck:
		case <-late.C:
			return overloaded("too little time is left before the deadline")
		case <-ctx.Done():
			return tooLate(ctx.Err())
		}
	}
}

// tryWithoutWaiting calls try if no request waits.
func (q *Queue) tryWithoutWaiting(try func() bool) bool {
	q.mu.Lock()
	empty := len(q.waiting) == 0
	q.mu.Unlock()
	return empty && try()
}

func (q *Queue) enqueue(r Request) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= maxWaiting {
		return nil, overloaded("the queue of waiting requests is full")
	}
	if wait, known := q.expectedWait(r); known && time.Now().Add(wait).After(r.latestStart()) {
		return nil, overloaded("the expected wait of " + wait.Round(time.Millisecond).String() + " leaves too little time before the deadline")
	}
	w := &waiter{request: r, startTag: max(q.virtualTime, q.finishTags[r.Account]), ready: make(chan struct{}, 1)}
	q.finishTags[r.Account] = w.startTag + 1/max(r.Weight, minWeight)
	at, _ := slices.BinarySearchFunc(q.waiting, w, compare)
	for at < len(q.waiting) && compare(q.waiting[at], w) == 0 {
		at++
	}
	q.waiting = slices.Insert(q.waiting, at, w)
	return w, nil
}

// minWeight keeps the finish tags finite.
const minWeight = 0.001

func compare(a, b *waiter) int {
	switch {
	case a.request.Priority != b.request.Priority:
		return b.request.Priority - a.request.Priority
	case a.startTag < b.startTag:
		return -1
	case a.startTag > b.startTag:
		return 1
	default:
		return 0
	}
}

// expectedWait returns the time to serve the requests ahead at the current rate, or false while the rate is unknown.
func (q *Queue) expectedWait(r Request) (time.Duration, bool) {
	perSecond := q.rate.perSecond(time.Now())
	if perSecond == 0 {
		return 0, false
	}
	ahead := 0
	startTag := max(q.virtualTime, q.finishTags[r.Account])
	for _, w := range q.waiting {
		if w.request.Priority > r.Priority || w.request.Priority == r.Priority && w.startTag <= startTag {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second)), true
}

func (q *Queue) isHead(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0 && q.waiting[0] == w
}

// remove removes a request from the queue and wakes the new head.
func (q *Queue) remove(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.waiting, w)
	if i < 0 {
		return
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	if i == 0 {
		q.virtualTime = max(q.virtualTime, w.startTag)
	}
	if len(q.waiting) > 0 && i == 0 {
		q.wake(q.waiting[0])
	}
	if len(q.waiting) == 0 {
		clear(q.finishTags)
		q.virtualTime = 0
	}
}

func (q *Queue) wake(w *waiter) {
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

func (q *Queue) countServed() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rate.add(time.Now())
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

func tooLate(err error) error {
	return fault.New(fault.TooLate, "allow more time or try later", "the deadline passed while the request waited").WithCause(err)
}

func overloaded(why string) error {
	return fault.New(fault.Overloaded, "try later, or let the request settle for less", "backend servers are overloaded: %s", why)
}
