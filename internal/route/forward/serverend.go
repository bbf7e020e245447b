package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// streamEndDelay is the time from the end of a stream without a length to the question whether its server has ended: a
// process that ends may close its connections before its listener. All events have been passed on by then. Plain
// responses are asked about at once, since the delay would be a good part of their target.
const streamEndDelay = 100 * time.Millisecond

// checkServerRuns rejects a response whose end only the end of its connection marked, if nothing listens at the server's
// address any more: it may be the part that was sent before the server ended.
func (h *handler) checkServerRuns(ctx context.Context, a *attempt, delay time.Duration) *Failure {
	ended := h.router.opts.ServerEnded
	if a.framed || ended == nil {
		return nil
	}
	a.stopStallTimer()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if !ended(a.server.Address) {
		return nil
	}
	return &Failure{Reason: Truncated, Sent: true, Err: errors.New("the server has ended and the response states no length")}
}
