package admission

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// Claim describes a request that asks for a place.
type Request struct {
	Account  string
	Weight   float64
	Priority int
	Deadline time.Time
	// Service is the expected time to serve it.
	ServiceTime time.Duration
}

// serviceMargin is how many times the expected service time a request must have left to be started.
const serviceMargin = 1.5

// latestStart is when the request must be started to be finished in time.
func (c Request) latestStart() time.Time {
	return c.Deadline.Add(-time.Duration(serviceMargin * float64(c.ServiceTime)))
}

// waiter is one waiting request.
type waiter struct {
	claim Request
	start float64
	// ready holds a token once the waiter has become the head.
	ready chan struct{}
}

// Queue orders the requests that wait for one pool of backend servers.
type Queue struct {
	mu      sync.Mutex
	waiting []*waiter
	virtual float64
	finish  map[string]float64
	rate    rateMeter
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{finish: map[string]float64{}}
}

// maxWaiting bounds the queue; beyond it every request would be late.
const maxWaiting = 10_000

// Wait returns once it is this request's turn, which try tells by returning true.
//
// try is called when the queue's head is this request, each time changed is closed.
func (q *Queue) Wait(ctx context.Context, claim Request, try func() bool, changed func() <-chan struct{}) error {
	if q.tryNow(try) {
		q.served()
		return nil
	}
	w, err := q.enter(claim)
	if err != nil {
		return err
	}
	if err := q.waitTurn(ctx, w, try, changed); err != nil {
		return err
	}
	q.served()
	return nil
}

// recheck is how often the head looks again on its own, since a server's time aside ends without a signal.
const recheck = 20 * time.Millisecond

// waitTurn waits to become the head, then for a change after which try succeeds.
func (q *Queue) waitTurn(ctx context.Context, w *waiter, try func() bool, changed func() <-chan struct{}) error {
	defer q.leave(w)
	late := time.NewTimer(time.Until(w.claim.latestStart()))
	defer late.Stop()
	for {
		var wake <-chan struct{} = w.ready
		var again <-chan time.Time
		if q.head(w) {
			ch := changed()
			if try() {
				return nil
			}
			wake, again = ch, time.After(recheck)
		}
		select {
		case <-wake:
		case <-again:
		case <-late.C:
			return overloaded("too little time is left to start")
		case <-ctx.Done():
			return tooLate(ctx.Err())
		}
	}
}

// tryNow serves a request at once if nobody waits.
func (q *Queue) tryNow(try func() bool) bool {
	q.mu.Lock()
	empty := len(q.waiting) == 0
	q.mu.Unlock()
	return empty && try()
}

func (q *Queue) enter(c Request) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= maxWaiting {
		return nil, overloaded("the queue is full")
	}
	if wait, known := q.expectedWait(c); known && time.Now().Add(wait).After(c.latestStart()) {
		return nil, overloaded("the expected wait of " + wait.Round(time.Millisecond).String() + " exceeds the deadline")
	}
	w := &waiter{claim: c, start: max(q.virtual, q.finish[c.Account]), ready: make(chan struct{}, 1)}
	q.finish[c.Account] = w.start + 1/max(c.Weight, minWeight)
	at, _ := slices.BinarySearchFunc(q.waiting, w, compare)
	for at < len(q.waiting) && compare(q.waiting[at], w) == 0 {
		at++
	}
	q.waiting = slices.Insert(q.waiting, at, w)
	return w, nil
}

// minWeight keeps the finish times finite.
const minWeight = 0.001

func compare(a, b *waiter) int {
	switch {
	case a.claim.Priority != b.claim.Priority:
		return b.claim.Priority - a.claim.Priority
	case a.start < b.start:
		return -1
	case a.start > b.start:
		return 1
	default:
		return 0
	}
}

// expectedWait is the time until the requests ahead are served at the present rate.
func (q *Queue) expectedWait(c Request) (time.Duration, bool) {
	perSecond := q.rate.perSecond(time.Now())
	if perSecond == 0 {
		return 0, false
	}
	ahead := 0
	start := max(q.virtual, q.finish[c.Account])
	for _, w := range q.waiting {
		if w.claim.Priority > c.Priority || w.claim.Priority == c.Priority && w.start <= start {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second)), true
}

func (q *Queue) head(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0 && q.waiting[0] == w
}

// leave removes a request and wakes the new head.
func (q *Queue) leave(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.waiting, w)
	if i < 0 {
		return
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	if i == 0 {
		q.virtual = max(q.virtual, w.start)
	}
	if len(q.waiting) > 0 && i == 0 {
		q.wake(q.waiting[0])
	}
	if len(q.waiting) == 0 {
		clear(q.finish)
		q.virtual = 0
	}
}

func (q *Queue) wake(w *waiter) {
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

// served counts a request for the rate.
func (q *Queue) served() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rate.add(time.Now())
}

// Waiting returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

func tooLate(err error) error {
	return fault.New(fault.TooLate, "allow more time or try later", "the deadline passed while the request waited").WithCause(err)
}

func overloaded(why string) error {
	return fault.New(fault.Overloaded, "try later, or let the request settle for less", "backend servers are short: %s", why)
}
