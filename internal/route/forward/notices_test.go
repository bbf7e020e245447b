package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/config/routing"
	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// pausingResponse refuses a request and asks for a pause.
func pausingResponse(d time.Duration) *Response {
	r := notRun()
	r.RetryAfter = d
	return r
}

// Guards against attempts, retries and resumes at a server that has said that it is leaving, while its entry is
// unchanged.
func TestNothingIsStartedAtAServerThatSaidItIsLeaving(t *testing.T) {
	for _, kind := range []routing.Kind{routing.Safe, routing.Unsafe, routing.Streaming} {
		for name, first := range map[string]func() *Response{
			"success": func() *Response { return response(200, numberedEvents(1, 1)) },
			"failure": func() *Response { return response(500, "") },
			"refusal": notRun,
			"truncated": func() *Response {
				r := response(200, "")
				r.Body = truncatedBody(numberedEvents(1, 1))
				return r
			},
		} {
			t.Run(string(kind)+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					up := &fakeUpstream{}
					up.script = func(_ context.Context, n int, _ Attempt) (*Response, *Failure) {
						r := response(200, numberedEvents(n, n))
						if n == 1 {
							r = first()
							r.Leaving = true
						}
						return r, nil
					}
					router := newTestRouter(up, 2)
					for range 20 {
						_ = router.Serve(context.Background(), request(kind), httptest.NewRecorder())
					}
					for _, a := range up.attempts[1:] {
						require.NotEqual(t, up.attempts[0].Server.ID, a.Server.ID)
					}
				})
			})
		}
	}
}

// Guards against requests to a server during the pause that it asked for, and against waiting for its end while another
// server is free.
func TestAServerGetsNoRequestsDuringThePauseItAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 1500 * time.Millisecond
		up := &fakeUpstream{}
		paused := ""
		up.script = func(_ context.Context, n int, a Attempt) (*Response, *Failure) {
			if n == 1 {
				paused = a.Server.ID
				return pausingResponse(pause), nil
			}
			return response(200, "ok"), nil
		}
		router := newTestRouter(up, 2)
		startedAt := time.Now()
		for time.Since(startedAt) < pause {
			before := time.Now()
			require.NoError(t, router.Serve(context.Background(), request(routing.Unsafe), httptest.NewRecorder()))
			require.Equal(t, before, time.Now(), "the request goes elsewhere at once")
			time.Sleep(10 * time.Millisecond)
		}
		for _, a := range up.attempts[1:] {
			require.NotEqual(t, paused, a.Server.ID)
		}
		seen := len(up.attempts)
		for range 40 {
			require.NoError(t, router.Serve(context.Background(), request(routing.Unsafe), httptest.NewRecorder()))
		}
		returned := false
		for _, a := range up.attempts[seen:] {
			returned = returned || a.Server.ID == paused
		}
		require.True(t, returned, "the server gets requests again after the pause")
	})
}

// Guards against a request that is sent once more, or held, while every server is paused, and against a time to come
// back that leads to the next refusal.
func TestARequestIsRefusedWithTheLeastPauseIfAllServersArePaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &fakeUpstream{script: func(_ context.Context, n int, _ Attempt) (*Response, *Failure) {
			return pausingResponse(time.Duration(4-n) * time.Second), nil // 3 s, then 2 s
		}}
		router := newTestRouter(up, 2)
		err := router.Serve(context.Background(), request(routing.Unsafe), httptest.NewRecorder())
		require.Len(t, up.attempts, 2)
		require.Equal(t, fault.NotRun, fault.As(err).Outcome)
		require.Equal(t, 2*time.Second, fault.As(err).RetryAfter)
		time.Sleep(500 * time.Millisecond)
		before := time.Now()
		err = router.Serve(context.Background(), request(routing.Unsafe), httptest.NewRecorder())
		require.Len(t, up.attempts, 2, "nothing is sent")
		require.Equal(t, before, time.Now(), "the request is not held")
		require.Equal(t, fault.Unavailable, fault.KindOf(err))
		require.Equal(t, fault.NotRun, fault.As(err).Outcome)
		require.Equal(t, 1500*time.Millisecond, fault.As(err).RetryAfter)
	})
}

func TestUnreadableFieldsAreCountedAndLoggedOnceAServerAndMinute(t *testing.T) {
	var u unreadableFields
	now := time.Now()
	require.True(t, u.record("i-1", now))
	require.False(t, u.record("i-1", now.Add(59*time.Second)))
	require.True(t, u.record("i-2", now.Add(59*time.Second)))
	require.True(t, u.record("i-1", now.Add(time.Minute)))
	require.EqualValues(t, 4, u.count.Load())
	u.record("i-3", now.Add(time.Hour))
	require.Len(t, u.loggedAt, 1)
}

// Guards against a status that promises callers that the request did not run, without the server having said so.
func TestARefusalWithoutTheServersWordIsNotPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		serve(t, 1, func() *Request { return request(routing.Unsafe) }, func(context.Context, int, Attempt) (*Response, *Failure) {
			return response(status, "busy"), nil
		}, func(_ *fakeUpstream, w *httptest.ResponseRecorder, err error) {
			require.Error(t, err, status)
			require.Equal(t, fault.Unknown, fault.As(err).Outcome)
			require.Equal(t, fault.BadGateway, fault.KindOf(err))
			require.Empty(t, w.Body.String())
		})
	}
}
