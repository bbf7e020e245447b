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

// expectedBytes is the traffic that one request is expected to cause on the link.
const expectedBytes = 4 << 10

// maxAttempts bounds the tries of one version for one request.
const maxAttempts = 4

func (u *run) need(version string) pool.Need {
	return pool.Need{
		Offer: version, Prefix: u.req.Chat.Prefix, Avoid: u.avoid, Bytes: expectedBytes,
		Claim: admission.Request{
			Account: u.req.Policy.Account, Weight: u.req.Policy.FairWeight, Priority: u.req.Priority,
			Deadline: u.req.Deadline, ServiceTime: u.router.pool.Latency(version),
		},
	}
}

// place waits for a server of a version and looks at the policy once more.
func (u *run) place(ctx context.Context, version string) (balance.Target, error) {
	t, err := u.router.pool.Acquire(ctx, u.need(version))
	if err != nil {
		return t, u.truth(err)
	}
	if err := u.allowed(version); err != nil {
		u.router.pool.Release(t, balance.Cancelled, balance.LoadReport{}, 0)
		return t, err
	}
	u.attempts++
	u.router.counts.attempts.Add(1)
	return t, nil
}

// truth corrects the outcome of an error after earlier attempts were sent.
func (u *run) truth(err error) error {
	e := *fault.As(err)
	return e.WithOutcome(u.outcome())
}

// release tells the balancer how an attempt ended.
func (u *run) release(t balance.Target, version string, f *engine.Failure, rep balance.LoadReport, began time.Time) {
	u.router.pool.Release(t, outcomeOf(f), rep, time.Since(began))
	if f == nil {
		return
	}
	u.note(f.Sent)
	u.blame(version, f)
	u.avoid = append(slices.Clone(u.avoid), t.ID)
	if f.Leaving {
		u.router.pool.Leaving(t)
	}
	if f.Reason == engine.Mismatch {
		u.router.log.Emit(event.AnswerMismatch, "server", t.ID, "requestID", u.req.RequestID)
		return
	}
	if f.Reason != engine.Cancelled {
		u.router.log.Emit(event.AttemptFailed, "server", t.ID, "requestID", u.req.RequestID, "error", f.Error())
	}
}

// blame counts an answer that broke off as a poor one, if its version is rolling in: nobody
// rates such answers, and a version that crashes must not roll in for that.
func (u *run) blame(version string, f *engine.Failure) {
	v := u.version(version)
	if v.State != template.RollingIn {
		return
	}
	switch f.Reason {
	case engine.Incomplete, engine.Stalled, engine.BadStatus, engine.TooLarge:
		k := keyOf(u.req.Policy, v)
		u.router.evidence.Start(k, true)
		u.router.evidence.Rated(k, false)
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

// again reports whether a failed attempt may be followed by another.
//
// A refusal or a failed connection costs the servers nothing and is not taken from the budget.
func (u *run) again(ctx context.Context, f *engine.Failure, tries int) bool {
	if ctx.Err() != nil || f.Reason == engine.Cancelled || f.Reason == engine.TooLarge || tries >= maxAttempts {
		return false
	}
	if f.Reason == engine.BadStatus && f.Status < 500 {
		return false
	}
	if f.Sent != engine.Unsent && f.Reason != engine.Refused && !u.router.budget.Spend() {
		return false
	}
	u.router.counts.retries.Add(1)
	return true
}

// reconsider lets the request use all servers again once each of them failed.
func (u *run) reconsider(version string) {
	if u.router.pool.Exhausted(version, u.avoid) {
		u.avoid = nil
	}
}
