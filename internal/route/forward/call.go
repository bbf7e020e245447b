package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/place"
)

// maxHeldBytes is the largest answer that is held until it is whole; larger ones are passed on as they come.
const maxHeldBytes = 1 << 20

// streams reports whether the request's answer is a series of events.
func (r *Request) streams() bool { return r.Route.Kind == "streaming" }

// call answers a request whose answer is one body.
func (u *run) call(ctx context.Context) error {
	for {
		a, reply, f, err := u.start(ctx, u.req.Prompt.Model)
		if err != nil {
			return err
		}
		var body []byte
		if f == nil {
			a.arm(a.headWait())
			if body, f = hold(ctx, reply); f != nil {
				f = a.failed(ctx, f)
			}
			a.disarm()
		}
		if f != nil {
			a.end(outcomeOf(ctx, f))
			if !u.againAfterFailure(ctx, a, f) {
				return u.failure(ctx, f)
			}
			continue
		}
		a.whole = true
		a.answered()
		a.end(outcomeOfStatus(reply))
		if u.rejects(reply) && u.againAfterReply(ctx, a, reply) {
			continue
		}
		return u.deliver(reply, body)
	}
}

// hold reads the body of an answer up to maxHeldBytes.
func hold(ctx context.Context, reply *Reply) ([]byte, *Failure) {
	defer reply.Body.Close()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxHeldBytes+1))
	switch {
	case err != nil:
		return nil, cutFailure(ctx, err)
	case len(body) > maxHeldBytes:
		return nil, &Failure{Reason: Malformed, Sent: true, Err: errors.Newf("the answer exceeds %d bytes", maxHeldBytes)}
	default:
		return body, nil
	}
}

func cutFailure(ctx context.Context, err error) *Failure {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Failure{Reason: TimedOut, Sent: true, Err: err}
	case ctx.Err() != nil:
		return &Failure{Reason: Cancelled, Sent: true, Err: err}
	default:
		return &Failure{Reason: Cut, Sent: true, Err: err}
	}
}

// againAfterFailure reports whether the request may be sent to another server after an attempt without an answer.
func (u *run) againAfterFailure(ctx context.Context, a *attempt, f *Failure) bool {
	u.router.log.Emit(event.AttemptFailed, "request", u.req.ID, "server", a.server.ID, "model", a.model,
		"reason", string(f.Reason), "sent", f.Sent, "error", f.Err.Error())
	u.avoid = append(u.avoid, a.server.ID)
	switch {
	case !f.Sent:
		return ctx.Err() == nil && u.tries < maxTries
	case f.Reason == Stalled:
		return ctx.Err() == nil // the watch has spent the budget
	default:
		return u.req.Route.Repeatable() && u.mayRepeat(ctx, allRepeats)
	}
}

// rejects reports whether an answer asks for another server: the server did not run the request or failed at it.
func (u *run) rejects(reply *Reply) bool {
	return reply.NotRun || reply.Status >= http.StatusInternalServerError && u.req.Route.Repeatable()
}

// againAfterReply reports whether another server may be tried after a server's refusal or failure.
func (u *run) againAfterReply(ctx context.Context, a *attempt, reply *Reply) bool {
	u.router.log.Emit(event.AttemptFailed, "request", u.req.ID, "server", a.server.ID, "model", a.model,
		"status", reply.Status, "notRun", reply.NotRun)
	u.avoid = append(u.avoid, a.server.ID)
	return u.mayRepeat(ctx, allRepeats)
}

func outcomeOfStatus(reply *Reply) place.Outcome {
	switch {
	case reply.Status == http.StatusMisdirectedRequest:
		return place.ConnectionFailed
	case reply.NotRun:
		return place.Refused
	case reply.Status >= http.StatusInternalServerError:
		return place.Failed
	default:
		return place.Success
	}
}

// deliver passes on the server's answer, unless it promises "not run" against what is known.
func (u *run) deliver(reply *Reply, body []byte) error {
	if reply.NotRun {
		return u.refused(fault.Overloaded, "backend servers of %s are full", u.req.Service)
	}
	if reply.Status < http.StatusMultipleChoices && !reply.Signed {
		return u.refused(fault.BadGateway, "the answer lacks its server's signature")
	}
	h := u.w.Header()
	copyHeader(h, reply.Header)
	if u.req.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	u.status = reply.Status
	u.begun = true
	u.w.WriteHeader(reply.Status)
	if _, err := u.w.Write(body); err != nil {
		return fault.New(fault.BadGateway, "none", "the caller left while the answer was written").WithCause(err).WithOutcome(fault.Ran)
	}
	return nil
}

// copyHeader sets the fields of the answer, and keeps the library from adding its own.
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
