package forward

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/place"
)

// stream handles a request whose response is a stream of events.
func (h *handler) stream(ctx context.Context) error {
	model := h.firstModel()
	for {
		a, resp, f, err := h.startAttempt(ctx, model)
		if err != nil {
			return err
		}
		if f == nil && resp.Status == http.StatusOK && resp.Signed {
			a.firstChunkReceived()
			a.answerBegun()
			if next, ok := h.escalation(ctx, a, resp); ok {
				_ = resp.Body.Close()
				a.finish(place.Success)
				model = next
				continue
			}
			f = h.copyEvents(ctx, a, resp)
			if f == nil {
				return nil
			}
		}
		if f == nil {
			done, err := h.handleNonStream(ctx, a, resp)
			if done {
				return err
			}
			model = h.retryModel(model)
			continue
		}
		a.fail(ctx, f)
		if f.Reason == Cancelled {
			return h.requestError(ctx, f)
		}
		if !h.retryAfterFailure(ctx, a, f) {
			return h.requestError(ctx, f)
		}
		model = h.retryModel(model)
		if h.headersSent {
			h.router.counts.resumed.Add(1)
			h.router.log.Emit(event.StreamResumed, "request", h.req.ID, "after", h.lastEventID, "from", a.server.ID)
		}
	}
}

// handleNonStream handles a response that is no signed stream: the server refused, failed or responded otherwise. It
// reports done unless a retry follows.
func (h *handler) handleNonStream(ctx context.Context, a *attempt, resp *Response) (done bool, err error) {
	body, f := h.router.readBody(ctx, resp)
	if f == nil && !resp.NotRun {
		f = h.checkServerRuns(ctx, a, 0)
	}
	if f != nil {
		a.fail(ctx, f)
		if !h.retryAfterFailure(ctx, a, f) {
			return true, h.requestError(ctx, f)
		}
		return false, nil
	}
	a.broken = mayBeCut(resp)
	a.finish(outcomeOfResponse(resp))
	if h.retryable(resp) && h.retryAfterResponse(ctx, a, resp) {
		return false, nil
	}
	if h.headersSent {
		return true, h.newError(fault.BadGateway, "the stream was truncated and no server resumed it").(*fault.Error).WithOutcome(fault.Unknown)
	}
	return true, h.writeResponse(resp, body)
}

// copyEvents forwards complete events to the caller until the stream ends or fails.
func (h *handler) copyEvents(ctx context.Context, a *attempt, resp *Response) *Failure {
	defer resp.Body.Close()
	defer a.stopStallTimer()
	if f := h.checkContentType(resp); f != nil {
		return f
	}
	flush := http.NewResponseController(h.w)
	events := newEventReader(resp.Body)
	for {
		a.startStallTimer(a.chunkGapTimeout())
		ev, id, err := events.next()
		if f := h.checkEnd(ctx, a, ev, err); f != nil {
			return f
		}
		if f := h.checkOrder(ev, id); f != nil {
			return f
		}
		if len(ev) > 0 || !h.headersSent {
			if werr := h.writeEvent(resp, ev); werr != nil {
				return &Failure{Reason: Cancelled, Sent: true, Err: werr}
			}
		}
		if err != nil {
			a.complete = true
			a.finish(place.Success)
			a.recordWhole()
			return nil
		}
		a.chunkReceived()
		h.lastEventID = id
		if events.buffered() {
			continue
		}
		if ferr := flush.Flush(); ferr != nil {
			return &Failure{Reason: Cancelled, Sent: true, Err: ferr}
		}
	}
}

// checkEnd rejects the end of a stream that is not whole.
func (h *handler) checkEnd(ctx context.Context, a *attempt, ev []byte, err error) *Failure {
	switch {
	case err == nil:
		return nil
	case !errors.Is(err, io.EOF):
		return a.classify(ctx, bodyFailure(ctx, err))
	case len(ev) > 0:
		return &Failure{Reason: Truncated, Sent: true, Err: errors.New("the stream ended within an event")}
	case h.lacksEvents(a):
		return &Failure{Reason: Truncated, Sent: true, Err: errors.New("the connection ended before the first event")}
	default:
		return h.checkServerRuns(ctx, a, streamEndDelay)
	}
}

// lacksEvents reports whether a response without an event can't be a whole stream: nothing but its connection marked its
// end, and the caller had not received all events before.
func (h *handler) lacksEvents(a *attempt) bool {
	return !a.framed && a.eventCount == 0 && (h.headersSent || h.req.LastEventID == "")
}

// checkContentType rejects a response that can't go on with the stream that has begun.
func (h *handler) checkContentType(resp *Response) *Failure {
	const name = "Content-Type"
	if got, want := resp.Header.Get(name), h.w.Header().Get(name); h.headersSent && got != want {
		return &Failure{Reason: Malformed, Sent: true, Err: errors.Newf("a response of type %q follows a stream of type %q", got, want)}
	}
	return nil
}

// checkOrder rejects an event that can't follow those passed on: bytes that are no events, or events again and again,
// would otherwise reach the caller for as long as the server sends them.
func (h *handler) checkOrder(ev []byte, id string) *Failure {
	previous := ""
	if h.headersSent {
		previous = h.lastEventID
	}
	if len(ev) == 0 || follows(id, previous) {
		return nil
	}
	return &Failure{Reason: Malformed, Sent: true, Err: errors.Newf("event ID %q follows %q", id, previous)}
}

// writeEvent writes one event, after the response headers if they are not sent yet.
func (h *handler) writeEvent(resp *Response, ev []byte) error {
	if !h.headersSent {
		h.headersSent = true
		h.status = resp.Status
		copyHeader(h.w.Header(), resp.Header)
		h.w.Header().Del("Content-Length")
		h.w.WriteHeader(resp.Status)
	}
	_, err := h.w.Write(ev)
	return err
}
