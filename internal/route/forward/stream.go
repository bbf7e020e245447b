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

// stream answers a request whose answer is a series of events.
func (u *run) stream(ctx context.Context) error {
	model := u.req.Prompt.Model
	if len(u.req.Route.Models) > 0 {
		model = u.router.models.First(u.req.Route.Models)
	}
	for {
		a, reply, f, err := u.start(ctx, model)
		if err != nil {
			return err
		}
		if f == nil && reply.Status == http.StatusOK && reply.Signed {
			a.answered()
			if next, ok := u.escalates(ctx, reply, model); ok {
				_ = reply.Body.Close()
				a.end(place.Success)
				model = next
				continue
			}
			f = u.passOn(ctx, a, reply)
			if f == nil {
				return nil
			}
		}
		if f == nil {
			done, err := u.unlike200(ctx, a, reply)
			if done {
				return err
			}
			continue
		}
		a.end(outcomeOf(ctx, f))
		if f.Reason == Cancelled {
			return u.failure(ctx, f)
		}
		if !u.againAfterFailure(ctx, a, f) {
			return u.failure(ctx, f)
		}
		if u.begun {
			u.router.counts.resumed.Add(1)
			u.router.log.Emit(event.StreamResumed, "request", u.req.ID, "after", u.lastEvent, "from", a.server.ID)
		}
	}
}

// escalates reports whether a larger model should answer instead of the one whose head is here.
func (u *run) escalates(ctx context.Context, reply *Reply, model string) (string, bool) {
	if u.begun || len(u.req.Route.Models) == 0 || u.attempts >= u.req.Route.MaxAttempts {
		return "", false
	}
	next, ok := u.router.models.Next(u.req.Route.Models, model, reply.Confidence)
	if !ok || !u.inTime(next) || !u.mayRepeat(ctx, largerModels) {
		return "", false
	}
	u.router.counts.escalated.Add(1)
	return next, true
}

// unlike200 handles an answer that is not a stream: the server refused, failed or answered otherwise.
func (u *run) unlike200(ctx context.Context, a *attempt, reply *Reply) (done bool, err error) {
	body, f := hold(ctx, reply)
	if f != nil {
		a.end(outcomeOf(ctx, f))
		if !u.againAfterFailure(ctx, a, f) {
			return true, u.failure(ctx, f)
		}
		return false, nil
	}
	a.end(outcomeOfStatus(reply))
	if u.rejects(reply) && u.againAfterReply(ctx, a, reply) {
		return false, nil
	}
	if u.begun {
		return true, u.refused(fault.BadGateway, "the stream broke and no server goes on with it").(*fault.Error).WithOutcome(fault.Unknown)
	}
	return true, u.deliver(reply, body)
}

// passOn copies whole events to the caller until the stream ends or breaks.
func (u *run) passOn(ctx context.Context, a *attempt, reply *Reply) *Failure {
	defer reply.Body.Close()
	defer a.disarm()
	flush := http.NewResponseController(u.w)
	events := newEventReader(reply.Body)
	for {
		a.arm(a.gapWait())
		ev, id, err := events.next()
		if err != nil && !errors.Is(err, io.EOF) {
			return a.failed(ctx, cutFailure(ctx, err))
		}
		if len(ev) > 0 && err != nil {
			return &Failure{Reason: Cut, Sent: true, Err: errors.New("the stream ended within an event")}
		}
		if len(ev) > 0 || !u.begun {
			if werr := u.write(reply, ev); werr != nil {
				return &Failure{Reason: Cancelled, Sent: true, Err: werr}
			}
		}
		if err != nil {
			a.whole = true
			a.end(place.Success)
			return nil
		}
		a.piece()
		if id != "" {
			u.lastEvent = id
		}
		if events.more() {
			continue
		}
		if ferr := flush.Flush(); ferr != nil {
			return &Failure{Reason: Cancelled, Sent: true, Err: ferr}
		}
	}
}

// write begins the answer if need be and writes one event.
func (u *run) write(reply *Reply, ev []byte) error {
	if !u.begun {
		u.begun = true
		u.status = reply.Status
		copyHeader(u.w.Header(), reply.Header)
		u.w.Header().Del("Content-Length")
		u.w.WriteHeader(reply.Status)
	}
	_, err := u.w.Write(ev)
	return err
}
