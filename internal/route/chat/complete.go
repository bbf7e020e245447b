package chat

import (
	"context"
	"time"

	"github.com/pollencourse/pollencourse/internal/back/engine"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/balance"
	"github.com/pollencourse/pollencourse/internal/decide/cascade"
)

// complete handles a request that does not stream.
func (h *handler) complete(ctx context.Context, w ResponseWriter) error {
	version, answer, err := h.runPlan(ctx)
	if err != nil {
		return err
	}
	h.router.charges.Add(h.charge(version, "whole"))
	body := answer.Body
	if !h.req.Chat.Logprobs && h.withLogprobs {
		body = stripLogprobs(body)
	}
	w.Begin(version, h.attempts, "application/json")
	_, err = w.Write(body)
	return err
}

// runPlan executes the plan and returns the answer to use with its version.
func (h *handler) runPlan(ctx context.Context) (string, *engine.CompleteResponse, error) {
	p := h.choice.plan
	h.sampled = h.router.random() < h.req.Class.RateShare
	h.withLogprobs = h.sampled || p.Second != "" || h.req.Chat.Logprobs
	first, err := h.tryVersion(ctx, p.First)
	if err != nil {
		return h.tryFallback(ctx, err)
	}
	keep := p.Second == "" || first.Confidence >= p.Threshold && !h.choice.firstOnlyRated
	h.recordAnswer(p.First, first, false, h.choice.firstOnlyRated)
	if keep {
		return p.First, first, nil
	}
	h.router.counts.escalated.Add(1)
	second, err := h.tryVersion(ctx, p.Second)
	if err != nil {
		return h.settleForFirst(first, err)
	}
	h.recordAnswer(p.Second, second, !h.choice.firstOnlyRated, false)
	return p.Second, second, nil
}

// settleForFirst returns the first answer if the second version gave none and the request may settle for it.
func (h *handler) settleForFirst(first *engine.CompleteResponse, err error) (string, *engine.CompleteResponse, error) {
	if h.req.MaySettle && h.req.Class.MaySettle && !h.choice.firstOnlyRated {
		return h.choice.plan.First, first, nil
	}
	return "", nil, err
}

// tryFallback tries the version that a rolling-in version replaced, or else the plan's second version.
func (h *handler) tryFallback(ctx context.Context, err error) (string, *engine.CompleteResponse, error) {
	next := h.choice.replaced
	if next == "" {
		next = h.choice.plan.Second
	}
	if next == "" || ctx.Err() != nil || fault.KindOf(err) == fault.NotAllowed && h.choice.usesSessionVersion {
		return "", nil, err
	}
	answer, err2 := h.tryVersion(ctx, next)
	if err2 != nil {
		return "", nil, err2
	}
	h.recordAnswer(next, answer, false, false)
	return next, answer, nil
}

// tryVersion sends attempts to servers of one version until one returns a complete response.
func (h *handler) tryVersion(ctx context.Context, version string) (*engine.CompleteResponse, error) {
	body, err := h.req.Chat.engineBody(version, h.req.Priority, h.withLogprobs)
	if err != nil {
		return nil, fault.New(fault.BadRequest, chatRemedy, "the request can't be encoded").WithCause(err)
	}
	for attempts := 1; ; attempts++ {
		t, err := h.acquire(ctx, version)
		if err != nil {
			return nil, err
		}
		began := time.Now()
		answer, f := h.router.engines.Complete(ctx, engine.Call{
			Address: t.Address, AttemptID: newAttemptID(), RequestID: h.req.RequestID, Body: body,
			OnLoad: func(rep balance.LoadReport) { h.router.pool.RecordLoad(t, rep) },
		})
		h.release(t, version, f, answer.Load, began)
		if f == nil {
			h.noteProgress(engine.ResponseStarted)
			h.addUsage(version, answer.Usage)
			return answer, nil
		}
		if !h.mayRetry(ctx, f, attempts) {
			return nil, h.requestError(f)
		}
		h.resetAvoidIfExhausted(version)
	}
}

// recordAnswer counts an answer and submits it for rating if it is in the sample.
func (h *handler) recordAnswer(version string, answer *engine.CompleteResponse, escalated, onlyRated bool) {
	r := h.router
	v := h.version(version)
	k := r.statsKeyOf(h.req, version)
	if answer.Confidence >= 0 {
		r.learner.withEvidence(k, v.PriorQuality, func(e *cascade.Evidence) { e.Observe(answer.Confidence) })
	}
	h.countAnswer(v, answer.Text, escalated, onlyRated, func(good bool) {
		r.learner.withEvidence(k, v.PriorQuality, func(e *cascade.Evidence) {
			if escalated {
				e.RateEscalated(good)
			}
			switch {
			case escalated:
			case answer.Confidence >= 0:
				e.Rate(answer.Confidence, good)
			default:
				e.RateWithoutConfidence(good)
			}
		})
	})
}
