package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/place"
)

const (
	// maxBufferedBytes bounds the response body that is buffered; an attempt with a larger one fails.
	maxBufferedBytes = 1 << 20
	// smallBodyBytes is the size up to which any number of bodies are read at a time; maxLargeReads bounds the number of
	// larger ones, so that bodies without end don't exhaust the memory.
	smallBodyBytes = 64 << 10
	maxLargeReads  = 8
)

// streams reports whether the response is a stream of events.
func (r *Request) streams() bool { return r.Route.Kind == "streaming" }

// call handles a request whose response is a single body.
func (h *handler) call(ctx context.Context) error {
	for {
		a, resp, f, err := h.startAttempt(ctx, h.req.Prompt.Model)
		if err != nil {
			return err
		}
		var body []byte
		if f == nil {
			a.startStallTimer(a.firstChunkTimeout())
			if body, f = h.router.readBody(ctx, resp); f != nil {
				f = a.classify(ctx, f)
			}
			a.stopStallTimer()
		}
		if f == nil && !resp.NotRun {
			f = h.checkServerRuns(ctx, a, 0)
		}
		if f != nil {
			a.fail(ctx, f)
			if !h.retryAfterFailure(ctx, a, f) {
				return h.requestError(ctx, f)
			}
			continue
		}
		a.complete = true
		a.firstChunkReceived()
		answered := resp.Status == http.StatusOK && resp.Signed
		a.broken = !answered && mayBeCut(resp)
		a.finish(outcomeOfResponse(resp))
		if answered {
			a.answerBegun()
			a.recordWhole()
		}
		if h.retryable(resp) && h.retryAfterResponse(ctx, a, resp) {
			continue
		}
		return h.writeResponse(resp, body)
	}
}

// readBody reads a response body of at most maxBufferedBytes.
func (r *Router) readBody(ctx context.Context, resp *Response) ([]byte, *Failure) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, smallBodyBytes+1))
	if err == nil && len(body) > smallBodyBytes {
		body, err = r.readLargeBody(ctx, body, resp.Body)
	}
	switch {
	case err != nil:
		return nil, bodyFailure(ctx, err)
	case len(body) > maxBufferedBytes:
		return nil, &Failure{Reason: Malformed, Sent: true, Err: errors.Newf("the response exceeds %d bytes", maxBufferedBytes)}
	default:
		return body, nil
	}
}

// readLargeBody reads the rest of a body that begins with start.
func (r *Router) readLargeBody(ctx context.Context, start []byte, rest io.Reader) ([]byte, error) {
	select {
	case r.largeReads <- struct{}{}:
		defer func() { <-r.largeReads }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	buf := bytes.NewBuffer(start)
	_, err := buf.ReadFrom(io.LimitReader(rest, int64(maxBufferedBytes+1-len(start))))
	return buf.Bytes(), err
}

// bodyFailure classifies an error that occurred while a response body was read.
func bodyFailure(ctx context.Context, err error) *Failure {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Failure{Reason: TimedOut, Sent: true, Err: err}
	case ctx.Err() != nil:
		return &Failure{Reason: Cancelled, Sent: true, Err: err}
	default:
		return &Failure{Reason: Truncated, Sent: true, Err: err}
	}
}

// retryAfterFailure excludes the server of an attempt without a complete response and reports whether the request may
// be sent to another one.
func (h *handler) retryAfterFailure(ctx context.Context, a *attempt, f *Failure) bool {
	h.router.log.Emit(event.AttemptFailed, "request", h.req.ID, "server", a.server.ID, "model", a.model,
		"reason", string(f.Reason), "sent", f.Sent, "ms", time.Since(a.startedAt).Milliseconds(), "answerMs", a.answerAge().Milliseconds(),
		"events", a.eventCount, "parts", h.loggedParts(), "error", f.Err.Error())
	h.avoid = append(h.avoid, a.server.ID)
	switch {
	case !f.Sent:
		return ctx.Err() == nil && h.totalAttempts < maxTotalAttempts
	case f.Reason == Withdrawn:
		return ctx.Err() == nil // the quarantine refuses the next attempt
	case f.Reason == Stalled:
		return ctx.Err() == nil // the stall timer has taken the retry out of the budget
	default:
		return h.req.Route.Retryable() && h.mayRetry(ctx, fullBudgetShare)
	}
}

// retryable reports whether a response calls for a retry: the server did not run the request, or failed on a request
// that is safe to repeat.
func (h *handler) retryable(resp *Response) bool {
	return resp.NotRun || resp.Status >= http.StatusInternalServerError && h.req.Route.Retryable()
}

// retryAfterResponse excludes a server that refused the request or failed, and reports whether the request may be sent
// to another one.
func (h *handler) retryAfterResponse(ctx context.Context, a *attempt, resp *Response) bool {
	h.router.log.Emit(event.AttemptFailed, "request", h.req.ID, "server", a.server.ID, "model", a.model,
		"status", resp.Status, "notRun", resp.NotRun)
	h.avoid = append(h.avoid, a.server.ID)
	return h.mayRetry(ctx, fullBudgetShare)
}

// mayBeCut reports whether a response that was read to its end is whole only if its server has not ended.
func mayBeCut(resp *Response) bool { return !resp.Framed && !resp.NotRun }

func outcomeOfResponse(resp *Response) place.Outcome {
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		return place.ConnectionFailed
	case resp.NotRun:
		return place.Refused
	case resp.Status >= http.StatusInternalServerError:
		return place.Failed
	default:
		return place.Success
	}
}

// writeResponse forwards the server's response to the caller. Instead of a "not run" response it returns an error, since
// an earlier attempt may have run. A status that callers take for "not run" is an error too if the server does not say
// so itself, and so is a success without the server's signature.
func (h *handler) writeResponse(resp *Response, body []byte) error {
	if resp.NotRun {
		return h.newError(fault.Overloaded, "backend servers of %s are at capacity", h.req.Service)
	}
	if fault.StatusPromisesNotRun(resp.Status) {
		return h.newError(fault.BadGateway, "the server responded with status %d and does not say whether the request ran", resp.Status)
	}
	if resp.Status < http.StatusMultipleChoices && !resp.Signed {
		return h.newError(fault.BadGateway, "the response lacks the server's signature")
	}
	header := h.w.Header()
	copyHeader(header, resp.Header)
	if h.req.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	h.status = resp.Status
	h.headersSent = true
	h.w.WriteHeader(resp.Status)
	if _, err := h.w.Write(body); err != nil {
		return fault.New(fault.BadGateway, "none", "the caller disconnected while the response was written").WithCause(err).WithOutcome(fault.Ran)
	}
	return nil
}

// copyHeader copies the response's header fields, and keeps net/http from adding Date and Content-Type.
func copyHeader(dst, src http.Header) {
	for k, v := range src {
		dst[k] = v
	}
	for _, k := range []string{"Date", "Content-Type"} {
		if _, ok := src[k]; !ok {
			dst[k] = nil
		}
	}
}
