package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/pollencourse/pollencourse/internal/config/routing"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/route/forward"
)

// testCodec reads plain fields.
type testCodec struct{}

func (testCodec) Decode(h http.Header) (Fields, error) {
	if h.Get("Id") == "" {
		return Fields{}, fault.New(fault.BadRequest, "send Id", "no ID")
	}
	return Fields{RequestID: h.Get("Id"), Key: h.Get("Key"), Timeout: 8 * time.Second, Forward: h.Clone()}, nil
}
func (testCodec) SetRequestID(h http.Header, id string) { h.Set("Id", id) }
func (testCodec) SetRetryAfter(h http.Header, d time.Duration) {
	h.Set("Retry-After", fmt.Sprint(d.Seconds()))
}

// testRouter answers with fn.
type testRouter struct {
	fn func(ctx context.Context, req *forward.Request, w http.ResponseWriter) error
}

func (r testRouter) Serve(ctx context.Context, req *forward.Request, w http.ResponseWriter) error {
	return r.fn(ctx, req, w)
}

// pipes is a listener over in-memory connections, which virtual time can wait for.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
	once  *sync.Once
}

func (p pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p pipes) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// caller is one connection to the server.
type caller struct {
	conn net.Conn
	in   *bufio.Reader
}

func (p pipes) dial() *caller {
	a, b := net.Pipe()
	p.conns <- b
	return &caller{a, bufio.NewReader(a)}
}

func (c *caller) do(t *testing.T, method, path, body string, header ...string) (*http.Response, string) {
	t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n", method, path, len(body))
	for _, h := range header {
		b.WriteString(h + "\r\n")
	}
	go func() { _, _ = io.WriteString(c.conn, b.String()+"\r\n"+body) }()
	resp, err := http.ReadResponse(c.in, nil)
	require.NoError(t, err)
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(text)
}

type bench struct {
	pipes
	tables *routing.Holder
	server *Server
	stop   context.CancelFunc
	ended  chan error
	left   atomic.Bool
}

func play(t *testing.T, fn func(ctx context.Context, req *forward.Request, w http.ResponseWriter) error, body func(b *bench)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		b := &bench{
			pipes:  pipes{make(chan net.Conn), make(chan struct{}), &sync.Once{}},
			tables: routing.NewHolder(event.Discard()), ended: make(chan error, 1),
		}
		b.server = New(Config{
			Listener: b.pipes, Codec: testCodec{}, Router: testRouter{fn}, Tables: b.tables, Leave: func() { b.left.Store(true) },
			ListLifetime: time.Second, Grace: 8 * time.Second, Metrics: tally.NoopScope, Log: event.Discard(),
		})
		ctx, stop := context.WithCancel(context.Background())
		b.stop = stop
		go func() { b.ended <- b.server.Run(ctx) }()
		body(b)
		stop()
		require.NoError(t, <-b.ended)
	})
}

func table(revision int64) *routing.Table {
	priority := 3
	return routing.NewTable(routing.Config{
		Revision: revision, Limits: routing.Limits{MaxBodyBytes: 10},
		Routes: []routing.Route{
			{Name: "r", Host: "h.example", Prefix: "/a/", Kind: routing.Unsafe, Timeout: 5 * time.Second, Backends: []routing.WeightedService{{Service: "s", Weight: 1}}},
			{Name: "p", Host: "h.example", Prefix: "/p/", Kind: routing.Streaming, Timeout: time.Minute, Public: true, Backends: []routing.WeightedService{{Service: "s", Weight: 1}}},
		},
		Accounts: map[string]*routing.Account{"k": {Name: "acct", Priority: &priority}},
	})
}

func echo(_ context.Context, req *forward.Request, w http.ResponseWriter) error {
	_, err := fmt.Fprintf(w, "%s|%s|%s|%d|%s|%s", req.Route.Name, req.Account, req.Service, req.Priority, req.Target, req.Body)
	return err
}

func TestRequestsAreMatched(t *testing.T) {
	play(t, echo, func(b *bench) {
		b.tables.Offer(table(1), "test")
		c := b.dial()
		for _, tc := range []struct {
			path, body, key string
			status          int
			want            string
		}{
			{"/a/x%2Fy?q=1", "hi", "k", 200, "r|acct|s|3|/a/x%2Fy?q=1|hi"},
			{"/p/", "", "", 200, "p||s|0|/p/|"},
			{"/a/", "", "wrong", 401, ""},
			{"/b/", "", "k", 404, ""},
			{"/a/", "0123456789X", "k", 413, ""},
		} {
			resp, body := c.do(t, "POST", tc.path, tc.body, "Id: 1", "Key: "+tc.key)
			require.Equal(t, tc.status, resp.StatusCode, tc.path)
			if tc.status == 200 {
				require.Equal(t, tc.want, body)
			} else {
				require.Contains(t, body, "remedy")
				c = b.dial()
			}
		}
		resp, _ := b.dial().do(t, "GET", "/a/", "")
		require.Equal(t, 400, resp.StatusCode)
	})
}

func TestTheDeadlineIsTheNearerOfTheCallersAndTheRoutes(t *testing.T) {
	play(t, func(_ context.Context, req *forward.Request, w http.ResponseWriter) error {
		_, err := fmt.Fprint(w, req.Deadline.Sub(req.Arrived))
		return err
	}, func(b *bench) {
		b.tables.Offer(table(1), "test")
		_, body := b.dial().do(t, "POST", "/a/", "", "Id: 1", "Key: k")
		require.Equal(t, "5s", body)
		_, body = b.dial().do(t, "POST", "/p/", "", "Id: 1")
		require.Equal(t, "8s", body)
	})
}

func TestADaemonWithoutAConfigurationWaitsAMomentThenRefuses(t *testing.T) {
	play(t, echo, func(b *bench) {
		began := time.Now()
		resp, body := b.dial().do(t, "POST", "/a/", "", "Id: 1", "Key: k")
		require.Equal(t, 503, resp.StatusCode, "not 404: no configuration says so")
		require.Contains(t, body, "notRun")
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		require.Equal(t, "1", resp.Header.Get("Id"), "the ID leads to the log")
		require.Equal(t, time.Second, time.Since(began), "an eighth of the caller's time")
		time.AfterFunc(500*time.Millisecond, func() { b.tables.Offer(table(1), "test") })
		resp, _ = b.dial().do(t, "POST", "/a/", "", "Id: 1", "Key: k")
		require.Equal(t, 200, resp.StatusCode)
	})
}

func TestAStatusThatPromisesNotRunIsTrue(t *testing.T) {
	for _, tc := range []struct {
		kind    fault.Kind
		outcome fault.Outcome
		want    int
	}{
		{fault.Overloaded, fault.NotRun, 503},
		{fault.Overloaded, fault.Unknown, 502},
		{fault.Unavailable, fault.Ran, 502},
		{fault.OverLimit, fault.Unknown, 502},
		{fault.TooLate, fault.Unknown, 504},
		{fault.BadGateway, fault.Unknown, 502},
	} {
		play(t, func(context.Context, *forward.Request, http.ResponseWriter) error {
			return fault.New(tc.kind, "again", "failed").WithOutcome(tc.outcome).WithRetryAfter(time.Second)
		}, func(b *bench) {
			b.tables.Offer(table(1), "test")
			resp, _ := b.dial().do(t, "POST", "/a/", "", "Id: 1", "Key: k")
			require.Equal(t, tc.want, resp.StatusCode)
			require.Equal(t, tc.want == 503, resp.Header.Get("Retry-After") != "")
		})
	}
}

func TestAnAnswerThatBreaksLooksCut(t *testing.T) {
	play(t, func(_ context.Context, _ *forward.Request, w http.ResponseWriter) error {
		w.WriteHeader(200)
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		return fault.New(fault.BadGateway, "again", "cut")
	}, func(b *bench) {
		b.tables.Offer(table(1), "test")
		c := b.dial()
		go func() { _, _ = io.WriteString(c.conn, "GET /p/ HTTP/1.1\r\nHost: h.example\r\nId: 1\r\n\r\n") }()
		resp, err := http.ReadResponse(c.in, nil)
		require.NoError(t, err)
		_, err = io.ReadAll(resp.Body)
		require.Error(t, err)
	})
}

func TestALeavingDaemonFinishesAndRefusesOnlyLateStreams(t *testing.T) {
	const work = 4 * time.Second
	play(t, func(ctx context.Context, req *forward.Request, w http.ResponseWriter) error {
		if req.Route.Name == "p" {
			time.Sleep(work)
		}
		return echo(ctx, req, w)
	}, func(b *bench) {
		b.tables.Offer(table(1), "test")
		slow := make(chan int, 1)
		go func() {
			resp, _ := b.dial().do(t, "POST", "/p/", "", "Id: 1")
			slow <- resp.StatusCode
		}()
		idle := b.dial()
		synctest.Wait()
		began := time.Now()
		b.stop()
		time.Sleep(2 * time.Second)
		require.True(t, b.left.Load())
		resp, _ := idle.do(t, "POST", "/a/", "", "Id: 1", "Key: k")
		require.Equal(t, 200, resp.StatusCode, "callers still come with an old list")
		require.True(t, resp.Close)
		time.Sleep(1100 * time.Millisecond)
		resp, _ = b.dial().do(t, "POST", "/p/", "", "Id: 2")
		require.Equal(t, 503, resp.StatusCode)
		require.Equal(t, 200, <-slow, "what was begun is finished")
		require.NoError(t, <-b.ended)
		require.Less(t, time.Since(began), 8*time.Second)
		b.ended <- nil
	})
}

// TestWhatCouldNotEndBeforeTheKillIsRefused is trouble-2 of karamu-quotes: a caller came 7.5 s after SIGTERM and its
// request was cut with the process.
func TestWhatCouldNotEndBeforeTheKillIsRefused(t *testing.T) {
	var begun atomic.Int64
	play(t, func(ctx context.Context, req *forward.Request, w http.ResponseWriter) error {
		begun.Add(1)
		time.Sleep(time.Until(req.Deadline) - time.Millisecond)
		return echo(ctx, req, w)
	}, func(b *bench) {
		b.tables.Offer(table(1), "test")
		early, late := b.dial(), b.dial()
		synctest.Wait()
		b.stop()
		time.Sleep(2 * time.Second)
		resp, _ := early.do(t, "POST", "/a/", "", "Id: 1", "Key: k")
		require.Equal(t, 200, resp.StatusCode, "five seconds are left for it")
		time.Sleep(500 * time.Millisecond)
		go func() {
			_, _ = io.WriteString(late.conn, "POST /a/ HTTP/1.1\r\nHost: h.example\r\nId: 2\r\nKey: k\r\nContent-Length: 0\r\n\r\n")
		}()
		resp, err := http.ReadResponse(late.in, nil)
		if err == nil {
			require.Equal(t, 503, resp.StatusCode)
			require.True(t, resp.Close)
		}
		require.EqualValues(t, 1, begun.Load(), "what could be cut is not begun")
		select {
		case b.conns <- nil:
			t.Error("a new connection is taken")
		case <-b.done:
		}
	})
}
