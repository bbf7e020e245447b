package chat

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/pollencourse/pollencourse/internal/back/engine"
	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/balance"
	"github.com/pollencourse/pollencourse/internal/decide/retry"
	"github.com/pollencourse/pollencourse/internal/fleet/evidence"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
	"github.com/pollencourse/pollencourse/internal/route/pool"
)

// Engines sends attempts to model engines.
type Engines interface {
	Complete(ctx context.Context, call engine.Call) (*engine.Whole, *engine.Failure)
	Stream(ctx context.Context, call engine.Call, sink engine.Sink) (*engine.Streamed, *engine.Failure)
}

// Pool gives attempts a place at a server.
type Pool interface {
	Acquire(ctx context.Context, need pool.Need) (balance.Target, error)
	Release(t balance.Target, o balance.Outcome, rep balance.LoadReport, took time.Duration)
	Report(t balance.Target, rep balance.LoadReport)
	Leaving(t balance.Target)
	Usable(offer string) bool
	Exhausted(offer string, avoid []string) bool
	Latency(offer string) time.Duration
	Pressure(offer string) (waiting int, free float64)
}

// Evidence counts answers and knows which versions are stopped.
type Evidence interface {
	Start(k evidence.Key, rated bool)
	Rated(k evidence.Key, good bool)
	Unrated(k evidence.Key)
	Allows(k evidence.Key, exposure int, weight float64) bool
	Stopped(k evidence.Key) bool
}

// Policies is the configuration in force.
type Policies interface {
	Policy(name, account string) (*template.Policy, bool)
}

// Charges takes what an answer costs.
type Charges interface {
	Add(c *peerpb.Charge)
}

// Ratings takes answers to be rated.
type Ratings interface {
	// Submit reports whether the answer will be rated; done is called with the rating later.
	Submit(prompt, answer string, done func(good, ok bool)) bool
}

// Router routes model requests.
type Router struct {
	engines  Engines
	pool     Pool
	evidence Evidence
	policies Policies
	charges  Charges
	ratings  Ratings
	learner  *Learner
	budget   *retry.Budget
	stale    func() bool
	random   func() float64
	log      *event.Log
	counts   counts
}

type counts struct {
	requests   atomic.Int64
	attempts   atomic.Int64
	retries    atomic.Int64
	escalated  atomic.Int64
	disallowed atomic.Int64
	tokens     atomic.Int64
}

// Deps are what a router is built from.
type Deps struct {
	Engines  Engines
	Pool     Pool
	Evidence Evidence
	Policies Policies
	Charges  Charges
	Ratings  Ratings
	Learner  *Learner
	// Stale reports whether the configuration may be out of date.
	Stale func() bool
	// Random gives uniform random numbers in [0, 1); nil takes the runtime's.
	Random func() float64
	Log    *event.Log
}

// New returns a router.
func New(d Deps) *Router {
	if d.Random == nil {
		d.Random = rand.Float64
	}
	return &Router{
		engines: d.Engines, pool: d.Pool, evidence: d.Evidence, policies: d.Policies, charges: d.Charges,
		ratings: d.Ratings, learner: d.Learner, budget: retry.NewBudget(), stale: d.Stale, random: d.Random, log: d.Log,
	}
}

// Answer takes the answer of a request; Head is called once before anything else.
type Answer interface {
	// Head tells the version and the number of attempts, before the body.
	Head(version string, attempts int, contentType string)
	http.ResponseWriter
	Flush() error
}

// Serve answers one request, or returns an error that says whether it ran.
//
// After a stream has begun, an error is returned for the caller of Serve to write into the stream.
func (r *Router) Serve(ctx context.Context, req *Request, w Answer) error {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	r.counts.requests.Add(1)
	r.budget.Earn()
	c, err := r.choose(req)
	if err != nil {
		return err
	}
	run := &run{router: r, req: req, choice: c, start: time.Now()}
	if req.Chat.Stream {
		return run.stream(ctx, w)
	}
	return run.complete(ctx, w)
}

// run is the work on one request.
type run struct {
	router   *Router
	req      *Request
	choice   choice
	start    time.Time
	attempts int
	avoid    []string
	cost     float64
	usage    engine.Usage
	// sent is how far any attempt came.
	sent engine.Sent
	// sampled is true if the answer is to be rated.
	sampled bool
	// confidence is true if engines are asked for log-probabilities.
	confidence bool
}

func (u *run) note(sent engine.Sent) { u.sent = max(u.sent, sent) }

// failure turns the last failed attempt into an error that tells the truth about the request.
func (u *run) failure(f *engine.Failure) error {
	kind, remedy := fault.BadGateway, "send it again"
	if f.Reason == engine.Cancelled {
		kind, remedy = fault.TooLate, "allow more time or try later"
	}
	return fault.New(kind, remedy, "no backend server gave a whole answer").WithCause(f).WithOutcome(u.outcome())
}

func (u *run) outcome() fault.Outcome {
	if u.sent == engine.Unsent {
		return fault.NotRun
	}
	return fault.Unknown
}

// allowed looks at the policy in force right before sending.
func (u *run) allowed(version string) error {
	p, ok := u.router.policies.Policy(u.req.Policy.Template, u.req.Policy.Account)
	if ok && p.Allows(version, u.choice.keeps) {
		return nil
	}
	u.router.counts.disallowed.Add(1)
	u.router.log.Emit(event.AttemptDisallowed, "version", version, "account", u.req.Policy.Account)
	return fault.New(fault.NotAllowed, "send it again", "version %s was withdrawn meanwhile", version).WithOutcome(u.outcome())
}

func (u *run) version(id string) template.Version {
	v, _ := u.req.Policy.Version(id)
	return v
}

// charge builds the request's one charge.
func (u *run) charge(version, outcome string) *peerpb.Charge {
	return &peerpb.Charge{
		RequestId: u.req.RequestID, Account: u.req.Policy.Account, Template: u.req.Policy.Template,
		Class: u.req.Class.Name, Version: version, MicroUnits: int64(u.cost),
		PromptTokens: u.usage.Prompt, CompletionTokens: u.usage.Completion,
		AtUnixMs: time.Now().UnixMilli(), Attempts: uint32(u.attempts), Outcome: outcome,
	}
}

// spent adds the tokens of an attempt to the request's cost.
func (u *run) spent(version string, usage engine.Usage) {
	v := u.version(version)
	u.cost += float64(usage.Prompt)*v.PromptCost + float64(usage.Completion)*v.CompletionCost
	u.usage = usage
	u.router.counts.tokens.Add(usage.Completion)
	if usage.Completion > 0 {
		u.router.learner.used(u.router.learned(u.req, version), usage.Prompt, usage.Completion)
	}
}

func newAttemptID() string { return uuid.NewString() }

// Dump shows the counts and what is learned.
func (r *Router) Dump() any {
	return struct {
		Requests     int64   `json:"requests"`
		Attempts     int64   `json:"attempts"`
		Retries      int64   `json:"retries"`
		Escalated    int64   `json:"escalated"`
		Disallowed   int64   `json:"disallowedBeforeSending"`
		Tokens       int64   `json:"tokens"`
		RetriesSaved float64 `json:"retriesSaved"`
		Learned      any     `json:"learned"`
	}{
		r.counts.requests.Load(), r.counts.attempts.Load(), r.counts.retries.Load(), r.counts.escalated.Load(),
		r.counts.disallowed.Load(), r.counts.tokens.Load(), r.budget.Balance(), r.learner.Dump(),
	}
}
