package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fixed answers every request with one body.
type fixed struct{ body []byte }

func (f fixed) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"X-Request-Id": {r.Header.Get("X-Request-Id")}},
		Body: io.NopCloser(bytes.NewReader(f.body)),
	}, nil
}

// lines collects the events that are passed on.
type lines struct{ got []string }

func (l *lines) Event(line []byte) error {
	l.got = append(l.got, string(line))
	return nil
}

func (l *lines) Flush() error { return nil }

func streamOf(body string) (*StreamResult, *Failure, []string) {
	c := &Client{transport: fixed{[]byte(body)}, maxBytes: 1 << 20, stall: time.Minute}
	sink := &lines{}
	out, f := c.Stream(context.Background(), Call{Address: "x", AttemptID: "a"}, sink)
	return out, f, sink.got
}

const (
	piece  = `data: {"id":"1","choices":[{"delta":{"content":"x"},"finish_reason":null}]}`
	finish = `data: {"id":"1","choices":[{"delta":{},"finish_reason":"stop"}]}`
	other  = `data: {"id":"2","choices":[{"delta":{"content":"x"},"finish_reason":null}]}`
	count  = `data: {"id":"1","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":7}}`
	done   = "data: [DONE]"
)

func TestAStreamIsWholeOnlyIfTheProtocolSaysSo(t *testing.T) {
	for _, tc := range []struct {
		name   string
		parts  []string
		reason Reason
		events int
	}{
		{"whole", []string{piece, finish, count, done}, "", 3},
		{"comments and other fields", []string{": ping", "event: x", piece, finish, done}, "", 2},
		{"closed early", []string{piece, piece}, Incomplete, 2},
		{"closed after the finish reason", []string{piece, finish}, Incomplete, 2},
		{"end mark without a finish reason", []string{piece, done}, Incomplete, 1},
		{"chunk of another answer", []string{piece, other, finish, done}, Mismatch, 1},
		{"nothing", nil, Incomplete, 0},
		{"event too long", []string{"data: " + strings.Repeat("x", 2<<20), finish, done}, Incomplete, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			out, f, got := streamOf(strings.Join(tc.parts, "\n\n") + "\n\n")
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

func TestTheUsageChunkIsRead(t *testing.T) {
	out, f, _ := streamOf(strings.Join([]string{piece, finish, count, done}, "\n\n") + "\n\n")
	require.Nil(t, f)
	require.Equal(t, Usage{Prompt: 3, Completion: 7}, out.Usage)
}

func FuzzStream(f *testing.F) {
	f.Add(piece + "\n\n" + finish + "\n\n" + done + "\n\n")
	f.Add("data: \n\ndata: [DONE]\r\n")
	f.Fuzz(func(t *testing.T, body string) {
		_, failure, got := streamOf(body)
		if failure == nil {
			require.Contains(t, body, "finish_reason")
			require.NotEmpty(t, got)
		}
	})
}

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
