package forward

import (
	"context"
	"io"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/config/routing"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/place"
	"github.com/pollencourse/pollencourse/internal/decide/poison"
)

// fakeQuarantine refuses requests with certain parts and records what it is told.
type fakeQuarantine struct {
	mu      sync.Mutex
	refused []string
	sound   []poison.Attempt
	broken  []poison.Attempt
	closed  []poison.Attempt
}

func (q *fakeQuarantine) refuse(part string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refused = append(q.refused, part)
}

func (q *fakeQuarantine) Admit(_ string, parts []string) (poison.Block, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range parts {
		if slices.Contains(q.refused, p) {
			return poison.Block{Part: p, Ends: 5, Remaining: time.Minute}, false
		}
	}
	return poison.Block{}, true
}

func (q *fakeQuarantine) Sound(a poison.Attempt) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sound = append(q.sound, a)
}

func (q *fakeQuarantine) Broken(a poison.Attempt, judge func(bool)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.broken = append(q.broken, a)
	judge(true)
}

func (q *fakeQuarantine) Closed(a poison.Attempt) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = append(q.closed, a)
}

// promptRequest returns a request for a stream whose prompt has the given parts and one of its own.
func promptRequest(parts ...string) *Request {
	req := request(routing.Streaming)
	for _, p := range append(parts, "own") {
		req.Prompt.Parts = append(req.Prompt.Parts, place.PromptPart{ID: p, Tokens: 100})
	}
	return req
}

// serveQuarantined runs one request in a synctest bubble with a quarantine.
func serveQuarantined(t *testing.T, req func() *Request, s func(r *Router, q *fakeQuarantine) script, check func(up *fakeUpstream, q *fakeQuarantine, w *httptest.ResponseRecorder, err error)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		q, up := &fakeQuarantine{}, &fakeUpstream{}
		r := newTestRouter(up, 4)
		r.quarantine = q
		up.script = s(r, q)
		w := httptest.NewRecorder()
		err := r.Serve(context.Background(), req(), w)
		synctest.Wait()
		check(up, q, w, err)
	})
}

// TestAQuarantinedRequestIsRefusedAtOnce guards against sending it, against holding it back, and against an outcome that is
// not true.
func TestAQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	began := time.Time{}
	serveQuarantined(t, func() *Request { began = time.Now(); return promptRequest("first", "bad") }, func(_ *Router, q *fakeQuarantine) script {
		q.refuse("bad")
		return nil
	}, func(up *fakeUpstream, _ *fakeQuarantine, _ *httptest.ResponseRecorder, err error) {
		require.Empty(t, up.attempts)
		require.Equal(t, fault.Quarantined, fault.KindOf(err))
		require.Equal(t, fault.NotRun, fault.As(err).Outcome)
		require.Equal(t, time.Minute, fault.As(err).RetryAfter)
		require.Equal(t, began, time.Now())
	})
}

// TestOnlySharedPartsAreQuarantined guards against refusing a request for the part that is its own.
func TestOnlySharedPartsAreQuarantined(t *testing.T) {
	serveQuarantined(t, func() *Request { return promptRequest("first") }, func(_ *Router, q *fakeQuarantine) script {
		q.refuse("own")
		return func(context.Context, int, Attempt) (*Response, *Failure) {
			r := response(200, numberedEvents(1, 3))
			r.Framed = true
			return r, nil
		}
	}, func(_ *fakeUpstream, q *fakeQuarantine, _ *httptest.ResponseRecorder, err error) {
		require.NoError(t, err)
		require.Len(t, q.sound, 1)
		require.Len(t, q.sound[0].Parts, 2)
		require.Equal(t, "first", q.sound[0].Parts[0])
		require.True(t, poison.IsContent(q.sound[0].Parts[1]))
	})
}

// TestARequestIsNotRetriedOnceItsPartIsQuarantined guards against a retry that crashes a further server, and against calling
// the request not run.
func TestARequestIsNotRetriedOnceItsPartIsQuarantined(t *testing.T) {
	serveQuarantined(t, func() *Request { return promptRequest("bad") }, func(_ *Router, q *fakeQuarantine) script {
		return func(context.Context, int, Attempt) (*Response, *Failure) {
			q.refuse("bad")
			return nil, &Failure{Reason: Truncated, Sent: true, Err: io.ErrUnexpectedEOF}
		}
	}, func(up *fakeUpstream, q *fakeQuarantine, _ *httptest.ResponseRecorder, err error) {
		require.Len(t, up.attempts, 1)
		require.Len(t, q.broken, 1)
		require.True(t, q.broken[0].AnswerBegan.IsZero())
		require.Equal(t, fault.Quarantined, fault.KindOf(err))
		require.Equal(t, fault.Unknown, fault.As(err).Outcome)
	})
}

// TestAttemptsInFlightEndWithTheVerdict guards against servers that begin to answer a request after its part was quarantined.
func TestAttemptsInFlightEndWithTheVerdict(t *testing.T) {
	serveQuarantined(t, func() *Request { return promptRequest("first", "bad") }, func(r *Router, q *fakeQuarantine) script {
		return func(ctx context.Context, _ int, _ Attempt) (*Response, *Failure) {
			time.AfterFunc(time.Second, func() {
				q.refuse("bad")
				r.CancelAttempts("other")
				r.CancelAttempts("bad")
			})
			began := time.Now()
			<-ctx.Done()
			require.Equal(t, time.Second, time.Since(began))
			return nil, &Failure{Reason: Cancelled, Sent: true, Err: ctx.Err()}
		}
	}, func(up *fakeUpstream, q *fakeQuarantine, _ *httptest.ResponseRecorder, err error) {
		require.Len(t, up.attempts, 1)
		require.Empty(t, q.broken)
		require.Equal(t, fault.Quarantined, fault.KindOf(err))
		require.Equal(t, fault.Unknown, fault.As(err).Outcome)
	})
}

// TestAnAnswerThatGoesOnClearsItsPartsBeforeItEnds guards against suspecting the parts of long streams that break off with
// their server.
func TestAnAnswerThatGoesOnClearsItsPartsBeforeItEnds(t *testing.T) {
	for _, tc := range []struct {
		name  string
		after time.Duration
		sound int
	}{
		{"longer than the probation", poison.Probation, 1},
		{"shorter", poison.Probation - time.Millisecond, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			serveQuarantined(t, func() *Request {
				req := promptRequest("first")
				req.Route.Resumable = false
				return req
			}, func(*Router, *fakeQuarantine) script {
				return func(context.Context, int, Attempt) (*Response, *Failure) {
					pr, pw := io.Pipe()
					go func() {
						_, _ = io.WriteString(pw, numberedEvents(1, 1))
						time.Sleep(tc.after)
						_, _ = io.WriteString(pw, numberedEvents(2, 2))
						_ = pw.CloseWithError(io.ErrUnexpectedEOF)
					}()
					r := response(200, "")
					r.Body = pr
					return r, nil
				}
			}, func(_ *fakeUpstream, q *fakeQuarantine, _ *httptest.ResponseRecorder, err error) {
				require.Error(t, err)
				require.Len(t, q.sound, tc.sound)
				require.Len(t, q.broken, 1)
				require.False(t, q.broken[0].AnswerBegan.IsZero())
			})
		})
	}
}

// TestAStreamWithoutALengthAndEventsIsNotComplete guards against passing on the end of a server that had only sent the header
// of its response as an empty stream, or as the end of one that another server had begun.
func TestAStreamWithoutALengthAndEventsIsNotComplete(t *testing.T) {
	for _, first := range []string{"", numberedEvents(1, 2) + "id: 3"} {
		serveQuarantined(t, func() *Request { return promptRequest("first") }, func(*Router, *fakeQuarantine) script {
			return func(_ context.Context, n int, _ Attempt) (*Response, *Failure) {
				r := response(200, "")
				switch n {
				case 1:
					r.Body = io.NopCloser(strings.NewReader(first))
				case 3:
					r.Framed = true
					r.Body = io.NopCloser(strings.NewReader(numberedEvents(3, 4)))
				}
				return r, nil
			}
		}, func(up *fakeUpstream, _ *fakeQuarantine, w *httptest.ResponseRecorder, err error) {
			require.NoError(t, err)
			require.Len(t, up.attempts, 3)
			require.Contains(t, w.Body.String(), numberedEvents(3, 4))
		})
	}
}

// TestAResponseWithoutALengthMayBeCutByItsServersEnd guards against taking the end of a connection for a sound answer.
func TestAResponseWithoutALengthMayBeCutByItsServersEnd(t *testing.T) {
	for _, framed := range []bool{true, false} {
		serveQuarantined(t, func() *Request { return promptRequest("first") }, func(*Router, *fakeQuarantine) script {
			return func(context.Context, int, Attempt) (*Response, *Failure) {
				r := response(200, "")
				r.Framed = framed
				r.Body = io.NopCloser(strings.NewReader(numberedEvents(1, 2)))
				return r, nil
			}
		}, func(_ *fakeUpstream, q *fakeQuarantine, _ *httptest.ResponseRecorder, err error) {
			require.NoError(t, err)
			require.Equal(t, framed, len(q.sound) == 1)
			require.Equal(t, !framed, len(q.closed) == 1)
		})
	}
}

// TestAFailureWithoutALengthMayBeTheEndOfItsServer guards against taking a response that only the end of its connection ends
// for whole, without looking whether its server has ended.
func TestAFailureWithoutALengthMayBeTheEndOfItsServer(t *testing.T) {
	for _, framed := range []bool{false, true} {
		serveQuarantined(t, func() *Request { return promptRequest("first") }, func(*Router, *fakeQuarantine) script {
			return func(context.Context, int, Attempt) (*Response, *Failure) {
				r := response(500, "part of a mess")
				r.Framed = framed
				return r, nil
			}
		}, func(_ *fakeUpstream, q *fakeQuarantine, _ *httptest.ResponseRecorder, _ error) {
			require.Equal(t, framed, len(q.broken) == 0)
			require.Empty(t, q.sound)
			require.Empty(t, q.closed)
		})
	}
}

// TestARequestThatBreaksAnswersWaitsForItsVerdict guards against a request that is taken from server to server faster than the
// ends of the servers are noticed.
func TestARequestThatBreaksAnswersWaitsForItsVerdict(t *testing.T) {
	const settleTime = 100 * time.Millisecond
	var sentAt []time.Duration
	synctest.Test(t, func(*testing.T) {
		q, up := &slowQuarantine{settleTime: settleTime}, &fakeUpstream{}
		r := newTestRouter(up, 8)
		r.quarantine = q
		began := time.Now()
		up.script = func(context.Context, int, Attempt) (*Response, *Failure) {
			sentAt = append(sentAt, time.Since(began))
			return nil, &Failure{Reason: Truncated, Sent: true, AnswerBegan: time.Now(), Err: io.ErrUnexpectedEOF}
		}
		req := promptRequest("first")
		req.Route.MaxAttempts = 4
		_ = r.Serve(context.Background(), req, httptest.NewRecorder()) // fails, as no attempt succeeds
		time.Sleep(settleTime)
	})
	require.Equal(t, []time.Duration{0, 0, settleTime, 2 * settleTime}, sentAt, "one break may be chance")
}

// slowQuarantine takes a time to find out whether servers have ended.
type slowQuarantine struct {
	fakeQuarantine
	settleTime time.Duration
}

func (q *slowQuarantine) Broken(_ poison.Attempt, judge func(bool)) {
	time.AfterFunc(q.settleTime, func() { judge(true) })
}
