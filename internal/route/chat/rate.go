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

// rate has an answer rated if it is in the sample; fn gets the rating.
//
// The sample is drawn before the answer is known, so that what a cascade rejects weighs no
// more than what it keeps. Every answer of a rolling-in version is rated, since its exposure
// is counted in unrated answers, and every answer that was made only to learn (unseen).
func (u *run) rate(v template.Version, answer string, after, unseen bool, fn func(good bool)) {
	r := u.router
	k := keyOf(u.req.Policy, v)
	k.Escalated = after
	if v.State != template.RollingIn && !u.sampled && !unseen {
		r.evidence.Start(k, false)
		return
	}
	r.submit(u.req, v, k, answer, fn)
}

// submit counts an answer as unrated and hands it to the rating service.
func (r *Router) submit(req *Request, v template.Version, k evidence.Key, answer string, fn func(good bool)) {
	r.evidence.Start(k, true)
	taken := r.ratings.Submit(req.Chat.Prompt, answer, func(good, ok bool) {
		if !ok {
			r.evidence.Unrated(k)
			return
		}
		r.evidence.Rated(k, good)
		fn(good)
	})
	// Answers of a rolling-in version that nobody rates keep counting as exposure.
	if !taken && v.State != template.RollingIn {
		r.evidence.Unrated(k)
	}
}

// RatingService rates answers.
type RatingService interface {
	Rate(ctx context.Context, prompt, answer string) (bool, error)
}

// RatingQueue has answers rated in the background by a few workers.
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
	ratingWorkers = 64
	maxRatings    = 2000
	ratingTimeout = 30 * time.Second
	// maxRatedBytes bounds what a waiting answer holds in memory.
	maxRatedBytes = 16 << 10
)

// NewRatingQueue returns a queue in front of a rating service; nil means that there is none.
func NewRatingQueue(service RatingService, log *event.Log) *RatingQueue {
	return &RatingQueue{service: service, log: log, jobs: make(chan ratingJob, maxRatings)}
}

// Submit takes an answer unless the queue is full.
func (q *RatingQueue) Submit(prompt, answer string, done func(good, ok bool)) bool {
	if q.service == nil {
		return false
	}
	job := ratingJob{prompt: clip(prompt), answer: clip(answer), done: done}
	select {
	case q.jobs <- job:
		return true
	default:
		return false
	}
}

func clip(s string) string { return s[:min(len(s), maxRatedBytes)] }

// Run rates answers until ctx ends.
func (q *RatingQueue) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for range ratingWorkers {
		wg.Go(func() { q.work(ctx) })
	}
	wg.Wait()
	return nil
}

func (q *RatingQueue) work(ctx context.Context) {
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

// rate asks until the service answers; meanwhile the answer stays unrated, which holds roll-outs back.
func (q *RatingQueue) rate(ctx context.Context, job ratingJob) (bool, error) {
	return backoff.Retry(ctx, func() (bool, error) {
		callCtx, cancel := context.WithTimeout(ctx, ratingTimeout)
		defer cancel()
		good, err := q.service.Rate(callCtx, job.prompt, job.answer)
		q.note(err)
		return good, err
	}, backoff.WithBackOff(backoff.NewExponentialBackOff()), backoff.WithMaxElapsedTime(0))
}

func (q *RatingQueue) note(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil && !q.down {
		q.log.Emit(event.RaterUnavailable, "error", err.Error())
	}
	q.down = err != nil
}

// Dump shows how many answers wait for a rating.
func (q *RatingQueue) Dump() any {
	q.mu.Lock()
	defer q.mu.Unlock()
	return struct {
		Waiting int  `json:"waiting"`
		Down    bool `json:"down"`
	}{len(q.jobs), q.down}
}
