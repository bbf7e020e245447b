package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/pollencourse/pollencourse/internal/back/engine"
)

const (
	attemptHeader = "X-Request-Id"
	requestHeader = "Pollencourse-Request-Id"
	idlePerHost   = 64
)

// Call is one attempt at one server of a service.
type Call struct {
	Address     string
	Method      string
	Path        string
	ContentType string
	AttemptID   string
	RequestID   string
	Body        []byte
	Idempotent  bool
}

// Response is a whole answer.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client sends calls to services.
type Client struct {
	kept     http.RoundTripper
	single   http.RoundTripper
	maxBytes int
}

// New returns a client that reads answers of at most maxBytes.
func New(dial engine.DialContext, maxBytes int) *Client {
	return &Client{
		kept:     &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idlePerHost, DisableCompression: true},
		single:   &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
		maxBytes: maxBytes,
	}
}

// Do sends one call and reads its whole answer.
func (c *Client) Do(ctx context.Context, call Call) (*Response, *engine.Failure) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method,
		"http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, &engine.Failure{Reason: engine.NoConnection, Cause: err}
	}
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	req.Header.Set(attemptHeader, call.AttemptID)
	req.Header.Set(requestHeader, call.RequestID)
	req.GetBody = nil
	resp, err := c.transport(call).RoundTrip(req)
	if err != nil {
		return nil, sendFailure(ctx, err, sent.Load())
	}
	defer resp.Body.Close()
	return c.read(ctx, resp, call)
}

func (c *Client) transport(call Call) http.RoundTripper {
	if call.Idempotent {
		return c.kept
	}
	return c.single
}

func sendFailure(ctx context.Context, err error, sent bool) *engine.Failure {
	f := &engine.Failure{Reason: engine.NoConnection, Cause: err}
	if sent {
		f.Progress, f.Reason = engine.PossiblyDelivered, engine.Incomplete
	}
	if ctx.Err() != nil {
		f.Reason = engine.Cancelled
	}
	return f
}

func (c *Client) read(ctx context.Context, resp *http.Response, call Call) (*Response, *engine.Failure) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(c.maxBytes)+1))
	got := resp.Header.Get(attemptHeader)
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, &engine.Failure{Progress: engine.ResponseStarted, Reason: engine.Cancelled, Cause: err}
	case err != nil:
		return nil, &engine.Failure{Progress: engine.ResponseStarted, Reason: engine.Incomplete, Cause: err}
	case len(body) > c.maxBytes:
		return nil, &engine.Failure{Progress: engine.ResponseStarted, Reason: engine.TooLarge}
	case got != "" && got != call.AttemptID:
		return nil, &engine.Failure{Progress: engine.ResponseStarted, Reason: engine.Mismatch, Cause: errors.Newf("answer to attempt %q", got)}
	case resp.StatusCode == http.StatusServiceUnavailable && call.Idempotent:
		return nil, &engine.Failure{Progress: engine.PossiblyDelivered, Reason: engine.Refused, Status: resp.StatusCode}
	}
	return &Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
