package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/config/routing"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/sizing"
)

// firstRun is a first attempt at a server that may have run the request.
type firstRun struct {
	name string
	run  func(ctx context.Context, r *Router, a Attempt) (*Response, *Failure)
	// streamOnly is true if only a stream can end like this.
	streamOnly bool
	// final is true if not even a request that may run more than once is sent again.
	final bool
	// whole is true if the caller gets the answer of the first run where there is no other.
	whole bool
}

func failed(reason Reason) func(context.Context, *Router, Attempt) (*Response, *Failure) {
	return func(context.Context, *Router, Attempt) (*Response, *Failure) {
		return nil, &Failure{Reason: reason, Sent: true, Err: io.ErrUnexpectedEOF}
	}
}

// waitForCancel is a server that never responds.
func waitForCancel(ctx context.Context) (*Response, *Failure) {
	<-ctx.Done()
	return nil, &Failure{Reason: Cancelled, Sent: true, Err: ctx.Err()}
}

// answered returns a server that begins to answer; change modifies its response.
func answered(status int, change func(resp *Response)) func(context.Context, *Router, Attempt) (*Response, *Failure) {
	return func(context.Context, *Router, Attempt) (*Response, *Failure) {
		resp := response(status, numberedEvents(1, 2))
		resp.Framed = true
		if change != nil {
			change(resp)
		}
		return resp, nil
	}
}

var firstRuns = []firstRun{
	{name: "the answer is unsure", run: answered(200, func(resp *Response) { resp.Confidence = 20 }), streamOnly: true, whole: true},
	{name: "the connection is lost", run: failed(Truncated)},
	{name: "the response is malformed", run: failed(Malformed)},
	{name: "the response belongs to another request", run: failed(WrongRequestID)},
	{name: "no response comes", run: func(ctx context.Context, _ *Router, _ Attempt) (*Response, *Failure) { return waitForCancel(ctx) }},
	{name: "the body is truncated", run: answered(200, func(resp *Response) { resp.Body = truncatedBody(numberedEvents(1, 2)) })},
	{name: "the body ends with its server", run: answered(200, func(resp *Response) { resp.Framed = false })},
	{name: "the server fails", run: answered(500, nil)},
	{name: "a failure's body is truncated", run: answered(500, func(resp *Response) { resp.Body = truncatedBody("why") })},
	{name: "a refusal does not say that the request did not run", run: answered(503, nil)},
	{name: "a part of the prompt is quarantined and at once released", run: func(ctx context.Context, r *Router, a Attempt) (*Response, *Failure) {
		r.CancelAttempts(a.Request.suspectKeys()[0])
		return waitForCancel(ctx)
	}},
	{name: "the signature is missing", run: answered(200, func(resp *Response) { resp.Signed = false }), final: true},
}

// TestAtMostOneAttemptMayHaveRun guards against a further run after any series of attempts, some of which did not run, and
// against an error that says "not run" after one that may have run.
func TestAtMostOneAttemptMayHaveRun(t *testing.T) {
	const series = 300
	rng := rand.New(rand.NewPCG(1, 2))
	for n := range series {
		req := func() *Request {
			r := request([]routing.Kind{routing.Unsafe, routing.Streaming}[n%2])
			r.Route.Resumable, r.Route.Models, r.Route.MaxAttempts = false, []string{"small", "large"}, 6
			return r
		}
		mayHaveRun := 0
		synctest.Test(t, func(t *testing.T) {
			up := &fakeUpstream{}
			r := newTestRouter(up, 8)
			r.models = smallestFirst{sizing.Policy{MinConfidence: 50}}
			r.opts.ServerEnded = func(string) bool { return rng.IntN(2) == 0 }
			up.script = func(ctx context.Context, _ int, a Attempt) (*Response, *Failure) {
				switch rng.IntN(3) {
				case 0:
					return nil, &Failure{Reason: ConnectFailed, Err: io.EOF}
				case 1:
					return notRun(), nil
				default:
					mayHaveRun++
					return firstRuns[rng.IntN(len(firstRuns))].run(ctx, r, a)
				}
			}
			err := r.Serve(context.Background(), req(), httptest.NewRecorder())
			require.LessOrEqual(t, mayHaveRun, 1)
			if err != nil {
				require.Equal(t, mayHaveRun == 0, fault.As(err).Outcome == fault.NotRun)
			}
		})
	}
}

// smallestFirst asks the smallest model first, which may be unsure, also for requests that may run only once.
type smallestFirst struct{ sizing.Policy }

func (p smallestFirst) ForSingleRun(models []string, _ func(string) bool) string {
	return p.First(models)
}

// TestARequestThatMayRunOnlyOnceRunsOnce guards against a second run of a request that may not be repeated, whatever
// became of the first; streams that can't be resumed ran again whenever their first answer was unsure.
func TestARequestThatMayRunOnlyOnceRunsOnce(t *testing.T) {
	for _, kind := range []struct {
		name      string
		kind      routing.Kind
		resumable bool
		runsOnce  bool
	}{
		{name: "unsafe", kind: routing.Unsafe, runsOnce: true},
		{name: "stream that can't be resumed", kind: routing.Streaming, runsOnce: true},
		{name: "safe", kind: routing.Safe},
		{name: "stream that can be resumed", kind: routing.Streaming, resumable: true},
	} {
		for _, first := range firstRuns {
			if first.streamOnly && kind.kind != routing.Streaming {
				continue
			}
			t.Run(kind.name+"/"+first.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					up := &fakeUpstream{}
					r := newTestRouter(up, 4)
					r.models = smallestFirst{sizing.Policy{MinConfidence: 50}}
					r.opts.ServerEnded = func(string) bool { return true }
					up.script = func(ctx context.Context, n int, a Attempt) (*Response, *Failure) {
						if n == 1 {
							return first.run(ctx, r, a)
						}
						return answered(200, nil)(ctx, r, a)
					}
					req := request(kind.kind)
					req.Route.Resumable = kind.resumable
					if kind.kind == routing.Streaming {
						req.Route.Models = []string{"small", "large"}
					}
					w := httptest.NewRecorder()
					err := r.Serve(context.Background(), req, w)
					if kind.runsOnce || first.final {
						require.Equal(t, 1, up.sent())
						require.Equal(t, first.whole, err == nil && w.Code == 200 && w.Body.String() == numberedEvents(1, 2))
					} else {
						require.Greater(t, up.sent(), 1, "a request that may run more than once is sent again")
					}
				})
			})
		}
	}
}

// TestTheModelOfARequestThatMayRunOnlyOnceDependsOnTheRoom guards against unsure answers that can't be replaced, and against
// long streams on busy servers, where a cut one is lost; a request that did not run is sent again with the model that there
// is room for then.
func TestTheModelOfARequestThatMayRunOnlyOnceDependsOnTheRoom(t *testing.T) {
	for _, tc := range []struct {
		name         string
		resumable    bool
		promptTokens int
		refusedAfter time.Duration
		models       []string
	}{
		{name: "there is room", models: []string{"large"}},
		{name: "the largest model would be in time, without room", promptTokens: 20_000, models: []string{"small"}},
		{name: "the largest model would be late", promptTokens: 1_000_000, models: []string{"small"}},
		{name: "there is no longer room", refusedAfter: time.Second, models: []string{"large", "small"}},
		{name: "it may run more than once", resumable: true, models: []string{"small"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			serve(t, 3, func() *Request {
				req := request(routing.Streaming)
				req.Route.Resumable, req.Route.Models = tc.resumable, []string{"small", "middle", "large"}
				req.Prompt.InputTokens = tc.promptTokens
				return req
			}, func(_ context.Context, n int, _ Attempt) (*Response, *Failure) {
				if n < len(tc.models) {
					time.Sleep(tc.refusedAfter)
					return notRun(), nil
				}
				resp := response(200, numberedEvents(1, 2))
				resp.Header.Set("Confidence", "60")
				resp.Confidence = 60
				return resp, nil
			}, func(up *fakeUpstream, w *httptest.ResponseRecorder, err error) {
				require.NoError(t, err)
				require.Equal(t, "60", w.Header().Get("Confidence"), "the caller learns what the model said of its answer")
				var models []string
				for _, a := range up.attempts {
					models = append(models, a.Model)
				}
				require.Equal(t, tc.models, models)
			})
		})
	}
}
