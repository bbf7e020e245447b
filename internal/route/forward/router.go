package forward

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencourse/pollencourse/internal/back/registry"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/place"
	"github.com/pollencourse/pollencourse/internal/decide/retry"
)

// Servers knows the backend servers.
type Servers interface {
	View() *registry.View
}

// Versions says which servers of a service may take a request, and judges versions by their answers.
type Versions interface {
	// Eligible returns the servers that may take a request, and those that may if all of them fail; key names its
	// session, or itself.
	Eligible(service, key string, servers []registry.Server) (first, then []registry.Server)
	Begin(s registry.Server)
	End(s registry.Server)
	// Judge counts an answer; unit is the time that a piece of it took, class what it is compared with.
	Judge(s registry.Server, route, class string, bad bool, unit time.Duration)
}

// Models chooses among the models of a route.
type Models interface {
	// First returns the model of the first attempt.
	First(models []string) string
	// Next returns the model that should answer instead, if the confidence of the first is too low.
	Next(models []string, model string, confidence int) (next string, ok bool)
}

// Options sets the bounds of a router.
type Options struct {
	// Repeats bounds the repeats to each service over the fleet.
	Repeats retry.Limit
	// Daemons returns the number of live daemons, which share what is allowed.
	Daemons func() int
	// ZoneRegion gives the region of each availability zone.
	ZoneRegion map[string]string
}

// Router routes requests by the configuration in force.
type Router struct {
	upstream Upstream
	servers  Servers
	versions Versions
	models   Models
	chooser  *place.Chooser
	opts     Options
	log      *event.Log

	mu      sync.Mutex
	budgets map[string]*retry.Window

	counts counts
}

type counts struct {
	requests  atomic.Int64
	attempts  atomic.Int64
	repeats   atomic.Int64
	escalated atomic.Int64
	resumed   atomic.Int64
	inFlight  atomic.Int64
}

// New returns a router.
func New(upstream Upstream, servers Servers, versions Versions, models Models, chooser *place.Chooser, opts Options, log *event.Log) *Router {
	return &Router{
		upstream: upstream, servers: servers, versions: versions, models: models, chooser: chooser,
		opts: opts, log: log, budgets: map[string]*retry.Window{},
	}
}

// Serve answers one request through w, or returns an error that says whether it ran.
//
// Once the answer has begun, an error means that the connection must be cut.
func (r *Router) Serve(ctx context.Context, req *Request, w http.ResponseWriter) error {
	r.counts.requests.Add(1)
	r.counts.inFlight.Add(1)
	defer r.counts.inFlight.Add(-1)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	r.budget(req.Service).Earn(time.Now())
	u := &run{router: r, req: req, w: w, lastEvent: req.LastEvent}
	var err error
	if req.streams() {
		err = u.stream(ctx)
	} else {
		err = u.call(ctx)
	}
	r.logEnd(u, err)
	return err
}

func (r *Router) budget(service string) *retry.Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgets[service]
	if b == nil {
		b = retry.NewWindow(r.opts.Repeats)
		r.budgets[service] = b
	}
	return b
}

// spend takes one repeat to a service if not more than a part of what is allowed is used.
func (r *Router) spend(service string, part float64) bool {
	if !r.budget(service).Spend(time.Now(), r.opts.Daemons(), part) {
		return false
	}
	r.counts.repeats.Add(1)
	return true
}

// logEnd writes the one line that tells how a request ended.
func (r *Router) logEnd(u *run, err error) {
	took := time.Since(u.req.Arrived).Milliseconds()
	server, version, model, expected := "", "", "", int64(0)
	if u.last != nil {
		server, version, model = u.last.server.ID, u.last.server.Version, u.last.model
		expected = u.last.ticket.ExpectedTimeToFirstChunk().Milliseconds()
	}
	if err == nil {
		r.log.Emit(event.RequestDone, "request", u.req.ID, "route", u.req.Route.Name, "revision", u.req.Revision,
			"server", server, "version", version, "model", model, "expectedMs", expected, "status", u.status, "attempts", u.attempts, "ms", took)
		return
	}
	e := fault.As(err)
	r.log.Emit(event.RequestFailed, "request", u.req.ID, "route", u.req.Route.Name, "revision", u.req.Revision,
		"server", server, "version", version, "model", model, "expectedMs", expected, "attempts", u.attempts, "ms", took, "kind", string(e.Kind),
		"outcome", string(e.Outcome), "begun", u.begun, "error", e.Error())
}

// run is the work on one request.
type run struct {
	router *Router
	req    *Request
	w      http.ResponseWriter

	// attempts counts the attempts that reached a server.
	attempts int
	// tries counts all attempts, those that reached no server included.
	tries int
	avoid []string
	last  *attempt
	// mayHaveRun is true once an attempt left that its server did not disown.
	mayHaveRun bool
	begun      bool
	status     int
	lastEvent  string
}

// attempt is one attempt in flight at a server.
type attempt struct {
	run    *run
	server registry.Server
	model  string
	began  time.Time
	ticket *place.Reservation
	cancel context.CancelFunc
	// sent is true once the server has the request, whole once its answer was read to the end.
	sent   bool
	whole  bool
	events int
	first  time.Duration
	ended  bool
	watch  watch
}

// maxTries bounds the attempts of one request, those that reached no server included.
const maxTries = 6

// start chooses a server and sends the request; the attempt must be ended.
func (u *run) start(ctx context.Context, model string) (*attempt, *Reply, *Failure, error) {
	server, ticket, err := u.place(model)
	if err != nil {
		return nil, nil, nil, err
	}
	sendCtx, cancel := context.WithCancel(ctx)
	a := &attempt{run: u, server: server, model: model, began: time.Now(), ticket: ticket, cancel: cancel}
	defer a.disarm()
	u.last = a
	u.tries++
	u.router.versions.Begin(server)
	u.router.counts.attempts.Add(1)
	u.attempts++ // the one that is about to leave counts for the watch
	a.arm(a.headWait())
	u.attempts--
	reply, f := u.router.upstream.Send(sendCtx, Attempt{
		Request: u.req, Server: server, Left: time.Until(u.req.Deadline), Model: model, LastEvent: u.lastEvent,
	})
	if f != nil {
		f = a.failed(ctx, f)
	}
	if f == nil || f.Sent {
		a.sent = true
		u.attempts++
		u.mayHaveRun = u.mayHaveRun || f != nil || !reply.NotRun
	}
	return a, reply, f, nil
}

// place chooses a server and counts the attempt there.
func (u *run) place(model string) (registry.Server, *place.Reservation, error) {
	req := u.req
	all := u.router.servers.View().Of(req.Service)
	first, then := u.router.versions.Eligible(req.Service, cmp.Or(req.Session, req.ID), all)
	if server, t := u.choose(first, model); t != nil {
		return server, t, nil
	}
	if req.Session == "" { // a session stays on its version
		if server, t := u.choose(then, model); t != nil {
			return server, t, nil
		}
	}
	if len(u.avoid) == 0 {
		return registry.Server{}, nil, u.refused(fault.Unavailable, "no backend server of %s takes work", req.Service)
	}
	return registry.Server{}, nil, u.refused(fault.Unavailable, "every backend server of %s failed this request", req.Service)
}

// choose takes the best of some servers; the ticket is nil if none may be used.
func (u *run) choose(servers []registry.Server, model string) (registry.Server, *place.Reservation) {
	t := u.router.chooser.Choose(u.ask(servers, model), time.Now())
	if t == nil {
		return registry.Server{}, nil
	}
	i := slices.IndexFunc(servers, func(s registry.Server) bool { return s.ID == t.ServerID })
	return servers[i], t
}

// ask is what an attempt with a model needs of some servers.
func (u *run) ask(servers []registry.Server, model string) place.Query {
	req := u.req
	ask := place.Query{
		Candidates: make([]place.Candidate, len(servers)), Class: req.Service + " " + model, PromptParts: req.Prompt.Parts,
		PromptTokens: req.Prompt.TokensIn, TargetLatency: req.Route.TargetLatency, Avoid: u.avoid,
	}
	for i, s := range servers {
		ask.Candidates[i] = place.Candidate{
			ID: s.ID, Incarnation: s.Born, AvailabilityZone: s.AvailabilityZone,
			Region: u.router.opts.ZoneRegion[s.AvailabilityZone], Slots: s.Slots,
		}
	}
	return ask
}

// inTime reports whether a model's answer is expected to begin within the route's target.
func (u *run) inTime(model string) bool {
	req := u.req
	first, _ := u.router.versions.Eligible(req.Service, cmp.Or(req.Session, req.ID), u.router.servers.View().Of(req.Service))
	expected, ok := u.router.chooser.ExpectedTimeToFirstChunk(u.ask(first, model), time.Now())
	return ok && time.Since(req.Arrived)+expected < req.Route.TargetLatency
}

// end releases the attempt's place and counts its outcome; it may be called more than once.
func (a *attempt) end(o place.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	a.watch.over.Store(true)
	a.disarm()
	a.cancel()
	r := a.run.router
	r.chooser.Release(a.ticket, o, time.Now())
	r.versions.End(a.server)
	if o == place.Refused || o == place.Ignored || !a.sent {
		return
	}
	class, unit := a.pace()
	r.versions.Judge(a.server, a.run.req.Route.Name, class, o != place.Success, unit)
}

// answered notes that the first piece of the answer is here.
func (a *attempt) answered() {
	a.first = time.Since(a.began)
	a.run.router.chooser.RecordFirstChunk(a.ticket, a.first)
}

// paceEvents is the number of events from which the time between them is compared.
const paceEvents = 4

// pace returns the time that a piece of the answer took and what it is compared with; 0 if the answer was not
// read to its end.
func (a *attempt) pace() (class string, unit time.Duration) {
	class = a.run.req.Route.Name + " " + a.model
	switch {
	case !a.whole:
		return class, 0
	case a.events >= paceEvents:
		return class, (time.Since(a.began) - a.first) / time.Duration(a.events-1)
	default:
		return class + " first", a.first
	}
}

// mayRepeat reports whether another attempt may follow one that reached its server, within a part of the repeats
// that are allowed.
func (u *run) mayRepeat(ctx context.Context, part float64) bool {
	if ctx.Err() != nil || u.tries >= maxTries || u.attempts >= u.req.Route.MaxAttempts {
		return false
	}
	return u.router.spend(u.req.Service, part)
}

// retryPause is when a caller whose request did not run may come back.
const retryPause = 300 * time.Millisecond

// refused is the error of a request that gets no further; it promises "not run" only if that is true.
func (u *run) refused(kind fault.Kind, format string, args ...any) error {
	e := fault.New(kind, "send it again later", format, args...).WithRetryAfter(retryPause)
	if u.mayHaveRun {
		return e.WithOutcome(fault.Unknown)
	}
	return e.WithOutcome(fault.NotRun)
}

// failure turns the last failed attempt into the request's error.
func (u *run) failure(ctx context.Context, f *Failure) error {
	kind := fault.BadGateway
	if ctx.Err() != nil || f.Reason == TimedOut {
		kind = fault.TooLate
	}
	e := fault.As(u.refused(kind, "no backend server gave a whole answer"))
	return e.WithCause(f)
}

// outcomeOf is what an attempt without an answer says of its server.
func outcomeOf(ctx context.Context, f *Failure) place.Outcome {
	if f.Reason == Cancelled || ctx.Err() != nil && f.Reason == TimedOut {
		return place.Ignored
	}
	return place.ConnectionFailed
}

// Dump shows the counts and the servers' load.
func (r *Router) Dump() any {
	c := &r.counts
	return struct {
		Requests  int64 `json:"requests"`
		Attempts  int64 `json:"attempts"`
		Repeats   int64 `json:"repeats"`
		Escalated int64 `json:"escalated"`
		Resumed   int64 `json:"resumed"`
		InFlight  int64 `json:"inFlight"`
		Servers   any   `json:"servers"`
	}{
		c.requests.Load(), c.attempts.Load(), c.repeats.Load(), c.escalated.Load(), c.resumed.Load(),
		c.inFlight.Load(), r.chooser.Dump(),
	}
}
