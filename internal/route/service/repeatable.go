package service

import (
	"context"
	"slices"
	"time"

	"github.com/pollencourse/pollencourse/internal/back/engine"
	backend "github.com/pollencourse/pollencourse/internal/back/service"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/balance"
)

const (
	// hedgeFactor is how many times the usual latency a call may take before it is hedged.
	hedgeFactor = 3
	minHedge    = 20 * time.Millisecond
	maxTries    = 4
)

// result is the end of one attempt.
type result struct {
	target  balance.Target
	answer  *backend.Answer
	failure *engine.Failure
	err     error
}

// repeatable answers a call of an idempotent service.
func (r *Router) repeatable(ctx context.Context, req *Request) (*Response, error) {
	var avoid []string
	outcome := fault.NotRun
	for tries := 1; ; tries++ {
		res := r.hedged(ctx, req, avoid)
		if res.err != nil {
			e := *fault.As(res.err)
			return nil, e.WithOutcome(outcome)
		}
		if res.failure == nil {
			r.charge(req)
			return &Response{Status: res.answer.Status, ContentType: res.answer.ContentType, Body: res.answer.Body}, nil
		}
		if res.failure.Sent != engine.Unsent {
			outcome = fault.Unknown
		}
		avoid = append(avoid, res.target.ID)
		if !r.again(ctx, res.failure, tries) {
			return nil, failed(res.failure, outcome)
		}
	}
}

// again reports whether another attempt may follow; refusals and failed connections are not taken from the budget.
func (r *Router) again(ctx context.Context, f *engine.Failure, tries int) bool {
	if ctx.Err() != nil || tries >= maxTries || f.Reason == engine.TooLarge {
		return false
	}
	return f.Sent == engine.Unsent || f.Reason == engine.Refused || r.budget.Spend()
}

// hedged makes one attempt and, if it takes long, a second one at another server.
func (r *Router) hedged(ctx context.Context, req *Request, avoid []string) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	first, err := r.pool.Acquire(ctx, r.need(req, avoid))
	if err != nil {
		return result{err: err}
	}
	go func() { results <- r.attempt(ctx, req, first) }()
	select {
	case res := <-results:
		return res
	case <-time.After(r.hedgeDelay(req)):
	}
	out := 1
	if r.startHedge(ctx, req, append(slices.Clone(avoid), first.ID), results) {
		out++
	}
	return firstGood(results, out)
}

func (r *Router) hedgeDelay(req *Request) time.Duration {
	return max(minHedge, hedgeFactor*r.pool.Latency(req.Service.Name))
}

func (r *Router) startHedge(ctx context.Context, req *Request, avoid []string, results chan<- result) bool {
	if !r.budget.Spend() {
		return false
	}
	r.hedges.Add(1)
	go func() {
		t, err := r.pool.Acquire(ctx, r.need(req, avoid))
		if err != nil {
			results <- result{err: err}
			return
		}
		results <- r.attempt(ctx, req, t)
	}()
	return true
}

// firstGood returns the first whole answer, or the last failure.
func firstGood(results <-chan result, n int) result {
	var last result
	for range n {
		res := <-results
		if res.err == nil && res.failure == nil {
			return res
		}
		if last.failure == nil {
			last = res
		}
	}
	return last
}

func (r *Router) attempt(ctx context.Context, req *Request, t balance.Target) result {
	a, f := r.send(ctx, req, t)
	return result{target: t, answer: a, failure: f}
}
