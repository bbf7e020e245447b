package service

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/pollencourse/pollencourse/internal/back/engine"
	backend "github.com/pollencourse/pollencourse/internal/back/service"
	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/admission"
	"github.com/pollencourse/pollencourse/internal/decide/balance"
	"github.com/pollencourse/pollencourse/internal/decide/retry"
	"github.com/pollencourse/pollencourse/internal/fleet/intent"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
	"github.com/pollencourse/pollencourse/internal/route/pool"
)

// Servers sends calls to backend servers.
type Servers interface {
	Do(ctx context.Context, call backend.Call) (*backend.Response, *engine.Failure)
}

// Pool reserves slots at servers for attempts.
type Pool interface {
	Acquire(ctx context.Context, req pool.Requirements) (balance.Target, error)
	Release(t balance.Target, o balance.Outcome, rep balance.LoadReport, took time.Duration)
	Latency(workload string) time.Duration
}

// Intents keeps non-idempotent calls from running twice.
type Intents interface {
	Begin(ctx context.Context, req intent.Request) (*intent.Intent, *intent.Response, error)
}

// Charges records the charges for calls.
type Charges interface {
	Add(c *peerpb.Charge)
}

// Request is a call of an authenticated caller.
type Request struct {
	Policy    *template.Policy
	Service   template.Service
	RequestID string
	// CallerChoseID is true if the caller chose the request ID.
	CallerChoseID bool
	Deadline      time.Time
	Priority      int
	Method        string
	Path          string
	ContentType   string
	Body          []byte
}

// Response is the response to a call.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Recorded is true if the call ran earlier and this is its recorded response.
	Recorded bool
}

// Router routes calls of plain services.
type Router struct {
	servers Servers
	pool    Pool
	intents Intents
	charges Charges
	budget  *retry.Budget
	log     *event.Log

	requests atomic.Int64
	attempts atomic.Int64
	hedges   atomic.Int64
}

// New returns a router.
func New(servers Servers, p Pool, intents Intents, charges Charges, log *event.Log) *Router {
	return &Router{servers: servers, pool: p, intents: intents, charges: charges, budget: retry.NewBudget(), log: log}
}

// expectedCallBytes is the expected traffic of one call between regions.
const expectedCallBytes = 2 << 10

// Serve returns the response to one call, or an error that says whether the call ran.
func (r *Router) Serve(ctx context.Context, req *Request) (*Response, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	r.requests.Add(1)
	r.budget.Earn()
	if req.Service.Idempotent {
		return r.serveIdempotent(ctx, req)
	}
	return r.serveNonIdempotent(ctx, req)
}

func (r *Router) requirements(req *Request, avoid []string) pool.Requirements {
	return pool.Requirements{
		Workload: req.Service.Name, Avoid: avoid, ExpectedBytes: expectedCallBytes,
		Admission: admission.Request{
			Account: req.Policy.Account, Weight: req.Policy.FairWeight, Priority: req.Priority,
			Deadline: req.Deadline, ServiceTime: r.pool.Latency(req.Service.Name),
		},
	}
}

func (r *Router) callTo(req *Request, t balance.Target) backend.Call {
	return backend.Call{
		Address: t.Address, Method: req.Method, Path: req.Path, ContentType: req.ContentType,
		AttemptID: uuid.NewString(), RequestID: req.RequestID, Body: req.Body, Idempotent: req.Service.Idempotent,
	}
}

// send makes one attempt at an acquired server and releases its slot.
func (r *Router) send(ctx context.Context, req *Request, t balance.Target) (*backend.Response, *engine.Failure) {
	r.attempts.Add(1)
	began := time.Now()
	a, f := r.servers.Do(ctx, r.callTo(req, t))
	outcome := balance.Success
	switch {
	case f != nil && f.Reason == engine.Cancelled:
		outcome = balance.Cancelled
	case f != nil && f.Reason == engine.Refused:
		outcome = balance.Refused
	case f != nil || a.Status >= 500:
		outcome = balance.Failed
	}
	r.pool.Release(t, outcome, balance.LoadReport{}, time.Since(began))
	if f != nil && f.Reason != engine.Cancelled {
		r.log.Emit(event.AttemptFailed, "server", t.ID, "requestID", req.RequestID, "error", f.Error())
	}
	return a, f
}

func (r *Router) charge(req *Request) {
	r.charges.Add(&peerpb.Charge{
		RequestId: req.RequestID, Account: req.Policy.Account, Template: req.Policy.Template,
		Class: req.Service.Name, MicroUnits: int64(req.Service.Cost), AtUnixMs: time.Now().UnixMilli(),
		Attempts: 1, Outcome: "whole",
	})
}

func failureError(f *engine.Failure, outcome fault.Outcome) error {
	kind, remedy := fault.BadGateway, "send it again"
	if f.Reason == engine.Cancelled {
		kind, remedy = fault.TooLate, "allow more time or try later"
	}
	return fault.New(kind, remedy, "the service returned no complete response").WithCause(f).WithOutcome(outcome)
}

// Dump returns the counters.
func (r *Router) Dump() any {
	return struct {
		Requests int64 `json:"requests"`
		Attempts int64 `json:"attempts"`
		Hedges   int64 `json:"hedges"`
	}{r.requests.Load(), r.attempts.Load(), r.hedges.Load()}
}
