package admission

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// Reason says why a request was refused.
type Reason string

// The reasons of refusals; their values appear in logs and metrics.
const (
	// QueueFull means that too many requests wait.
	QueueFull Reason = "queueFull"
	// NoTime means that the request can't start before its deadline less its service time, or within half of its time left.
	NoTime Reason = "noTime"
	// NoTurn means that the request would start long after its target.
	NoTurn Reason = "noTurn"
)

// Refusal is the cause of the error of a refused request, with the inputs of the decision.
type Refusal struct {
	Reason      Reason
	QueueLength int
	Ahead       int
	// PerSecond is the measured rate; 0 if it is unknown.
	PerSecond    float64
	ExpectedWait time.Duration
	TimeLeft     time.Duration
	Waited       time.Duration
	// Repeated is true if the caller repeated a refused request before the time that it was told.
	Repeated bool
}

// Error formats the inputs of the decision.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %d of %d waiting requests are ahead, %.1f served per second, expected wait %s, time left %s",
		r.Reason, r.Ahead, r.QueueLength, r.PerSecond, r.ExpectedWait.Round(time.Millisecond), r.TimeLeft.Round(time.Millisecond))
}

const (
	// minRetryAfter is the shortest time after which a refused caller is told to return.
	minRetryAfter = 300 * time.Millisecond
	// retryAfterDivisor divides the time left into the longest Retry-After; callers do not honour a longer one.
	retryAfterDivisor = 3
	// retryAfterJitter is the relative deviation of Retry-After, so that refused callers do not return together.
	retryAfterJitter = 0.25
)

// retryAfter returns the time after which a refused caller should return.
func retryAfter(drain, timeLeft time.Duration) time.Duration {
	jitter := 1 + retryAfterJitter*(2*rand.Float64()-1)
	// Jitter goes above minRetryAfter, or half of the callers with a short wait would return after exactly that time.
	d := time.Duration(max(drain.Seconds(), minRetryAfter.Seconds()/(1-retryAfterJitter)) * jitter * float64(time.Second))
	if longest := timeLeft / retryAfterDivisor; d > longest {
		// Jitter below the bound, or all callers with the same time left would return together.
		d = time.Duration(float64(longest) * (1 - retryAfterJitter*rand.Float64()))
	}
	return max(d, minRetryAfter)
}

// refuse returns the error of a request that is refused.
func (q *Queue) refuse(w *waiter, reason Reason, now time.Time) error {
	r := &Refusal{
		Reason: reason, QueueLength: len(q.waiting), Ahead: q.ahead(w), PerSecond: q.rate.perSecond(now),
		TimeLeft: w.request.Deadline.Sub(now), Waited: now.Sub(w.enqueuedAt), Repeated: w.repeated,
	}
	r.ExpectedWait, _ = q.expectedWait(w, now)
	after := retryAfter(r.ExpectedWait, r.TimeLeft)
	q.recordRepeat(w.request.RepeatKey, now.Add(after), now)
	return fault.New(fault.Overloaded, "try later, or let the request settle for less", "backend servers are overloaded").
		WithCause(r).WithRetryAfter(after)
}

// earlyRepeatShare is the share of Retry-After before which a repetition counts as too early; callers' clocks and
// rounding make some return slightly before.
const earlyRepeatShare = 0.7

func (q *Queue) recordRepeat(key string, returnAt, now time.Time) {
	if key == "" {
		return
	}
	if len(q.repeatsUntil) >= maxWaiting {
		clear(q.repeatsUntil)
	}
	for k, until := range q.repeatsUntil {
		if now.After(until) {
			delete(q.repeatsUntil, k)
		}
	}
	q.repeatsUntil[key] = now.Add(time.Duration(earlyRepeatShare * float64(returnAt.Sub(now))))
}
