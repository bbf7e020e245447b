package service

import (
	"context"

	"github.com/pollencourse/pollencourse/internal/back/engine"
	backend "github.com/pollencourse/pollencourse/internal/back/service"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/fleet/intent"
)

// runWithoutStore is the template's word for running non-idempotent work in a store outage.
const runWithoutStore = "run"

// once answers a call that must run at most once over the fleet.
func (r *Router) once(ctx context.Context, req *Request) (*Response, error) {
	in, recorded, err := r.intents.Begin(ctx, intent.Request{
		Account: req.Policy.Account, RequestID: req.RequestID, Service: req.Service.Name + " " + req.Method + " " + req.Path, Body: req.Body,
	})
	if err != nil {
		if r.mayRunAnyway(req, err) {
			return r.runUnguarded(ctx, req)
		}
		return nil, err
	}
	if recorded != nil {
		r.charge(req)
		return &Response{Status: recorded.Status, ContentType: recorded.ContentType, Body: recorded.Body, Recorded: true}, nil
	}
	return r.runGuarded(ctx, req, in)
}

// mayRunAnyway reports whether the template lets the call run without the store.
//
// It must be certain that the call did not run, and the caller must not have given an
// ID under which it might ask again at another daemon.
func (r *Router) mayRunAnyway(req *Request, err error) bool {
	e := fault.As(err)
	return req.Service.WithoutStore == runWithoutStore && e.Kind == fault.Unavailable && e.Outcome == fault.NotRun && !req.CallerChoseID
}

func (r *Router) runUnguarded(ctx context.Context, req *Request) (*Response, error) {
	a, f, err := r.sendOnce(ctx, req)
	switch {
	case err != nil:
		return nil, err
	case f != nil:
		return nil, failed(f, fault.Unknown)
	}
	r.charge(req)
	return &Response{Status: a.Status, ContentType: a.ContentType, Body: a.Body}, nil
}

// runGuarded sends the call under its intent and records what came of it.
func (r *Router) runGuarded(ctx context.Context, req *Request, in *intent.Intent) (*Response, error) {
	settleCtx := context.WithoutCancel(ctx)
	// A caller that goes away does not cut the call, so that its outcome is recorded.
	sendCtx, cancel := context.WithDeadline(settleCtx, req.Deadline)
	defer cancel()
	a, f, err := r.sendOnce(sendCtx, req)
	switch {
	case err != nil:
		in.Release(settleCtx)
		return nil, err
	case f != nil:
		in.Lost()
		return nil, fault.New(fault.OutcomeLost, "ask the service whether the request ran before using a new request ID",
			"the service gave no whole answer").WithCause(f).WithOutcome(fault.Unknown)
	}
	in.Done(settleCtx, intent.Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Body})
	r.charge(req)
	return &Response{Status: a.Status, ContentType: a.ContentType, Body: a.Body}, nil
}

// sendOnce sends the call to one server; only servers that could not be connected to are passed over.
//
// err means that nothing was sent, f that it was sent without a whole answer.
func (r *Router) sendOnce(ctx context.Context, req *Request) (*backend.Answer, *engine.Failure, error) {
	var avoid []string
	for range maxTries {
		t, err := r.pool.Acquire(ctx, r.need(req, avoid))
		if err != nil {
			return nil, nil, err
		}
		a, f := r.send(ctx, req, t)
		if f == nil || f.Sent != engine.Unsent {
			return a, f, nil
		}
		avoid = append(avoid, t.ID)
		if ctx.Err() != nil {
			return nil, nil, fault.New(fault.TooLate, "allow more time or try later", "the deadline passed before the request was sent").WithCause(f)
		}
	}
	return nil, nil, fault.New(fault.Unavailable, "send it again with the same request ID", "no server of %s could be connected to (%d tried)", req.Service.Name, maxTries)
}
