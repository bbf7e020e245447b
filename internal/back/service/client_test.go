package service

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/back/engine"
)

// startRawServer calls serve for each connection that it accepts, and counts them.
func startRawServer(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) (address string, conns *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	conns = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String(), conns
}

// Guards against a faulty service that writes an earlier response once more: on a kept connection, the next call would
// get it.
func TestAResponseWrittenAgainIsNotTakenForTheNextOne(t *testing.T) {
	for _, first := range []string{"503 Service Unavailable", "200 OK"} {
		address, conns := startRawServer(t, func(c net.Conn, r *bufio.Reader) {
			earlier := ""
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				if earlier == "" && req.URL.Path == "/first" {
					earlier = "HTTP/1.1 " + first + "\r\nContent-Length: 5\r\n\r\nfirst"
				}
				if earlier != "" {
					_, _ = io.WriteString(c, earlier)
				}
				if req.URL.Path != "/first" {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
				}
			}
		})
		client := New(engine.DefaultDial(), 1<<20)
		call := Call{Address: address, Method: http.MethodGet, Path: "/first", AttemptID: "a1", Idempotent: true}
		_, f := client.Do(context.Background(), call)
		require.Equal(t, first == "200 OK", f == nil)
		call.Path, call.AttemptID = "/second", "a2"
		resp, f := client.Do(context.Background(), call)
		require.Nil(t, f)
		require.Equal(t, "second", string(resp.Body))
		require.EqualValues(t, 2, conns.Load())
	}
}

// Guards against a response whose head or length is not complete and that counts as one.
func TestATruncatedResponseFailsTheCall(t *testing.T) {
	const body = "0123456789"
	for _, status := range []string{"200 OK", "503 Service Unavailable"} {
		full := "HTTP/1.1 " + status + "\r\nX-Request-Id: a\r\nContent-Length: " + fmt.Sprint(len(body)) + "\r\n\r\n" + body
		sent := make(chan string, 1)
		address, _ := startRawServer(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(c, <-sent)
			}
		})
		for n := range len(full) {
			sent <- full[:n]
			_, f := New(engine.DefaultDial(), 1<<20).Do(context.Background(), Call{Address: address, Method: http.MethodGet, Path: "/", AttemptID: "a", Idempotent: true})
			require.NotNil(t, f)
			require.Equal(t, engine.Incomplete, f.Reason, "%q", full[:n])
			require.NotEqual(t, engine.Unsent, f.Progress)
		}
	}
}
