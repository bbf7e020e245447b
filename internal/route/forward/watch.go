package forward

import (
	"context"
	"math"
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
	// latePart is the part of a route's target latency after which an awaited answer counts as lost in any case:
	// callers give up at four times the target, or at half of the route's time-out, if that is sooner.
	latePart = 2.5
	// leastGap bounds the pause of a stream that counts as stalled from below.
	leastGap = 400 * time.Millisecond
	// allRepeats lets failed attempts use all repeats that are allowed; largerModels leaves them a part.
	allRepeats   = 1.0
	largerModels = 0.75
)

// watch ends an attempt whose answer is lost while its server goes on answering others.
type watch struct {
	timer   *time.Timer
	stalled atomic.Bool
	// over is set when the attempt has ended, so that a look that is under way does not start the next.
	over atomic.Bool
	// seen is the server's count of pieces at this answer's last one; 0 before the first.
	seen atomic.Int64
}

// arm looks after d whether the answer is lost; it does nothing where no other attempt may follow.
func (a *attempt) arm(d time.Duration) {
	u := a.run
	if !u.req.Route.Repeatable() || u.attempts >= u.req.Route.MaxAttempts || u.tries >= maxTries || d <= 0 {
		return
	}
	if a.watch.timer == nil {
		a.watch.timer = a.newTimer(d)
	}
	a.watch.timer.Reset(d)
}

// newTimer returns a timer, not yet running, that looks at the attempt every half of d once it has fired.
func (a *attempt) newTimer(d time.Duration) *time.Timer {
	u := a.run
	service, cancel := u.req.Service, a.cancel
	var t *time.Timer
	t = time.AfterFunc(math.MaxInt64, func() {
		switch {
		case a.watch.over.Load():
		case !a.lost():
			t.Reset(d / 2)
		case u.router.spend(service, allRepeats):
			a.watch.stalled.Store(true)
			cancel()
		}
	})
	return t
}

// lost reports whether the server answers others while this answer stalls.
func (a *attempt) lost() bool {
	c := a.run.router.chooser
	switch {
	case a.run.req.Route.Kind != routing.Streaming:
		return true
	case a.watch.seen.Load() > 0:
		return c.CountChunks(a.ticket, 0)-a.watch.seen.Load() >= passedBy
	default:
		route := a.run.req.Route
		late := min(time.Duration(latePart*float64(route.TargetLatency))+headFactor*a.ticket.ExpectedTimeToFirstChunk(), route.Timeout/2)
		return c.Overtaken(a.ticket) >= overtakenBy || late > 0 && time.Since(a.began) > late
	}
}

// piece notes a piece of the stream.
func (a *attempt) piece() {
	a.events++
	a.watch.seen.Store(a.run.router.chooser.CountChunks(a.ticket, 1))
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
	return max(time.Duration(part*float64(route.TargetLatency)), headFactor*a.ticket.ExpectedTimeToFirstChunk())
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
