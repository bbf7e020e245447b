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
	Complete(ctx context.Context, call engine.Call) (*engine.CompleteResponse, *engine.Failure)
	Stream(ctx context.Context, call engine.Call, sink engine.Sink) (*engine.StreamResult, *engine.Failure)
}

// Pool reserves slots at servers for attempts.
type Pool interface {
	Acquire(ctx context.Context, req pool.Requirements) (balance.Target, error)
	Release(t balance.Target, o balance.Outcome, rep balance.LoadReport, took time.Duration)
	RecordLoad(t balance.Target, rep balance.LoadReport)
	MarkLeaving(t balance.Target)
	Usable(workload string) bool
	Exhausted(workload string, avoid []string) bool
	Latency(workload string) time.Duration
	Pressure(workload string) (waiting int, free float64)
}

// Evidence counts answers and ratings of versions and reports which versions are stopped.
type Evidence interface {
	// Start counts an answer; rated is true if it is to be rated.
	Start(k evidence.Key, rated bool)
	Rated(k evidence.Key, good bool)
	// Unrated corrects the counts for an answer that was to be rated but will not be.
	Unrated(k evidence.Key)
	Allows(k evidence.Key, exposure int, weight float64) bool
	Stopped(k evidence.Key) bool
}

// Policies returns the policies of the configuration in force.
type Policies interface {
	Policy(name, account string) (*template.Policy, bool)
}

// Charges records the charges for answers.
type Charges interface {
	Add(c *peerpb.Charge)
}

// Ratings accepts answers for rating.
type Ratings interface {
	// Submit reports whether the answer is queued; done is called later with the rating, if ok.
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

// Deps holds the dependencies of a router.
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
	// Random returns uniform random numbers in [0, 1); nil means math/rand/v2.
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

// ResponseWriter writes the response to a request; Begin is called once before anything else.
type ResponseWriter interface {
	// Begin sends the headers, with the version, the number of attempts and the content type, before the body.
	Begin(version string, attempts int, contentType string)
	http.ResponseWriter
	Flush() error
}

// Serve writes the response to one request, or returns an error that says whether the request ran.
//
// An error that occurs after a stream has begun is also returned; the caller of Serve writes it into the stream.
func (r *Router) Serve(ctx context.Context, req *Request, w ResponseWriter) error {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	r.counts.requests.Add(1)
	r.budget.Earn()
	c, err := r.choose(req)
	if err != nil {
		return err
	}
	h := &handler{router: r, req: req, choice: c, startedAt: time.Now()}
	if req.Chat.Stream {
		return h.stream(ctx, w)
	}
	return h.complete(ctx, w)
}

// handler handles one request.
type handler struct {
	router    *Router
	req       *Request
	choice    choice
	startedAt time.Time
	attempts  int
	avoid     []string
	cost      float64
	usage     engine.Usage
	// progress is the furthest state that any attempt reached.
	progress engine.Progress
	// sampled is true if the answers are in the sample to be rated.
	sampled bool
	// withLogprobs is true if log-probabilities are requested from the engines.
	withLogprobs bool
}

func (h *handler) noteProgress(p engine.Progress) { h.progress = max(h.progress, p) }

// requestError returns the error of a request whose last attempt failed, with the outcome over all attempts.
func (h *handler) requestError(f *engine.Failure) error {
	kind, remedy := fault.BadGateway, "send it again"
	if f.Reason == engine.Cancelled {
		kind, remedy = fault.TooLate, "allow more time or try later"
	}
	return fault.New(kind, remedy, "no backend server returned a complete response").WithCause(f).WithOutcome(h.outcome())
}

func (h *handler) outcome() fault.Outcome {
	if h.progress == engine.Unsent {
		return fault.NotRun
	}
	return fault.Unknown
}

// checkPolicy checks right before an attempt is sent that the policy in force allows the version.
func (h *handler) checkPolicy(version string) error {
	p, ok := h.router.policies.Policy(h.req.Policy.Template, h.req.Policy.Account)
	if ok && p.Allows(version, h.choice.usesSessionVersion) {
		return nil
	}
	h.router.counts.disallowed.Add(1)
	h.router.log.Emit(event.AttemptDisallowed, "version", version, "account", h.req.Policy.Account)
	return fault.New(fault.NotAllowed, "send it again", "version %s was withdrawn while the request was handled", version).WithOutcome(h.outcome())
}

func (h *handler) version(id string) template.Version {
	v, _ := h.req.Policy.Version(id)
	return v
}

// charge returns the single charge of the request.
func (h *handler) charge(version, outcome string) *peerpb.Charge {
	return &peerpb.Charge{
		RequestId: h.req.RequestID, Account: h.req.Policy.Account, Template: h.req.Policy.Template,
		Class: h.req.Class.Name, Version: version, MicroUnits: int64(h.cost),
		PromptTokens: h.usage.Prompt, CompletionTokens: h.usage.Completion,
		AtUnixMs: time.Now().UnixMilli(), Attempts: uint32(h.attempts), Outcome: outcome,
	}
}

// addUsage adds the cost of an attempt's tokens to the request's cost and records its usage.
func (h *handler) addUsage(version string, usage engine.Usage) {
	v := h.version(version)
	h.cost += float64(usage.Prompt)*v.PromptCost + float64(usage.Completion)*v.CompletionCost
	h.usage = usage
	h.router.counts.tokens.Add(usage.Completion)
	if usage.Completion > 0 {
		h.router.learner.addUsage(h.router.statsKeyOf(h.req, version), usage.Prompt, usage.Completion)
	}
}

func newAttemptID() string { return uuid.NewString() }

// Dump returns the counters and the learned statistics.
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
