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
	// hedgeLatencyFactor is the multiple of the service's mean latency after which a call is hedged.
	hedgeLatencyFactor = 3
	minHedgeDelay      = 20 * time.Millisecond
	maxAttempts        = 4
)

// result is the result of one attempt; err means that nothing was sent.
type result struct {
	target   balance.Target
	response *backend.Response
	failure  *engine.Failure
	err      error
}

// serveIdempotent handles a call of an idempotent service.
func (r *Router) serveIdempotent(ctx context.Context, req *Request) (*Response, error) {
	var avoid []string
	outcome := fault.NotRun
	for attempts := 1; ; attempts++ {
		res := r.sendHedged(ctx, req, avoid)
		if res.err != nil {
			e := *fault.As(res.err)
			return nil, e.WithOutcome(outcome)
		}
		if res.failure == nil {
			r.charge(req)
			return &Response{Status: res.response.Status, ContentType: res.response.ContentType, Body: res.response.Body}, nil
		}
		if res.failure.Progress != engine.Unsent {
			outcome = fault.Unknown
		}
		avoid = append(avoid, res.target.ID)
		if !r.mayRetry(ctx, res.failure, attempts) {
			return nil, failureError(res.failure, outcome)
		}
	}
}

// mayRetry reports whether another attempt may follow. Retries after a refusal or a failed connection don't count against
// the retry budget.
func (r *Router) mayRetry(ctx context.Context, f *engine.Failure, attempts int) bool {
	if ctx.Err() != nil || attempts >= maxAttempts || f.Reason == engine.TooLarge {
		return false
	}
	return f.Progress == engine.Unsent || f.Reason == engine.Refused || r.budget.Spend()
}

// sendHedged makes one attempt and, if it takes long, a hedge at another server.
func (r *Router) sendHedged(ctx context.Context, req *Request, avoid []string) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	first, err := r.pool.Acquire(ctx, r.requirements(req, avoid))
	if err != nil {
		return result{err: err}
	}
	go func() { results <- r.attempt(ctx, req, first) }()
	select {
	case res := <-results:
		return res
	case <-time.After(r.hedgeDelay(req)):
	}
	inFlight := 1
	if r.startHedge(ctx, req, append(slices.Clone(avoid), first.ID), results) {
		inFlight++
	}
	return firstComplete(results, inFlight)
}

func (r *Router) hedgeDelay(req *Request) time.Duration {
	return max(minHedgeDelay, hedgeLatencyFactor*r.pool.Latency(req.Service.Name))
}

func (r *Router) startHedge(ctx context.Context, req *Request, avoid []string, results chan<- result) bool {
	if !r.budget.Spend() {
		return false
	}
	r.hedges.Add(1)
	go func() {
		t, err := r.pool.Acquire(ctx, r.requirements(req, avoid))
		if err != nil {
			results <- result{err: err}
			return
		}
		results <- r.attempt(ctx, req, t)
	}()
	return true
}

// firstComplete returns the first complete response among n results. Without one it returns the first failed attempt, or
// the last error if no attempt was made.
func firstComplete(results <-chan result, n int) result {
	var failed result
	for range n {
		res := <-results
		if res.err == nil && res.failure == nil {
			return res
		}
		if failed.failure == nil {
			failed = res
		}
	}
	return failed
}

func (r *Router) attempt(ctx context.Context, req *Request, t balance.Target) result {
	a, f := r.send(ctx, req, t)
	return result{target: t, response: a, failure: f}
}
