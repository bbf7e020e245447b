package chat

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/fleet/evidence"
)

// countAnswer counts an answer and submits it for rating if it is in the sample; fn gets the rating.
//
// The sample is drawn before the answer is known, so that answers that a cascade rejects weigh no
// more than those that it keeps. All answers of a rolling-in version are rated, since its exposure
// is counted in unrated answers, and so are all that were requested only to be rated (onlyRated).
func (h *handler) countAnswer(v template.Version, answer string, escalated, onlyRated bool, fn func(good bool)) {
	r := h.router
	k := keyOf(h.req.Policy, v)
	k.Escalated = escalated
	if v.State != template.RollingIn && !h.sampled && !onlyRated {
		r.evidence.Start(k, false)
		return
	}
	r.submitForRating(h.req, v, k, answer, fn)
}

// submitForRating counts an answer as unrated and submits it for rating.
func (r *Router) submitForRating(req *Request, v template.Version, k evidence.Key, answer string, fn func(good bool)) {
	r.evidence.Start(k, true)
	queued := r.ratings.Submit(req.Chat.Prompt, answer, func(good, ok bool) {
		if !ok {
			r.evidence.Unrated(k)
			return
		}
		r.evidence.Rated(k, good)
		fn(good)
	})
	// An answer of a rolling-in version that can't be rated still counts as exposure.
	if !queued && v.State != template.RollingIn {
		r.evidence.Unrated(k)
	}
}

// RatingService rates answers.
type RatingService interface {
	Rate(ctx context.Context, prompt, answer string) (bool, error)
}

// RatingQueue rates answers in the background with a fixed number of workers.
type RatingQueue struct {
	service RatingService
	log     *event.Log
	jobs    chan ratingJob
	down    bool
	mu      sync.Mutex
}

type ratingJob struct {
	prompt string
	answer string
	done   func(good, ok bool)
}

const (
	ratingWorkers    = 64
	maxQueuedRatings = 2000
	ratingTimeout    = 30 * time.Second
	// maxRatedBytes bounds the memory held by the prompt, and by the answer, of one queued rating.
	maxRatedBytes = 16 << 10
)

// NewRatingQueue returns a queue for a rating service; without one (nil) the queue accepts no answers.
func NewRatingQueue(service RatingService, log *event.Log) *RatingQueue {
	return &RatingQueue{service: service, log: log, jobs: make(chan ratingJob, maxQueuedRatings)}
}

// Submit queues an answer; it returns false if the queue is full or there is no rating service.
func (q *RatingQueue) Submit(prompt, answer string, done func(good, ok bool)) bool {
	if q.service == nil {
		return false
	}
	job := ratingJob{prompt: truncate(prompt), answer: truncate(answer), done: done}
	select {
	case q.jobs <- job:
		return true
	default:
		return false
	}
}

func truncate(s string) string { return s[:min(len(s), maxRatedBytes)] }

// Run rates answers until ctx ends.
func (q *RatingQueue) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for range ratingWorkers {
		wg.Go(func() { q.runWorker(ctx) })
	}
	wg.Wait()
	return nil
}

func (q *RatingQueue) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-q.jobs:
			good, err := q.rate(ctx, job)
			job.done(good, err == nil)
		}
	}
}

// rate calls the rating service with retries until it responds; meanwhile the answer stays unrated, which slows roll-outs.
func (q *RatingQueue) rate(ctx context.Context, job ratingJob) (bool, error) {
	return backoff.Retry(ctx, func() (bool, error) {
		callCtx, cancel := context.WithTimeout(ctx, ratingTimeout)
		defer cancel()
		good, err := q.service.Rate(callCtx, job.prompt, job.answer)
		q.noteResult(err)
		return good, err
	}, backoff.WithBackOff(backoff.NewExponentialBackOff()), backoff.WithMaxElapsedTime(0))
}

func (q *RatingQueue) noteResult(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil && !q.down {
		q.log.Emit(event.RaterUnavailable, "error", err.Error())
	}
	q.down = err != nil
}

// Dump returns the number of answers that wait for a rating and whether the rating service is down.
func (q *RatingQueue) Dump() any {
	q.mu.Lock()
	defer q.mu.Unlock()
	return struct {
		Waiting int  `json:"waiting"`
		Down    bool `json:"down"`
	}{len(q.jobs), q.down}
}
