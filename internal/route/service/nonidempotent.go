package service

import (
	"context"

	"github.com/pollencourse/pollencourse/internal/back/engine"
	backend "github.com/pollencourse/pollencourse/internal/back/service"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/fleet/intent"
)

// withoutStoreRun is the template's value for running non-idempotent calls during a store outage.
const withoutStoreRun = "run"

// serveNonIdempotent handles a call that must run at most once over all daemons.
func (r *Router) serveNonIdempotent(ctx context.Context, req *Request) (*Response, error) {
	in, recorded, err := r.intents.Begin(ctx, intent.Request{
		Account: req.Policy.Account, RequestID: req.RequestID, Service: req.Service.Name + " " + req.Method + " " + req.Path, Body: req.Body,
	})
	if err != nil {
		if r.mayRunWithoutIntent(req, err) {
			return r.runWithoutIntent(ctx, req)
		}
		return nil, err
	}
	if recorded != nil {
		r.charge(req)
		return &Response{Status: recorded.Status, ContentType: recorded.ContentType, Body: recorded.Body, Recorded: true}, nil
	}
	return r.runWithIntent(ctx, req, in)
}

// mayRunWithoutIntent reports whether the template allows the call to run without a recorded intent.
//
// The error must say that the call has not run, and the caller must not have chosen the
// request ID, since it could then send the request with the same ID to another daemon,
// where the call could run a second time.
func (r *Router) mayRunWithoutIntent(req *Request, err error) bool {
	e := fault.As(err)
	return req.Service.WithoutStore == withoutStoreRun && e.Kind == fault.Unavailable && e.Outcome == fault.NotRun && !req.CallerChoseID
}

func (r *Router) runWithoutIntent(ctx context.Context, req *Request) (*Response, error) {
	a, f, err := r.sendOnce(ctx, req)
	switch {
	case err != nil:
		return nil, err
	case f != nil:
		return nil, failureError(f, fault.Unknown)
	}
	r.charge(req)
	return &Response{Status: a.Status, ContentType: a.ContentType, Body: a.Body}, nil
}

// runWithIntent sends the call under its intent and records the outcome.
func (r *Router) runWithIntent(ctx context.Context, req *Request, in *intent.Intent) (*Response, error) {
	intentCtx := context.WithoutCancel(ctx)
	// The call goes on if the caller disconnects, so that its outcome is recorded.
	sendCtx, cancel := context.WithDeadline(intentCtx, req.Deadline)
	defer cancel()
	a, f, err := r.sendOnce(sendCtx, req)
	switch {
	case err != nil:
		in.Release(intentCtx)
		return nil, err
	case f != nil:
		in.MarkUnknown()
		return nil, fault.New(fault.OutcomeLost, "ask the service whether the request ran before using a new request ID",
			"the service returned no complete response").WithCause(f).WithOutcome(fault.Unknown)
	}
	in.Complete(intentCtx, intent.Response{Status: a.Status, ContentType: a.ContentType, Body: a.Body})
	r.charge(req)
	return &Response{Status: a.Status, ContentType: a.ContentType, Body: a.Body}, nil
}

// sendOnce sends the call to one server; it tries another only if the connection failed.
//
// err means that nothing was sent, f that the call was sent but no complete response received.
func (r *Router) sendOnce(ctx context.Context, req *Request) (*backend.Response, *engine.Failure, error) {
	var avoid []string
	for range maxAttempts {
		t, err := r.pool.Acquire(ctx, r.requirements(req, avoid))
		if err != nil {
			return nil, nil, err
		}
		a, f := r.send(ctx, req, t)
		if f == nil || f.Progress != engine.Unsent {
			return a, f, nil
		}
		avoid = append(avoid, t.ID)
		if ctx.Err() != nil {
			return nil, nil, fault.New(fault.TooLate, "allow more time or try later", "the deadline passed before the request was sent").WithCause(f)
		}
	}
	return nil, nil, fault.New(fault.Unavailable, "send it again with the same request ID", "no connection to a server of %s could be opened (%d tried)", req.Service.Name, maxAttempts)
}
