package engine

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fixedTransport responds to every request with the same body.
type fixedTransport struct{ body []byte }

func (f fixedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"X-Request-Id": {r.Header.Get("X-Request-Id")}},
		Body: io.NopCloser(bytes.NewReader(f.body)),
	}, nil
}

// recordingSink records the events that it receives.
type recordingSink struct{ events []string }

func (s *recordingSink) Event(line []byte) error {
	s.events = append(s.events, string(line))
	return nil
}

func (s *recordingSink) Flush() error { return nil }

func readStream(body string) (*StreamResult, *Failure, []string) {
	c := &Client{transport: fixedTransport{[]byte(body)}, maxResponseBytes: 1 << 20, stallTimeout: time.Minute}
	sink := &recordingSink{}
	out, f := c.Stream(context.Background(), Call{Address: "x", AttemptID: "a"}, sink)
	return out, f, sink.events
}

const (
	contentChunk    = `data: {"id":"1","choices":[{"delta":{"content":"x"},"finish_reason":null}]}`
	finishChunk     = `data: {"id":"1","choices":[{"delta":{},"finish_reason":"stop"}]}`
	foreignChunk    = `data: {"id":"2","choices":[{"delta":{"content":"x"},"finish_reason":null}]}`
	usageChunk      = `data: {"id":"1","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":7}}`
	endOfStreamLine = "data: [DONE]"
)

// Guards against a truncated stream that is taken for a complete one, and against chunks of another response that
// are forwarded.
func TestStreamIsCompleteOnlyWithFinishReasonAndEndOfStream(t *testing.T) {
	for _, tc := range []struct {
		name   string
		parts  []string
		reason Reason
		events int
	}{
		{"complete", []string{contentChunk, finishChunk, usageChunk, endOfStreamLine}, "", 3},
		{"comments and other fields", []string{": ping", "event: x", contentChunk, finishChunk, endOfStreamLine}, "", 2},
		{"closed early", []string{contentChunk, contentChunk}, Incomplete, 2},
		{"closed after the finish reason", []string{contentChunk, finishChunk}, Incomplete, 2},
		{"[DONE] without a finish reason", []string{contentChunk, endOfStreamLine}, Incomplete, 1},
		{"chunk of another response", []string{contentChunk, foreignChunk, finishChunk, endOfStreamLine}, Mismatch, 1},
		{"nothing", nil, Incomplete, 0},
		{"event too long", []string{"data: " + strings.Repeat("x", 2<<20), finishChunk, endOfStreamLine}, Incomplete, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			out, f, got := readStream(strings.Join(tc.parts, "\n\n") + "\n\n")
			require.Len(t, got, tc.events)
			if tc.reason == "" {
				require.Nil(t, f)
				return
			}
			require.NotNil(t, f)
			require.Equal(t, tc.reason, f.Reason)
			require.Equal(t, ResponseStarted, f.Progress)
			_ = out
		})
	}
}

func TestUsageChunkIsRead(t *testing.T) {
	out, f, _ := readStream(strings.Join([]string{contentChunk, finishChunk, usageChunk, endOfStreamLine}, "\n\n") + "\n\n")
	require.Nil(t, f)
	require.Equal(t, Usage{Prompt: 3, Completion: 7}, out.Usage)
}

// Guards against a stream that counts as complete without a finish reason or without an event.
func FuzzStream(f *testing.F) {
	f.Add(contentChunk + "\n\n" + finishChunk + "\n\n" + endOfStreamLine + "\n\n")
	f.Add("data: \n\ndata: [DONE]\r\n")
	f.Fuzz(func(t *testing.T, body string) {
		_, failure, got := readStream(body)
		if failure == nil {
			require.Contains(t, body, "finish_reason")
			require.NotEmpty(t, got)
		}
	})
}

// Guards against negative counts from a malformed load header.
func FuzzLoad(f *testing.F) {
	f.Add("running=1,waiting=0,slots=64")
	f.Add("running=-1")
	f.Fuzz(func(t *testing.T, s string) {
		r := parseLoad(s)
		require.GreaterOrEqual(t, r.Running, 0)
		require.GreaterOrEqual(t, r.Waiting, 0)
		require.GreaterOrEqual(t, r.Slots, 0)
	})
}

// endlessBody repeats a text and counts the bytes that were read; it ends far above what a client may read.
type endlessBody struct {
	text string
	read int
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.read > 64<<20 {
		return 0, io.EOF
	}
	n := 0
	for n < len(p) {
		n += copy(p[n:], b.text[(b.read+n)%len(b.text):])
	}
	b.read += n
	return n, nil
}

func (*endlessBody) Close() error { return nil }

// bodyTransport responds to every request with a body.
type bodyTransport struct{ body io.ReadCloser }

func (b bodyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"X-Request-Id": {r.Header.Get("X-Request-Id")}}, Body: b.body}, nil
}

// Guards against a stream without chunks that is read for as long as the engine sends.
func TestStreamWithoutChunksFails(t *testing.T) {
	for _, text := range []string{"x", ": ping\n", "\n", "event: x\n\n"} {
		body := &endlessBody{text: text}
		c := &Client{transport: bodyTransport{body}, maxResponseBytes: 1 << 20, stallTimeout: time.Minute}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, f := c.Stream(ctx, Call{Address: "x", AttemptID: "a"}, &recordingSink{})
		require.NotNil(t, f)
		require.NoError(t, ctx.Err(), "%q", text)
		require.Equal(t, Incomplete, f.Reason)
		require.LessOrEqual(t, body.read, 2*maxEventBytes)
		cancel()
	}
}

// Guards against a header without end that is kept in memory; net/http would read 10 MiB of it.
func TestResponseHeaderWithoutEndFails(t *testing.T) {
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	sent := make(chan int, 1)
	go func() {
		defer server.Close()
		n := 0
		if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
			n, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("x", 1<<20))
		}
		sent <- n
	}()
	c := New(func(context.Context, string, string) (net.Conn, error) { return client, nil }, 1<<20, time.Minute)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, f := c.Complete(ctx, Call{Address: "x", AttemptID: "a"})
	require.NotNil(t, f)
	require.NoError(t, ctx.Err())
	require.LessOrEqual(t, <-sent, MaxHeaderBytes+64<<10)
}
