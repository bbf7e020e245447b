package forward

import (
	"context"
	"time"

	"github.com/pollencourse/pollencourse/internal/core/event"
)

// Models chooses among the models of a route.
type Models interface {
	// First returns the model of the first attempt of a request that may be escalated.
	First(models []string) string
	// ForSingleRun returns the model of a request that may run only once; hasRoom reports whether the servers have room
	// for the streams of a model.
	ForSingleRun(models []string, hasRoom func(model string) bool) string
	// Next returns the model to escalate to if the confidence of a model's answer is too low.
	Next(models []string, model string, confidence int) (next string, ok bool)
}

// roomTargetShare times a route's target latency is the longest time from the arrival of a request to the expected first
// chunk at which the servers have room for the streams of a model. On servers that are just in time, the long streams of a
// large model are often late or cut, and that of a request that may run only once can't be resumed.
const roomTargetShare = 0.25

// firstModel returns the model of an attempt of a request that has not run.
func (h *handler) firstModel() string {
	route := h.req.Route
	switch {
	case len(route.Models) == 0:
		return h.req.Prompt.Model
	case route.Retryable():
		return h.router.models.First(route.Models)
	default:
		room := time.Duration(roomTargetShare * float64(route.TargetLatency))
		return h.router.models.ForSingleRun(route.Models, func(model string) bool { return h.expectedWithin(model, room) })
	}
}

// retryModel returns the model of an attempt that follows one with the given model. A request that may run only once has
// not run if there is a further attempt, and there may be less room by now.
func (h *handler) retryModel(model string) string {
	if h.req.Route.Retryable() {
		return model
	}
	return h.firstModel()
}

// keepReason says why an unsure answer is kept; it appears in logs.
type keepReason string

const (
	notKept      keepReason = ""
	keptRunsOnce keepReason = "runsOnce"
	keptAttempts keepReason = "maxAttempts"
	keptLate     keepReason = "late"
	keptBudget   keepReason = "retryBudget"
)

// escalation returns the larger model to use instead of that of the attempt, whose answer has begun; ok is false if the
// answer is kept.
func (h *handler) escalation(ctx context.Context, a *attempt, resp *Response) (next string, ok bool) {
	if h.headersSent || len(h.req.Route.Models) == 0 {
		return "", false
	}
	next, unsure := h.router.models.Next(h.req.Route.Models, a.model, resp.Confidence)
	if !unsure {
		return "", false
	}
	kept := h.whyKept(ctx, next)
	h.router.log.Emit(event.AnswerUnsure, "request", h.req.ID, "server", a.server.ID, "model", a.model,
		"confidence", resp.Confidence, "next", next, "kept", string(kept))
	if kept != notKept {
		return "", false
	}
	h.router.counts.escalated.Add(1)
	return next, true
}

// whyKept returns why an unsure answer is kept. If it is not, a retry with the next model is taken out of the retry budget.
func (h *handler) whyKept(ctx context.Context, next string) keepReason {
	switch {
	case !h.req.Route.Retryable():
		return keptRunsOnce
	case h.sentAttempts >= h.req.Route.MaxAttempts:
		return keptAttempts
	case !h.expectedWithin(next, h.req.Route.TargetLatency):
		return keptLate
	case !h.mayRetry(ctx, escalationBudgetShare):
		return keptBudget
	default:
		return notKept
	}
}
