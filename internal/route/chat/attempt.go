package chat

import (
	"context"
	"slices"
	"time"

	"github.com/pollencourse/pollencourse/internal/back/engine"
	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/admission"
	"github.com/pollencourse/pollencourse/internal/decide/balance"
	"github.com/pollencourse/pollencourse/internal/route/pool"
)

// expectedRequestBytes is the expected traffic of one request between regions.
const expectedRequestBytes = 4 << 10

// maxAttemptsPerVersion bounds the attempts of one request at one version.
const maxAttemptsPerVersion = 4

func (h *handler) requirements(version string) pool.Requirements {
	return pool.Requirements{
		Workload: version, Prefix: h.req.Chat.Prefix, Avoid: h.avoid, ExpectedBytes: expectedRequestBytes,
		Admission: admission.Request{
			Account: h.req.Policy.Account, Weight: h.req.Policy.FairWeight, Priority: h.req.Priority,
			Deadline: h.req.Deadline, ServiceTime: h.router.pool.Latency(version),
		},
	}
}

// acquire waits for a slot at a server of a version and checks the policy again.
func (h *handler) acquire(ctx context.Context, version string) (balance.Target, error) {
	t, err := h.router.pool.Acquire(ctx, h.requirements(version))
	if err != nil {
		return t, h.correctOutcome(err)
	}
	if err := h.checkPolicy(version); err != nil {
		h.router.pool.Release(t, balance.Cancelled, balance.LoadReport{}, 0)
		return t, err
	}
	h.attempts++
	h.router.counts.attempts.Add(1)
	return t, nil
}

// correctOutcome sets the outcome of an error to unknown if an earlier attempt may have run.
func (h *handler) correctOutcome(err error) error {
	e := *fault.As(err)
	return e.WithOutcome(h.outcome())
}

// release frees the attempt's slot and records its outcome.
func (h *handler) release(t balance.Target, version string, f *engine.Failure, rep balance.LoadReport, began time.Time) {
	h.router.pool.Release(t, outcomeOf(f), rep, time.Since(began))
	if f == nil {
		return
	}
	h.noteProgress(f.Progress)
	h.countPoorAnswer(version, f)
	h.avoid = append(slices.Clone(h.avoid), t.ID)
	if f.Leaving {
		h.router.pool.MarkLeaving(t)
	}
	if f.Reason == engine.Mismatch {
		h.router.log.Emit(event.AnswerMismatch, "server", t.ID, "requestID", h.req.RequestID)
		return
	}
	if f.Reason != engine.Cancelled {
		h.router.log.Emit(event.AttemptFailed, "server", t.ID, "requestID", h.req.RequestID, "error", f.Error())
	}
}

// countPoorAnswer counts an incomplete answer of a rolling-in version as a poor one. Incomplete
// answers are not rated, so without this a version that crashes could complete its roll-out.
func (h *handler) countPoorAnswer(version string, f *engine.Failure) {
	v := h.version(version)
	if v.State != template.RollingIn {
		return
	}
	switch f.Reason {
	case engine.Incomplete, engine.Stalled, engine.BadStatus, engine.TooLarge:
		k := keyOf(h.req.Policy, v)
		h.router.evidence.Start(k, true)
		h.router.evidence.Rated(k, false)
	}
}

func outcomeOf(f *engine.Failure) balance.Outcome {
	switch {
	case f == nil:
		return balance.Success
	case f.Reason == engine.Cancelled:
		return balance.Cancelled
	case f.Reason == engine.Refused:
		return balance.Refused
	default:
		return balance.Failed
	}
}

// mayRetry reports whether another attempt may follow a failed one, and if so takes a retry out of the budget.
//
// Retries after a refusal or a failed connection cost the servers nothing and don't count against the retry budget.
func (h *handler) mayRetry(ctx context.Context, f *engine.Failure, attempts int) bool {
	if ctx.Err() != nil || f.Reason == engine.Cancelled || f.Reason == engine.TooLarge || attempts >= maxAttemptsPerVersion {
		return false
	}
	if f.Reason == engine.BadStatus && f.Status < 500 {
		return false
	}
	if f.Progress != engine.Unsent && f.Reason != engine.Refused && !h.router.budget.Spend() {
		return false
	}
	h.router.counts.retries.Add(1)
	return true
}

// resetAvoidIfExhausted allows the request to use all servers again once each of them failed.
func (h *handler) resetAvoidIfExhausted(version string) {
	if h.router.pool.Exhausted(version, h.avoid) {
		h.avoid = nil
	}
}
