package admission

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// Queue orders the requests that wait for one pool of backend servers. It keeps, by configured priority, the virtual time
// and the finish tag of each client account for start-time fair queueing; with one virtual time for all priorities, what a
// large account gets at a high one would move the others back at the lower ones.
type Queue struct {
	mu          sync.Mutex
	waiting     []*waiter
	virtualTime map[int]float64
	finishTags  map[flow]float64
	rate        rateMeter
	// busySince is when the queue was last empty.
	busySince time.Time
	// nextAgeing is when the first of the waiting requests moves up; zero if none does.
	nextAgeing time.Time
	// credits is the number of requests that may be sent whatever the estimates say.
	credits int
	// repeatsUntil holds, by RepeatKey, until when a request that was refused counts as repeated too early.
	repeatsUntil map[string]time.Time
}

// flow is the requests of an account with one configured priority.
type flow struct {
	account  string
	priority int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{virtualTime: map[int]float64{}, finishTags: map[flow]float64{}, repeatsUntil: map[string]time.Time{}}
}

// maxWaiting bounds the number of waiting requests; with more, every further request would be late.
const maxWaiting = 10_000

// Wait returns nil once try has returned true, that is, has reserved a slot for the request. It returns an error if the
// request is refused or ctx ends.
//
// It calls try at once if no request waits. Otherwise it calls try when the request reaches the head of the queue, then
// each time the channel from changed is closed and at short intervals.
func (q *Queue) Wait(ctx context.Context, request Request, try func() bool, changed func() <-chan struct{}) error {
	return q.wait(ctx, request, func(turn) bool {
		ok := try()
		if ok {
			q.recordServed(time.Now())
		}
		return ok
	}, changed)
}

// turn is a request's opportunity to be sent.
type turn struct {
	waited time.Duration
	// force is true if the request must be sent whatever the estimates say.
	force bool
}

// wait is Wait with a try that knows the request's turn.
func (q *Queue) wait(ctx context.Context, request Request, try func(turn) bool, changed func() <-chan struct{}) error {
	if q.empty() && try(turn{}) {
		return nil
	}
	w, err := q.enqueue(request, time.Now())
	if err != nil {
		return err
	}
	served := false
	defer func() { q.remove(w, served, time.Now()) }()
	err = q.waitTurn(ctx, w, try, changed)
	served = err == nil
	return err
}

const (
	// headRetryInterval is how often the head of the queue calls try without a change, since the end of a server's
	// ejection is not signalled.
	headRetryInterval = 20 * time.Millisecond
	// reviewInterval is how often the expected wait of the other requests is compared with the time that they have left.
	reviewInterval = 50 * time.Millisecond
)

// waitTurn waits until the request is the head of the queue and try succeeds.
func (q *Queue) waitTurn(ctx context.Context, w *waiter, try func(turn) bool, changed func() <-chan struct{}) error {
	timer := time.NewTimer(reviewInterval)
	defer timer.Stop()
	for {
		if ctx.Err() != nil {
			return tooLate(ctx.Err())
		}
		now := time.Now()
		verdict, err := q.review(w, now)
		if err != nil {
			return err
		}
		var change <-chan struct{}
		pause := reviewInterval
		if verdict != keepWaiting {
			change, pause = changed(), headRetryInterval
			if try(turn{now.Sub(w.enqueuedAt), verdict == sendNow}) {
				return nil
			}
		}
		timer.Reset(w.nextReview(now, pause))
		select {
		case <-w.ready:
		case <-change:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

func (q *Queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) == 0
}

func (q *Queue) enqueue(r Request, now time.Time) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	repeatUntil, repeated := q.repeatsUntil[r.RepeatKey]
	w := &waiter{
		request: r, enqueuedAt: now, startTag: max(q.virtualTime[r.Priority], q.finishTags[r.flow()]), ready: make(chan struct{}, 1),
		repeated: repeated && now.Before(repeatUntil),
	}
	if len(q.waiting) >= maxWaiting {
		return nil, q.refuse(w, QueueFull, now)
	}
	if wait, known := q.expectedWait(w, now); known && now.Add(wait).After(w.latestStart()) {
		return nil, q.refuse(w, NoTime, now)
	}
	if len(q.waiting) == 0 {
		q.busySince = now
	}
	q.finishTags[r.flow()] = w.startTag + w.cost()
	at, _ := slices.BinarySearchFunc(q.waiting, w, compare)
	for at < len(q.waiting) && compare(q.waiting[at], w) == 0 {
		at++
	}
	q.waiting = slices.Insert(q.waiting, at, w)
	q.rate.advance(now, true)
	q.noteAgeing(w)
	return w, nil
}

func (q *Queue) noteAgeing(w *waiter) {
	if at := w.nextAgeing(); !at.IsZero() && (q.nextAgeing.IsZero() || at.Before(q.nextAgeing)) {
		q.nextAgeing = at
	}
}

// age moves up the requests that have waited long enough.
func (q *Queue) age(now time.Time) {
	if q.nextAgeing.IsZero() || now.Before(q.nextAgeing) {
		return
	}
	q.nextAgeing = time.Time{}
	for _, w := range q.waiting {
		w.age(now)
		q.noteAgeing(w)
	}
	slices.SortStableFunc(q.waiting, compare)
	q.wakeHead()
}

// expectedWait returns the time to serve the requests ahead at the current rate, or false while the rate is unknown.
func (q *Queue) expectedWait(w *waiter, now time.Time) (time.Duration, bool) {
	perSecond := q.rate.perSecond(now)
	if perSecond == 0 {
		return 0, false
	}
	return time.Duration(float64(q.ahead(w)) / perSecond * float64(time.Second)), true
}

// ahead returns how many requests are served before w.
func (q *Queue) ahead(w *waiter) int {
	n, _ := slices.BinarySearchFunc(q.waiting, w, compare)
	for n < len(q.waiting) && q.waiting[n] != w && compare(q.waiting[n], w) == 0 {
		n++
	}
	return n
}

// remove removes a request from the queue and wakes the new head.
func (q *Queue) remove(w *waiter, served bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.waiting, w)
	if i < 0 {
		return
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	if served {
		q.virtualTime[w.request.Priority] = max(q.virtualTime[w.request.Priority], w.startTag)
	} else {
		q.finishTags[w.request.flow()] -= w.cost() // an account does not pay for what it did not get
	}
	if len(q.waiting) > 0 {
		q.wakeHead()
		return
	}
	clear(q.finishTags)
	clear(q.virtualTime)
	q.credits, q.nextAgeing = 0, time.Time{}
	q.rate.advance(now, false)
}

func (q *Queue) wakeHead() {
	if len(q.waiting) == 0 {
		return
	}
	select {
	case q.waiting[0].ready <- struct{}{}:
	default:
	}
}

// recordServed counts a request that was served.
func (q *Queue) recordServed(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rate.add(now)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

func compare(a, b *waiter) int {
	return cmp.Or(
		cmp.Compare(b.priority(), a.priority()), compareBool(a.repeated, b.repeated),
		cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.slackEnd(), b.slackEnd()),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func tooLate(err error) error {
	return fault.New(fault.TooLate, "allow more time or try later", "the deadline passed while the request waited").WithCause(err)
}
