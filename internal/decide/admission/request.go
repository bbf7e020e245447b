package admission

import "time"

// Request describes a request that asks for a slot at a backend server.
type Request struct {
	Account  string
	Weight   float64
	Priority int
	Deadline time.Time
	// ServiceTime is the expected time to serve the request.
	ServiceTime time.Duration
	// Target is the time to the first chunk that the caller wants; 0 if it is unknown. Only requests with a target move
	// up while they wait, and are refused if they can't be sent soon.
	Target time.Duration
	// FirstChunkTime is the expected time to first chunk once the request is sent; it counts only with a target.
	FirstChunkTime time.Duration
	// RepeatKey is equal for the repetitions of a request; empty if they can't be told.
	RepeatKey string
}

const (
	// minTimeLeftRatio is the least time before its deadline at which a request without a target may start, as a multiple
	// of its ServiceTime.
	minTimeLeftRatio = 1.5
	// maxWaitTargetRatio times the target is the longest wait of a request that others of a higher priority overtake: it
	// leaves the quarter of the target that follows on two steps up, the distance between the usual priorities.
	maxWaitTargetRatio = 1.25
	// unfoundedHoldDivisor divides the target into the time for which a request is held without the expectation to be sent
	// in time.
	unfoundedHoldDivisor = 8
	// minWeight keeps the finish tags finite.
	minWeight = 0.001
)

// latestStart is the latest time at which the request may start.
func (r Request) latestStart() time.Time {
	if r.Target > 0 {
		return r.Deadline.Add(-r.ServiceTime)
	}
	return r.Deadline.Add(-time.Duration(minTimeLeftRatio * float64(r.ServiceTime)))
}

func (r Request) flow() flow { return flow{r.Account, r.Priority} }

// waiter is one waiting request. Its start tag, as in start-time fair queueing, orders it within its priority.
type waiter struct {
	request    Request
	enqueuedAt time.Time
	startTag   float64
	// steps is the number of priorities by which the request has moved up.
	steps int
	// repeated is true if the caller repeats a refused request before the time that it was told.
	repeated bool
	// kept is true once the request was found to have a fair expectation.
	kept bool
	// ready receives a value when the waiter should look at the queue again.
	ready chan struct{}
}

// latestStart is the latest time until which the request may wait: at most half of the time that it had left.
func (w *waiter) latestStart() time.Time {
	latest := w.request.latestStart()
	half := w.enqueuedAt.Add(w.request.Deadline.Sub(w.enqueuedAt) / 2)
	if w.request.Target > 0 && half.Before(latest) {
		return half
	}
	return latest
}

// fairStart is the latest start that a request may expect. A request is kept only if its place in the queue lets it get its
// first chunk in time; once kept, it may be overtaken and start soon after its target.
func (w *waiter) fairStart() time.Time {
	if !w.kept {
		return w.enqueuedAt.Add(w.request.Target - w.request.FirstChunkTime)
	}
	return w.enqueuedAt.Add(time.Duration(maxWaitTargetRatio * float64(w.request.Target)))
}

// holdUntil is when a request is no longer held without the expectation to be sent in time.
func (w *waiter) holdUntil() time.Time {
	until := w.enqueuedAt.Add(w.request.Target / unfoundedHoldDivisor)
	if latest := w.latestStart(); latest.Before(until) {
		return latest
	}
	return until
}

// nextReview is when the request is looked at again after a pause, or earlier if a decision is due.
func (w *waiter) nextReview(now time.Time, pause time.Duration) time.Duration {
	for _, due := range []time.Time{w.holdUntil(), w.latestStart()} {
		if d := due.Sub(now); d > 0 || due.Equal(w.latestStart()) {
			pause = min(pause, max(0, d))
		}
	}
	return pause
}

func (w *waiter) priority() int { return w.request.Priority + w.steps }

func (w *waiter) cost() float64 { return 1 / max(w.request.Weight, minWeight) }

// slackEnd orders requests by the slack between their expected start and their target.
func (w *waiter) slackEnd() int64 {
	if w.request.Target == 0 {
		return 0
	}
	return w.enqueuedAt.Add(w.request.Target - w.request.ServiceTime).UnixNano()
}

// nextAgeing is when the request moves up by one priority; zero if it never does.
func (w *waiter) nextAgeing() time.Time {
	if w.request.Target == 0 {
		return time.Time{}
	}
	return w.enqueuedAt.Add(time.Duration(w.steps+1) * w.request.Target / 2)
}

func (w *waiter) age(now time.Time) {
	for at := w.nextAgeing(); !at.IsZero() && !now.Before(at); at = w.nextAgeing() {
		w.steps++
	}
}
