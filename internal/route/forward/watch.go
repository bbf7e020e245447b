package forward

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/pollencourse/pollencourse/internal/config/routing"
)

const (
	// firstChunkTargetRatio and gapTargetRatio are the shortest waits after which a stream counts as stalled, as multiples
	// of a route's TargetLatency and TargetGap.
	firstChunkTargetRatio = 0.8
	gapTargetRatio        = 1.5
	// callTargetRatio replaces firstChunkTargetRatio for responses with a single body, which take less time to retry.
	callTargetRatio = 0.5
	// expectedTimeFactor times the expected time to first chunk is another lower bound of the wait after which a response
	// without a first chunk counts as stalled.
	expectedTimeFactor = 5
	// minOvertakingResponses is how many later attempts at the server must have got their first chunk before a response
	// without one counts as lost.
	minOvertakingResponses = 4
	// minOvertakingChunks is how many chunks of other responses the server must have sent before a paused stream counts
	// as lost.
	minOvertakingChunks = 40
	// lostTargetRatio times a route's target latency, plus expectedTimeFactor times the expected time to first chunk, is
	// the time after which a response without a first chunk counts as lost in any case, since callers give up at four
	// times the target latency. The time is at most half of the route's timeout.
	lostTargetRatio = 2.5
	// minChunkGapTimeout is the shortest pause after which a stream counts as stalled, whatever its TargetGap.
	minChunkGapTimeout = 400 * time.Millisecond
	// Retries after failed attempts may use the full retry budget. Escalations to a larger model may use only a share of
	// it, so that the rest is left for retries.
	fullBudgetShare       = 1.0
	escalationBudgetShare = 0.75
)

// stallWatch cancels an attempt whose response counts as lost, so that the request can be retried.
//
// A response is stalled when its next chunk is late. A stalled stream counts as lost only if its server goes on sending to
// others, since the server may otherwise just be busy, or if its first chunk is far too late.
type stallWatch struct {
	timer   *time.Timer
	stalled atomic.Bool
	// ended is set when the attempt has ended, so that a check that is running does not schedule the next one.
	ended atomic.Bool
	// serverChunks is the chunk count of the server when this response's last chunk arrived; 0 before the first.
	serverChunks atomic.Int64
}

// startStallTimer checks after d whether the response is lost; it does nothing if no further attempt is allowed.
func (a *attempt) startStallTimer(d time.Duration) {
	h := a.handler
	if !h.req.Route.Retryable() || h.sentAttempts >= h.req.Route.MaxAttempts || h.totalAttempts >= maxTotalAttempts || d <= 0 {
		return
	}
	if a.stall.timer == nil {
		a.stall.timer = a.newStallTimer(d)
	}
	a.stall.timer.Reset(d)
}

// newStallTimer returns a timer, not yet running, that cancels the attempt if its response is lost and the retry budget
// allows another. While the response is not lost, it checks again every half of d.
func (a *attempt) newStallTimer(d time.Duration) *time.Timer {
	h := a.handler
	service, cancel := h.req.Service, a.cancel
	var t *time.Timer
	t = time.AfterFunc(math.MaxInt64, func() {
		switch {
		case a.stall.ended.Load():
		case !a.responseLost():
			t.Reset(d / 2)
		case h.router.spendRetry(service, fullBudgetShare):
			a.stall.stalled.Store(true)
			cancel()
		}
	})
	return t
}

// responseLost reports whether a stalled response counts as lost; one with a single body always does.
func (a *attempt) responseLost() bool {
	c := a.handler.router.chooser
	switch {
	case a.handler.req.Route.Kind != routing.Streaming:
		return true
	case a.stall.serverChunks.Load() > 0:
		return c.CountChunks(a.reservation, 0)-a.stall.serverChunks.Load() >= minOvertakingChunks
	default:
		route := a.handler.req.Route
		lostAfter := min(time.Duration(lostTargetRatio*float64(route.TargetLatency))+expectedTimeFactor*a.reservation.ExpectedTimeToFirstChunk(), route.Timeout/2)
		return c.Overtaken(a.reservation) >= minOvertakingResponses || lostAfter > 0 && time.Since(a.startedAt) > lostAfter
	}
}

// chunkReceived records a chunk of the stream, that is, one event.
func (a *attempt) chunkReceived() {
	a.eventCount++
	if a.eventCount == speedSampleEvents {
		a.judgeSpeed()
	}
	a.recordProgress()
	a.stall.serverChunks.Store(a.handler.router.chooser.CountChunks(a.reservation, 1))
}

func (a *attempt) stopStallTimer() {
	if a.stall.timer != nil {
		a.stall.timer.Stop()
	}
}

// firstChunkTimeout is the wait for the first chunk after which the response counts as stalled.
func (a *attempt) firstChunkTimeout() time.Duration {
	route := a.handler.req.Route
	ratio := firstChunkTargetRatio
	if route.Kind != routing.Streaming {
		ratio = callTargetRatio
	}
	return max(time.Duration(ratio*float64(route.TargetLatency)), expectedTimeFactor*a.reservation.ExpectedTimeToFirstChunk())
}

// chunkGapTimeout is the pause after which a stream counts as stalled.
func (a *attempt) chunkGapTimeout() time.Duration {
	return max(minChunkGapTimeout, time.Duration(gapTargetRatio*float64(a.handler.req.Route.TargetGap)))
}

// classify sets the reason of a failure to Stalled or Withdrawn if the stall timer or the quarantine cancelled the
// attempt.
func (a *attempt) classify(ctx context.Context, f *Failure) *Failure {
	switch {
	case ctx.Err() != nil:
	case a.stall.stalled.Load():
		f.Reason, f.Sent = Stalled, true
	case a.withdrawn.Load():
		f.Reason, f.Sent = Withdrawn, true
	}
	return f
}
