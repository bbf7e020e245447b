package admission

import "time"

// verdict is what a waiting request does next.
type verdict int

const (
	keepWaiting verdict = iota
	// isNext is a request that is sent if the estimates allow it.
	isNext
	// sendNow is a request that is sent whatever the estimates say.
	sendNow
)

// review decides what a waiting request does next, or refuses it. A refusal requires a measured rate: without one, a request with a target is sent after an eighth of it.
func (q *Queue) review(w *waiter, now time.Time) (verdict, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.age(now)
	wait, known := q.expectedWait(w, now)
	if w.request.Target == 0 {
		if !now.Before(w.request.latestStart()) {
			return 0, q.refuse(w, NoTime, now)
		}
		return q.next(w), nil
	}
	held := !now.Before(w.holdUntil())
	switch {
	case !known && held:
		return sendNow, nil
	case known && !now.Add(wait).Before(w.latestStart()):
		return 0, q.refuse(w, NoTime, now)
	case known && held && q.lasting(w, now) && now.Add(wait).After(w.fairStart()):
		return 0, q.refuse(w, NoTurn, now)
	default:
		w.kept = w.kept || held
		return q.next(w), nil
	}
}

// lastingTargetRatio times a request's target is the age from which a queue counts as overload.
const lastingTargetRatio = 2

// lasting reports whether the queue is older than a burst that the servers catch up with.
func (q *Queue) lasting(w *waiter, now time.Time) bool {
	return now.Sub(q.busySince) > lastingTargetRatio*w.request.Target
}

// next tells whether the request is the head of the queue, and if so spends a credit on it.
func (q *Queue) next(w *waiter) verdict {
	switch {
	case q.waiting[0] != w:
		return keepWaiting
	case q.credits > 0:
		q.credits--
		return sendNow
	default:
		return isNext
	}
}

// maxCredits bounds the credits that the responses of one moment give.
const maxCredits = 4

// recordFirstChunk records the time to first chunk of a response. While requests wait, a response within half of its
// target gives a credit, and one within a quarter gives two, so that estimates that are too high neither hold nor refuse
// requests which the servers can take.
func (q *Queue) recordFirstChunk(took, target time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rate.add(now)
	if len(q.waiting) == 0 {
		return
	}
	switch {
	case took <= target/4:
		q.credits += 2
	case took <= target/2:
		q.credits++
	}
	q.credits = min(q.credits, maxCredits)
	q.wakeHead()
}
