package chat

import (
	"context"
	"time"

	"github.com/pollencourse/pollencourse/internal/back/engine"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/balance"
	"github.com/pollencourse/pollencourse/internal/decide/cascade"
)

// complete answers a request that does not stream.
func (u *run) complete(ctx context.Context, w Answer) error {
	version, whole, err := u.plan(ctx)
	if err != nil {
		return err
	}
	u.router.charges.Add(u.charge(version, "whole"))
	body := whole.Body
	if !u.req.Chat.Logprobs && u.confidence {
		body = stripLogprobs(body)
	}
	w.Head(version, u.attempts, "application/json")
	_, err = w.Write(body)
	return err
}

// plan runs the plan and returns the answer to use with its version.
func (u *run) plan(ctx context.Context) (string, *engine.Whole, error) {
	p := u.choice.plan
	u.sampled = u.router.random() < u.req.Class.RateShare
	u.confidence = u.sampled || p.Second != "" || u.req.Chat.Logprobs
	first, err := u.try(ctx, p.First)
	if err != nil {
		return u.fallBack(ctx, err)
	}
	keep := p.Second == "" || first.Confidence >= p.Threshold && !u.choice.explore
	u.learn(p.First, first, false, u.choice.explore)
	if keep {
		return p.First, first, nil
	}
	u.router.counts.escalated.Add(1)
	second, err := u.try(ctx, p.Second)
	if err != nil {
		return u.settleForFirst(first, err)
	}
	u.learn(p.Second, second, !u.choice.explore, false)
	return p.Second, second, nil
}

// settleForFirst uses the first answer when the second version gave none and the request may settle.
func (u *run) settleForFirst(first *engine.Whole, err error) (string, *engine.Whole, error) {
	if u.req.MaySettle && u.req.Class.MaySettle && !u.choice.explore {
		return u.choice.plan.First, first, nil
	}
	return "", nil, err
}

// fallBack tries the version whose place a rolling-in version took, or the plan's second version.
func (u *run) fallBack(ctx context.Context, err error) (string, *engine.Whole, error) {
	next := u.choice.rolled
	if next == "" {
		next = u.choice.plan.Second
	}
	if next == "" || ctx.Err() != nil || fault.KindOf(err) == fault.NotAllowed && u.choice.keeps {
		return "", nil, err
	}
	whole, err2 := u.try(ctx, next)
	if err2 != nil {
		return "", nil, err2
	}
	u.learn(next, whole, false, false)
	return next, whole, nil
}

// try sends attempts for one version until one gives a whole answer.
func (u *run) try(ctx context.Context, version string) (*engine.Whole, error) {
	body, err := u.req.Chat.body(version, u.req.Priority, u.confidence)
	if err != nil {
		return nil, fault.New(fault.BadRequest, badChat, "request can't be encoded").WithCause(err)
	}
	for tries := 1; ; tries++ {
		t, err := u.place(ctx, version)
		if err != nil {
			return nil, err
		}
		began := time.Now()
		whole, f := u.router.engines.Complete(ctx, engine.Call{
			Address: t.Address, AttemptID: newAttemptID(), RequestID: u.req.RequestID, Body: body,
			OnLoad: func(rep balance.LoadReport) { u.router.pool.Report(t, rep) },
		})
		u.release(t, version, f, whole.Load, began)
		if f == nil {
			u.note(engine.Answering)
			u.spent(version, whole.Usage)
			return whole, nil
		}
		if !u.again(ctx, f, tries) {
			return nil, u.failure(f)
		}
		u.reconsider(version)
	}
}

// learn counts an answer and has it rated, if it is in the sample.
func (u *run) learn(version string, whole *engine.Whole, after, unseen bool) {
	r := u.router
	v := u.version(version)
	k := r.learned(u.req, version)
	if whole.Confidence >= 0 {
		r.learner.with(k, v.PriorQuality, func(e *cascade.Evidence) { e.Observe(whole.Confidence) })
	}
	u.rate(v, whole.Text, after, unseen, func(good bool) {
		r.learner.with(k, v.PriorQuality, func(e *cascade.Evidence) {
			if after {
				e.RateEscalated(good)
			}
			switch {
			case after:
			case whole.Confidence >= 0:
				e.Rate(whole.Confidence, good)
			default:
				e.RateWithoutConfidence(good)
			}
		})
	})
}
