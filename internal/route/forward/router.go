package forward

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pollencourse/pollencourse/internal/back/registry"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/place"
	"github.com/pollencourse/pollencourse/internal/decide/poison"
	"github.com/pollencourse/pollencourse/internal/decide/retry"
)

// Servers knows the backend servers.
type Servers interface {
	View() *registry.View
	// MarkLeaving excludes a server that said that it is leaving from later views.
	MarkLeaving(s registry.Server)
}

// Versions selects the servers that may take a request by their version, and compares versions by their responses.
type Versions interface {
	// Eligible returns the servers that may take a request, and those to use if all of them fail; session is empty for a
	// request without one.
	Eligible(service, session, requestID string, servers []registry.Server) (first, fallback []registry.Server)
	// Begin and End enclose an attempt of a request of a session.
	Begin(s registry.Server, session string)
	End(s registry.Server, session string)
	// Judge records a response; chunkTime, its mean time between chunks or its time to first chunk, is compared with that
	// of other responses of the same class.
	Judge(s registry.Server, route, class string, bad bool, chunkTime time.Duration)
	// JudgeSpeed records the chunk time of a response, once for each; firstChunk is true for a time to first chunk.
	JudgeSpeed(s registry.Server, route, class string, chunkTime time.Duration, firstChunk bool)
}

// Quarantine keeps requests that crash servers away from them.
type Quarantine interface {
	// Admit reports whether a request with the given shared prompt parts may be sent to a server; if not, the block says
	// why.
	Admit(request string, parts []string) (block poison.Block, ok bool)
	// Sound records that the response to an attempt was whole, or went on for poison.Probation.
	Sound(a poison.Attempt)
	// Broken records that the connection of an attempt broke; judge is told later whether the attempt counts as a failure of
	// the server's version.
	Broken(a poison.Attempt, judge func(counts bool))
	// Closed records a response whose end only the end of its connection marked.
	Closed(a poison.Attempt)
}

// Options configures a router.
type Options struct {
	// Retries bounds the retries to each service over all daemons.
	Retries retry.Limit
	// LiveDaemons returns the number of live daemons, which share the retry budget.
	LiveDaemons func() int
	// ZoneRegion maps availability zones to their regions.
	ZoneRegion map[string]string
	// Evacuated reports whether no request may be sent to the servers of an availability zone; nil if zones are not
	// evacuated.
	Evacuated func(zone string) bool
	// Cold limits the requests to servers that have started a moment ago; nil if no server is ever cold.
	Cold ColdServers
	// Admission decides about new requests under overload; nil sends all of them at once.
	Admission Admission
	// Metrics gets the gauges and counters of the admission; nil keeps none.
	Metrics tally.Scope
	// ServerEnded reports whether nothing listens at a server's address any more; nil if responses without a length count
	// as whole.
	ServerEnded func(address string) bool
}

// Router routes requests by the configuration in force.
type Router struct {
	upstream Upstream
	servers  Servers
	versions Versions
	models   Models
	chooser  *place.Chooser
	// quarantine is asked before each attempt.
	quarantine Quarantine
	opts       Options
	log        *event.Log

	mu      sync.Mutex
	budgets map[string]*retry.WindowBudget

	// largeReads holds one element for each large body that is being read.
	largeReads chan struct{}
	unreadable unreadableFields
	counts     counts
	attempts   attemptSet
	gauges     queueGauges
}

type counts struct {
	requests  atomic.Int64
	attempts  atomic.Int64
	retries   atomic.Int64
	escalated atomic.Int64
	resumed   atomic.Int64
	inFlight  atomic.Int64
	// refusedCold counts the requests that were refused because every usable server was cold and without allowance.
	refusedCold atomic.Int64
}

// New returns a router.
func New(upstream Upstream, servers Servers, versions Versions, models Models, chooser *place.Chooser, quarantine Quarantine, opts Options, log *event.Log) *Router {
	return &Router{
		upstream: upstream, servers: servers, versions: versions, models: models, chooser: chooser, quarantine: quarantine,
		opts: opts, attempts: attemptSet{attempts: map[*attempt]struct{}{}}, log: log, budgets: map[string]*retry.WindowBudget{}, largeReads: make(chan struct{}, maxLargeReads),
	}
}

// Serve writes the response to one request to w, or returns an error that says whether the request ran.
//
// If the response headers are already sent, an error means that the caller's connection must be closed.
func (r *Router) Serve(ctx context.Context, req *Request, w http.ResponseWriter) error {
	r.counts.requests.Add(1)
	r.counts.inFlight.Add(1)
	defer r.counts.inFlight.Add(-1)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	r.budget(req.Service).Earn(time.Now())
	h := &handler{router: r, req: req, w: w, lastEventID: req.LastEventID, suspectKeys: req.suspectKeys()}
	var err error
	if req.streams() {
		err = h.stream(ctx)
	} else {
		err = h.call(ctx)
	}
	r.logResult(h, err)
	return err
}

func (r *Router) budget(service string) *retry.WindowBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgets[service]
	if b == nil {
		b = retry.NewWindowBudget(r.opts.Retries)
		r.budgets[service] = b
	}
	return b
}

// spendRetry takes one retry to a service out of the given share of its retry budget, if any is left.
func (r *Router) spendRetry(service string, budgetShare float64) bool {
	if !r.budget(service).Spend(time.Now(), r.opts.LiveDaemons(), budgetShare) {
		return false
	}
	r.counts.retries.Add(1)
	return true
}

// logResult logs the result of a request in one line.
func (r *Router) logResult(h *handler, err error) {
	took := time.Since(h.req.Arrived).Milliseconds()
	server, version, model, expected, firstChunk, chunks := "", "", "", int64(0), int64(0), 0
	if a := h.lastAttempt; a != nil {
		server, version, model = a.server.ID, a.server.Version, a.model
		expected = a.reservation.ExpectedTimeToFirstChunk().Milliseconds()
		firstChunk, chunks = a.timeToFirstChunk.Milliseconds(), a.eventCount
	}
	if err == nil {
		r.log.Emit(event.RequestDone, "request", h.req.ID, "session", h.req.Session, "route", h.req.Route.Name, "revision", h.req.Revision,
			"server", server, "version", version, "model", model, "expectedMs", expected, "firstChunkMs", firstChunk, "chunks", chunks, "status", h.status, "attempts", h.sentAttempts, "ms", took)
		return
	}
	e := fault.As(err)
	r.log.Emit(event.RequestFailed, "request", h.req.ID, "session", h.req.Session, "route", h.req.Route.Name, "revision", h.req.Revision,
		"server", server, "version", version, "model", model, "expectedMs", expected, "firstChunkMs", firstChunk, "chunks", chunks, "attempts", h.sentAttempts, "ms", took, "parts", h.loggedParts(), "kind", string(e.Kind),
		"outcome", string(e.Outcome), "begun", h.headersSent, "error", e.Error())
}

// handler handles one request.
type handler struct {
	router *Router
	req    *Request
	w      http.ResponseWriter
	// suspectKeys are the keys of the prompt parts that other requests may share, and that of the request's content.
	suspectKeys []string

	// sentAttempts counts the attempts that reached a server.
	sentAttempts int
	// totalAttempts also counts the attempts that reached no server.
	totalAttempts int
	avoid         []string
	lastAttempt   *attempt
	// admitted is the reservation of the first attempt if it was made when the request was admitted.
	admitted *admitted
	// mayHaveRun is true once the request was sent to a server that did not report it as not run.
	mayHaveRun  bool
	headersSent bool
	status      int
	lastEventID string
	// earlyBreaks counts the attempts whose connection broke soon after the answer had begun; breakSettled is closed once the
	// quarantine knows whether the server of the last of them has ended.
	earlyBreaks  int
	breakSettled <-chan struct{}
}

// attempt is the state of one attempt from its reservation to its release.
type attempt struct {
	handler   *handler
	server    registry.Server
	model     string
	startedAt time.Time
	// answerBegan is when the header of the response arrived, or the first byte of one that was cut; zero before.
	answerBegan time.Time
	reservation *place.Reservation
	cancel      context.CancelFunc
	// sent is true once the server has the request, complete once its response was read to the end.
	sent     bool
	complete bool
	// framed is true if the response states where it ends.
	framed bool
	// broken is true if the connection ended before the response was known to be complete, shownSound once the quarantine
	// knows that the server survived the answer.
	broken           bool
	shownSound       bool
	eventCount       int
	timeToFirstChunk time.Duration
	released         bool
	stall            stallWatch
	// withdrawn is set when a part of the prompt is quarantined.
	withdrawn atomic.Bool
}

// maxTotalAttempts bounds the attempts of one request, those that reached no server included.
const maxTotalAttempts = 6

// startAttempt chooses a server and sends the request; the caller must finish the attempt.
func (h *handler) startAttempt(ctx context.Context, model string) (*attempt, *Response, *Failure, error) {
	h.awaitBreaks(ctx)
	if err := h.checkQuarantine(); err != nil {
		return nil, nil, nil, err
	}
	if err := h.checkRunsOnce(); err != nil {
		return nil, nil, nil, err
	}
	if err := h.admit(ctx, model); err != nil {
		return nil, nil, nil, err
	}
	server, reservation, err := h.reserve(model)
	if err != nil {
		return nil, nil, nil, err
	}
	sendCtx, cancel := context.WithCancel(ctx)
	a := &attempt{handler: h, server: server, model: model, startedAt: time.Now(), reservation: reservation, cancel: cancel}
	defer a.stopStallTimer()
	h.lastAttempt = a
	h.totalAttempts++
	h.router.attempts.add(a)
	h.router.versions.Begin(server, h.req.Session)
	h.router.counts.attempts.Add(1)
	h.sentAttempts++ // startStallTimer must see the attempt about to be sent as already counted
	a.startStallTimer(a.firstChunkTimeout())
	h.sentAttempts--
	resp, f := h.router.upstream.Send(sendCtx, Attempt{
		Request: h.req, Server: server, Timeout: time.Until(h.req.Deadline), Model: model, LastEventID: h.lastEventID,
	})
	if f != nil {
		a.answerBegan = f.AnswerBegan
		f = a.classify(ctx, f)
	} else {
		a.framed = resp.Framed
		a.answerBegan = time.Now()
		h.router.recordNotices(server, resp)
		a.noteReached(resp)
	}
	if f == nil || f.Sent {
		a.sent = true
		h.sentAttempts++
		h.mayHaveRun = h.mayHaveRun || f != nil || !resp.NotRun
	}
	return a, resp, f, nil
}

// checkRunsOnce returns an error if the request may run only once and may have run. It holds whatever the outcomes of the
// earlier attempts were taken for, also if the quarantine that withdrew one of them has been lifted since.
func (h *handler) checkRunsOnce() error {
	if !h.mayHaveRun || h.req.Route.Retryable() {
		return nil
	}
	return h.newError(fault.BadGateway, "the request may have run and may run only once")
}

// finish releases the attempt's reservation and records its outcome; further calls do nothing.
func (a *attempt) finish(o place.Outcome) {
	if a.released {
		return
	}
	a.released = true
	a.stall.ended.Store(true)
	a.stopStallTimer()
	a.cancel()
	r := a.handler.router
	r.attempts.remove(a)
	r.chooser.Release(a.reservation, o, time.Now())
	r.versions.End(a.server, a.handler.req.Session)
	a.ended(o)
	if o == place.Refused || o == place.Ignored || !a.sent {
		return
	}
	if o == place.Success && a.complete && a.eventCount < speedSampleEvents {
		a.judgeSpeed()
	}
	class, chunkTime := a.chunkTime()
	judge := func() { r.versions.Judge(a.server, a.handler.req.Route.Name, class, o != place.Success, chunkTime) }
	if !a.broken {
		judge()
		return
	}
	settled := make(chan struct{})
	a.noteEarlyBreak(settled)
	r.quarantine.Broken(a.evidence(), func(counts bool) {
		if counts {
			judge()
		}
		close(settled)
	})
}

// firstChunkReceived records the time to the first chunk of the response.
func (a *attempt) firstChunkReceived() {
	a.timeToFirstChunk = time.Since(a.startedAt)
	a.handler.router.chooser.RecordFirstChunk(a.reservation, a.timeToFirstChunk)
}

// minEventsForGapTime is the least number of events of a response that is judged by the mean time between them; one with
// fewer is judged by its time to first chunk.
const minEventsForGapTime = 4

// speedSampleEvents is the number of events after which a stream is judged by its speed; one with fewer is judged when
// it ends.
const speedSampleEvents = 8

// judgeSpeed records the speed of the response as it is so far.
func (a *attempt) judgeSpeed() {
	class, chunkTime, firstChunk := a.speed()
	a.handler.router.versions.JudgeSpeed(a.server, a.handler.req.Route.Name, class, chunkTime, firstChunk)
}

// speed returns the mean time between events, or the time to first chunk if there were few, and the class of responses
// that it is comparable with.
func (a *attempt) speed() (class string, chunkTime time.Duration, firstChunk bool) {
	class = a.handler.req.Route.Name + " " + a.model
	if a.eventCount < minEventsForGapTime {
		return class + " first", a.timeToFirstChunk, true
	}
	return class, (time.Since(a.startedAt) - a.timeToFirstChunk) / time.Duration(a.eventCount-1), false
}

// chunkTime returns the speed of the whole response; the time is 0 if the response was not read to its end.
func (a *attempt) chunkTime() (class string, chunkTime time.Duration) {
	class, chunkTime, _ = a.speed()
	if !a.complete {
		chunkTime = 0
	}
	return class, chunkTime
}

// mayRetry reports whether another attempt may follow one that reached its server, and if so takes a retry out of the
// given share of the retry budget.
func (h *handler) mayRetry(ctx context.Context, budgetShare float64) bool {
	if ctx.Err() != nil || h.totalAttempts >= maxTotalAttempts || h.sentAttempts >= h.req.Route.MaxAttempts {
		return false
	}
	return h.router.spendRetry(h.req.Service, budgetShare)
}

// retryAfterHint is the time after which a caller is told to retry a request that failed, unless all servers are paused.
const retryAfterHint = 300 * time.Millisecond

// retryAfter returns the time after which the caller may retry the request: when the first paused server takes requests
// again if all of them are paused, so that the retry is not refused too.
func (h *handler) retryAfter() time.Duration {
	first, fallback := h.eligible()
	if h.req.Session == "" {
		first = slices.Concat(first, fallback)
	}
	if d := h.router.chooser.ShortestPause(h.query(first, ""), time.Now()); d > 0 {
		return d
	}
	return retryAfterHint
}

// newError returns the error of a request that gets no further attempt; its outcome is "not run" only if no attempt can
// have run.
func (h *handler) newError(kind fault.Kind, format string, args ...any) error {
	e := fault.New(kind, "send it again later", format, args...).WithRetryAfter(h.retryAfter())
	if h.mayHaveRun {
		return e.WithOutcome(fault.Unknown)
	}
	return e.WithOutcome(fault.NotRun)
}

// requestError returns the error of a request whose last attempt failed.
func (h *handler) requestError(ctx context.Context, f *Failure) error {
	kind := fault.BadGateway
	if ctx.Err() != nil || f.Reason == TimedOut {
		kind = fault.TooLate
	}
	e := fault.As(h.newError(kind, "no backend server returned a complete response"))
	return e.WithCause(f)
}

// outcomeOfFailure returns the outcome that the chooser records for a failed attempt.
func outcomeOfFailure(ctx context.Context, f *Failure) place.Outcome {
	if f.Reason == Cancelled || f.Reason == Withdrawn || ctx.Err() != nil && f.Reason == TimedOut {
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
		Retries   int64 `json:"repeats"`
		Escalated int64 `json:"escalated"`
		Resumed   int64 `json:"resumed"`
		InFlight  int64 `json:"inFlight"`
		// RefusedCold counts the requests refused because every usable server was cold and without allowance.
		RefusedCold int64 `json:"refusedCold"`
		// Unreadable counts the header fields of servers that could not be read.
		Unreadable int64 `json:"unreadable"`
		Servers    any   `json:"servers"`
		// Admission holds the queues of the services that were asked for.
		Admission any `json:"admission,omitempty"`
	}{
		c.requests.Load(), c.attempts.Load(), c.retries.Load(), c.escalated.Load(), c.resumed.Load(),
		c.inFlight.Load(), c.refusedCold.Load(), r.unreadable.count.Load(), r.chooser.Dump(), r.dumpAdmission(),
	}
}

func (r *Router) dumpAdmission() any {
	if r.opts.Admission == nil {
		return nil
	}
	return r.opts.Admission.Dump()
}
