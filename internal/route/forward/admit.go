package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pollencourse/pollencourse/internal/back/registry"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/decide/admission"
	"github.com/pollencourse/pollencourse/internal/decide/place"
)

// Admission decides whether a new request is sent now, waits or is refused while the servers are overloaded.
type Admission interface {
	// Admit returns once the job may be sent and reserve was called, or with an error.
	Admit(ctx context.Context, job admission.Job, estimate func() admission.Estimate, reserve func()) (admission.Wait, error)
	// FirstChunk and Ended record what the responses show.
	FirstChunk(service, class string, took, target time.Duration)
	Ended(service, class string, took time.Duration)
	// State returns the queue of a service.
	State(service string) admission.ServiceState
	// Dump returns the queues of all services.
	Dump() any
}

// admitted is the reservation of a request that was admitted before its first attempt.
type admitted struct {
	server      registry.Server
	reservation *place.Reservation
}

// admit waits until the request may be sent for the first time. Retries and resumed streams do not wait: the servers have
// spent work on them.
func (h *handler) admit(ctx context.Context, model string) error {
	req, a := h.req, h.router.opts.Admission
	if a == nil || h.totalAttempts > 0 || req.LastEventID != "" {
		return nil
	}
	job := admission.Job{
		Service: req.Service, Class: h.class(model), Account: req.Account, Priority: req.Priority, Deadline: req.Deadline,
		Target: req.Route.TargetLatency, RepeatKey: h.suspectKeys[len(h.suspectKeys)-1],
		Plain: req.Prompt.InputTokens == 0,
	}
	estimate := func() admission.Estimate {
		h.router.gauges.update(h.router.opts.Metrics, req.Service, a)
		return h.estimate(model)
	}
	reserve := func() {
		if server, reservation, err := h.reserve(model); err == nil {
			h.admitted = &admitted{server, reservation}
		}
	}
	wait, err := a.Admit(ctx, job, estimate, reserve)
	if wait.Waited > 0 {
		h.router.gauges.update(h.router.opts.Metrics, req.Service, a)
	}
	if err != nil {
		h.logUnadmitted(wait, err)
		return err
	}
	if wait.Waited == 0 {
		return nil
	}
	h.router.log.Emit(event.RequestWaited, "request", req.ID, "service", req.Service, "account", req.Account, "priority", req.Priority,
		"waitedMs", wait.Waited.Milliseconds(), "waiting", wait.Ahead)
	if err := h.checkQuarantine(); err != nil { // a part may have been quarantined in the meantime
		h.releaseAdmitted()
		return err
	}
	return nil
}

// releaseAdmitted gives up the reservation of a request that is not sent.
func (h *handler) releaseAdmitted() {
	if h.admitted != nil {
		h.router.chooser.Release(h.admitted.reservation, place.Ignored, time.Now())
		h.admitted = nil
	}
}

// logUnadmitted logs a request that was refused, or whose caller left or whose deadline passed while it waited.
func (h *handler) logUnadmitted(wait admission.Wait, err error) {
	req := h.req
	var r *admission.Refusal
	if !errors.As(err, &r) {
		h.router.log.Emit(event.WaitAbandoned, "request", req.ID, "service", req.Service, "account", req.Account, "priority", req.Priority,
			"waitedMs", wait.Waited.Milliseconds(), "waiting", wait.Ahead, "error", err.Error())
		return
	}
	if scope := h.router.opts.Metrics; scope != nil {
		scope.Tagged(map[string]string{"service": req.Service, "reason": string(r.Reason)}).Counter("admission_refusals").Inc(1)
	}
	h.router.log.Emit(event.AdmissionRefused, "request", req.ID, "service", req.Service, "account", req.Account, "priority", req.Priority,
		"reason", string(r.Reason), "waiting", r.QueueLength, "ahead", r.Ahead, "perSecond", r.PerSecond,
		"expectedWaitMs", r.ExpectedWait.Milliseconds(), "timeLeftMs", r.TimeLeft.Milliseconds(), "waitedMs", r.Waited.Milliseconds(),
		"repeated", r.Repeated)
}

// estimate returns what is known of the servers that may take the request.
func (h *handler) estimate(model string) admission.Estimate {
	now := time.Now()
	first, _ := h.eligible()
	query := h.query(h.withAllowance(first), model)
	expected, ok := h.router.chooser.ExpectedTimeToFirstChunk(query, now)
	e := admission.Estimate{Expected: expected, None: !ok}
	if ok && (h.req.Prompt.InputTokens == 0 || expected > h.req.Route.TargetLatency/2) {
		e.FreeSlots, e.Idle = h.router.chooser.Capacity(query, now)
	}
	return e
}

// class groups requests with similar processing times.
func (h *handler) class(model string) string { return h.req.Service + " " + model }

// answerBegun tells the admission when the first chunk of an answer arrived.
func (a *attempt) answerBegun() {
	h := a.handler
	if adm := h.router.opts.Admission; adm != nil {
		adm.FirstChunk(h.req.Service, h.class(a.model), a.timeToFirstChunk, h.req.Route.TargetLatency)
	}
}

// ended tells the admission that the attempt ended.
func (a *attempt) ended(o place.Outcome) {
	h := a.handler
	adm := h.router.opts.Admission
	if adm == nil {
		return
	}
	var took time.Duration
	if o == place.Success && a.complete {
		took = time.Since(a.startedAt)
	}
	adm.Ended(h.req.Service, h.class(a.model), took)
}

// queueGauges hold the gauges of the queues by service; a service without a queue so far has none.
type queueGauges struct {
	mu        sync.Mutex
	byService map[string]queueGauge
}

type queueGauge struct{ length, oldest tally.Gauge }

// update sets the gauges of a service if requests wait or have waited.
func (g *queueGauges) update(scope tally.Scope, service string, a Admission) {
	if scope == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	state := a.State(service)
	gauge, ok := g.byService[service]
	if !ok {
		if state.Waiting == 0 {
			return
		}
		s := scope.Tagged(map[string]string{"service": service})
		gauge = queueGauge{s.Gauge("admission_queue_length"), s.Gauge("admission_oldest_wait_seconds")}
		if g.byService == nil {
			g.byService = map[string]queueGauge{}
		}
		g.byService[service] = gauge
	}
	gauge.length.Update(float64(state.Waiting))
	gauge.oldest.Update(float64(state.OldestWaitMs) / 1000)
}
