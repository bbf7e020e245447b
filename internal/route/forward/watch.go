package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pollencourse/pollencourse/internal/config/routing"
)

const (
	// headPart and gapPart are the parts of a route's targets after which an answer may count as stalled.
	headPart = 0.8
	gapPart  = 1.5
	// callPart is headPart for answers in one piece, which need less time to be repeated in.
	callPart = 0.5
	// headFactor is how many times the expected time an answer may take at least.
	headFactor = 5
	// overtakenBy is how many later attempts must have been answered before an awaited answer counts as lost.
	overtakenBy = 4
	// passedBy is how many pieces of other answers must have come before a paused stream counts as lost.
	passedBy = 40
	// leastGap bounds the pause of a stream that counts as stalled from below.
	leastGap = 400 * time.Millisecond
	// spareBudget is the part of the retry budget that only failed attempts may use.
	spareBudget = 0.3
)

// watch ends an attempt whose answer is lost while its server goes on answering others.
type watch struct {
	timer   *time.Timer
	stalled atomic.Bool
	// began is true once the first piece is here; seen is the server's count of pieces at the last one.
	began bool
	seen  int64
}

// arm looks after d whether the answer is lost; it does nothing where no other attempt may follow.
func (a *attempt) arm(d time.Duration) {
	u := a.run
	if !u.req.Route.Repeatable() || u.attempts >= u.req.Route.MaxAttempts || u.tries >= maxTries || d <= 0 {
		return
	}
	if a.watch.timer != nil {
		a.watch.timer.Reset(d)
		return
	}
	budget, cancel := u.router.budget(u.req.Service), a.cancel
	a.watch.timer = time.AfterFunc(d, func() {
		if !a.lost() {
			a.watch.timer.Reset(d / 2)
			return
		}
		if budget.Spend() {
			a.watch.stalled.Store(true)
			cancel()
		}
	})
}

// lost reports whether the server answers others while this answer stalls.
func (a *attempt) lost() bool {
	c := a.run.router.chooser
	switch {
	case a.run.req.Route.Kind != routing.Streaming:
		return true
	case a.watch.began:
		return c.Piece(a.ticket, 0)-a.watch.seen >= passedBy
	default:
		return c.Overtaken(a.ticket) >= overtakenBy
	}
}

// piece notes a piece of the stream.
func (a *attempt) piece() {
	a.events++
	a.watch.began = true
	a.watch.seen = a.run.router.chooser.Piece(a.ticket, 1)
}

// disarm stops the watch.
func (a *attempt) disarm() {
	if a.watch.timer != nil {
		a.watch.timer.Stop()
	}
}

// headWait is how long the first piece of an answer may take before another server is tried.
func (a *attempt) headWait() time.Duration {
	route := a.run.req.Route
	part := headPart
	if route.Kind != routing.Streaming {
		part = callPart
	}
	return max(time.Duration(part*float64(route.TargetLatency)), headFactor*a.ticket.Expected())
}

// gapWait is how long a stream may pause before it goes on elsewhere.
func (a *attempt) gapWait() time.Duration {
	return max(leastGap, time.Duration(gapPart*float64(a.run.req.Route.TargetGap)))
}

// failed classifies an attempt that broke while its answer was awaited or read.
func (a *attempt) failed(ctx context.Context, f *Failure) *Failure {
	if a.watch.stalled.Load() && ctx.Err() == nil {
		f.Reason, f.Sent = Stalled, true
	}
	return f
}
