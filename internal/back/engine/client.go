package engine

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollencourse/pollencourse/internal/decide/balance"
)

// Headers between daemons and engines; X-Request-Id identifies an attempt, not the caller's request.
const (
	attemptIDHeader = "X-Request-Id"
	requestIDHeader = "Pollencourse-Request-Id"
	// loadHeader holds the engine's load as running=N,waiting=N,slots=N.
	loadHeader = "X-Engine-Load"
	// leavingHeader is set on refusals of an engine that is shutting down.
	leavingHeader = "X-Engine-Leaving"
	// resumeHeader holds the number of chunks after which the engine resumes a stream.
	resumeHeader = "Last-Event-Id"
)

// Call is one attempt to be sent to one engine.
type Call struct {
	Address   string
	AttemptID string
	RequestID string
	Body      []byte
	// ResumeAfter is the number of chunks that an earlier attempt received; 0 starts a new stream.
	ResumeAfter int
	// OnLoad, if set, is called with the engine's load when the response header arrives.
	OnLoad func(balance.LoadReport)
}

// Client sends attempts to engines.
type Client struct {
	transport        http.RoundTripper
	maxResponseBytes int
	stallTimeout     time.Duration
}

const (
	maxIdleConnsPerHost = 256
	idleConnTimeout     = 90 * time.Second
	dialTimeout         = 2 * time.Second
	// MaxHeaderBytes bounds the header of a response of an engine or service.
	MaxHeaderBytes = 64 << 10
)

// New returns a client that reads responses of at most maxResponseBytes and cancels a stream that pauses for longer than stallTimeout.
func New(dial DialContext, maxResponseBytes int, stallTimeout time.Duration) *Client {
	return &Client{
		transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleConnTimeout,
			DisableCompression: true, ReadBufferSize: 32 << 10, MaxResponseHeaderBytes: MaxHeaderBytes,
		},
		maxResponseBytes: maxResponseBytes, stallTimeout: stallTimeout,
	}
}

// openResponse is an engine's response with its body still to be read.
type openResponse struct {
	resp *http.Response
	load balance.LoadReport
}

// send sends an attempt and checks the status and the header of the response.
func (c *Client) send(ctx context.Context, call Call) (*openResponse, *Failure) {
	var sent, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		sent.Store(true)
		reused.Store(info.Reused)
	}}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost,
		"http://"+call.Address+"/v1/chat/completions", bytes.NewReader(call.Body))
	if err != nil {
		return nil, &Failure{Reason: NoConnection, Cause: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(attemptIDHeader, call.AttemptID)
	req.Header.Set(requestIDHeader, call.RequestID)
	if call.ResumeAfter > 0 {
		req.Header.Set(resumeHeader, strconv.Itoa(call.ResumeAfter))
	}
	// Keeps the transport from resending the request; only the router retries.
	req.GetBody = nil
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, sendFailure(ctx, err, sent.Load())
	}
	return checkHeader(resp, call, reused.Load())
}

func sendFailure(ctx context.Context, err error, sent bool) *Failure {
	f := &Failure{Reason: NoConnection, Cause: err}
	if sent {
		f.Progress, f.Reason = PossiblyDelivered, Incomplete
	}
	if ctx.Err() != nil {
		f.Reason = Cancelled
	}
	return f
}

// checkHeader checks the attempt ID and the status of a response.
//
// On a reused connection a response without the attempt's ID may be an earlier one that the engine wrote once more, so
// that it says nothing about this attempt. On a new connection a failure may lack the ID.
func checkHeader(resp *http.Response, call Call, reused bool) (*openResponse, *Failure) {
	opened := &openResponse{resp: resp, load: parseLoad(resp.Header.Get(loadHeader))}
	got := resp.Header.Get(attemptIDHeader)
	if got != call.AttemptID && (got != "" || reused || resp.StatusCode == http.StatusOK) {
		_ = resp.Body.Close()
		return opened, &Failure{Progress: ResponseStarted, Reason: Mismatch, Cause: errors.Newf("response carries attempt ID %q", got)}
	}
	if call.OnLoad != nil && opened.load.Slots > 0 {
		call.OnLoad(opened.load)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		f := &Failure{Progress: PossiblyDelivered, Reason: BadStatus, Status: resp.StatusCode}
		if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
			f.Reason = Refused
			f.Leaving = resp.Header.Get(leavingHeader) != ""
		}
		return opened, f
	}
	return opened, nil
}

// parseLoad reads a load such as "running=1,waiting=0,slots=64"; it returns an empty report for a malformed one.
func parseLoad(s string) balance.LoadReport {
	var r balance.LoadReport
	if s == "" {
		return r
	}
	for field := range strings.SplitSeq(s, ",") {
		k, v, _ := strings.Cut(field, "=")
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 {
			return balance.LoadReport{}
		}
		switch k {
		case "running":
			r.Running = n
		case "waiting":
			r.Waiting = n
		case "slots":
			r.Slots = n
		}
	}
	r.At = time.Now()
	return r
}

// Order tells an engine to serve exactly the given versions and to unload all others.
type Order struct {
	Fencing int64    `json:"fencing"`
	Serves  []string `json:"serves"`
}

// SendOrder sends an encoded [Order]; it returns [ErrFenced] if the engine rejects its fencing number.
func (c *Client) SendOrder(ctx context.Context, address string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.GetBody = nil
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return ErrFenced
	default:
		return fmt.Errorf("engine responded with status %s", resp.Status)
	}
}

// ErrFenced is returned if an engine rejects an order with an old fencing number.
var ErrFenced = errors.New("engine rejected an old fencing number")
