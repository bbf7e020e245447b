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
	attemptIDHeader = "X-Request-Id"
	requestIDHeader = "Pollencourse-Request-Id"
)

// Call is one attempt to be sent to one server of a service.
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

// Response is a complete response.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client sends each call to a service on a new connection.
type Client struct {
	transport        http.RoundTripper
	maxResponseBytes int
}

// New returns a client that reads responses of at most maxResponseBytes.
func New(dial engine.DialContext, maxResponseBytes int) *Client {
	return &Client{
		transport: &http.Transport{
			DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: engine.MaxHeaderBytes,
		},
		maxResponseBytes: maxResponseBytes,
	}
}

// Do sends one call and reads the complete response.
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
	req.Header.Set(attemptIDHeader, call.AttemptID)
	req.Header.Set(requestIDHeader, call.RequestID)
	// Keeps the transport from resending the request; only the router retries.
	req.GetBody = nil
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, sendFailure(ctx, err, sent.Load())
	}
	defer resp.Body.Close()
	return c.readResponse(ctx, resp, call)
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

func (c *Client) readResponse(ctx context.Context, resp *http.Response, call Call) (*Response, *engine.Failure) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(c.maxResponseBytes)+1))
	got := resp.Header.Get(attemptIDHeader)
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, &engine.Failure{Progress: engine.ResponseStarted, Reason: engine.Cancelled, Cause: err}
	case err != nil:
		return nil, &engine.Failure{Progress: engine.ResponseStarted, Reason: engine.Incomplete, Cause: err}
	case len(body) > c.maxResponseBytes:
		return nil, &engine.Failure{Progress: engine.ResponseStarted, Reason: engine.TooLarge}
	case got != "" && got != call.AttemptID:
		return nil, &engine.Failure{Progress: engine.ResponseStarted, Reason: engine.Mismatch, Cause: errors.Newf("response carries attempt ID %q", got)}
	case resp.StatusCode == http.StatusServiceUnavailable && call.Idempotent:
		return nil, &engine.Failure{Progress: engine.PossiblyDelivered, Reason: engine.Refused, Status: resp.StatusCode}
	}
	return &Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
