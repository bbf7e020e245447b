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

// Headers between the daemon and the engines.
const (
	attemptHeader = "X-Request-Id"
	requestHeader = "Pollencourse-Request-Id"
	loadHeader    = "X-Engine-Load"
	leavingHeader = "X-Engine-Leaving"
	resumeHeader  = "Last-Event-Id"
)

// Call is one attempt at one engine.
type Call struct {
	Address   string
	AttemptID string
	RequestID string
	Body      []byte
	// ResumeAfter is the number of stream chunks already received from an earlier connection.
	ResumeAfter int
	// OnLoad, if set, gets the engine's load as soon as the head of the answer arrives.
	OnLoad func(balance.Report)
}

// Client sends attempts to engines.
type Client struct {
	transport http.RoundTripper
	maxBytes  int
	stall     time.Duration
}

const (
	idlePerHost = 256
	idleTime    = 90 * time.Second
	dialTime    = 2 * time.Second
)

// New returns a client that reads answers of at most maxBytes and gives up on a stream that pauses for stall.
func New(dial DialContext, maxBytes int, stall time.Duration) *Client {
	return &Client{
		transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTime,
			DisableCompression: true, ReadBufferSize: 32 << 10,
		},
		maxBytes: maxBytes, stall: stall,
	}
}

// answer is an engine's answer whose body is yet to be read.
type answer struct {
	resp *http.Response
	load balance.Report
}

// open sends an attempt and checks the head of the answer.
func (c *Client) open(ctx context.Context, call Call) (*answer, *Failure) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost,
		"http://"+call.Address+"/v1/chat/completions", bytes.NewReader(call.Body))
	if err != nil {
		return nil, &Failure{Reason: NoConnection, Cause: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(attemptHeader, call.AttemptID)
	req.Header.Set(requestHeader, call.RequestID)
	if call.ResumeAfter > 0 {
		req.Header.Set(resumeHeader, strconv.Itoa(call.ResumeAfter))
	}
	// Without GetBody the transport does not resend; every try is the router's own.
	req.GetBody = nil
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, failedSend(ctx, err, sent.Load())
	}
	return checkHead(resp, call)
}

func failedSend(ctx context.Context, err error, sent bool) *Failure {
	f := &Failure{Reason: NoConnection, Cause: err}
	if sent {
		f.Progress, f.Reason = PossiblyDelivered, Incomplete
	}
	if ctx.Err() != nil {
		f.Reason = Cancelled
	}
	return f
}

func checkHead(resp *http.Response, call Call) (*answer, *Failure) {
	a := &answer{resp: resp, load: parseLoad(resp.Header.Get(loadHeader))}
	if call.OnLoad != nil && a.load.Slots > 0 {
		call.OnLoad(a.load)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		f := &Failure{Progress: PossiblyDelivered, Reason: BadStatus, Status: resp.StatusCode}
		if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
			f.Reason = Refused
			f.Leaving = resp.Header.Get(leavingHeader) != ""
		}
		return a, f
	}
	if got := resp.Header.Get(attemptHeader); got != call.AttemptID {
		_ = resp.Body.Close()
		return a, &Failure{Progress: ResponseStarted, Reason: Mismatch, Cause: errors.Newf("answer to attempt %q", got)}
	}
	return a, nil
}

// parseLoad reads "running=1,waiting=0,slots=64".
func parseLoad(s string) balance.Report {
	var r balance.Report
	if s == "" {
		return r
	}
	for field := range strings.SplitSeq(s, ",") {
		k, v, _ := strings.Cut(field, "=")
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 {
			return balance.Report{}
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

// Order is an absolute order to load these versions and no others.
type Order struct {
	Fencing int64    `json:"fencing"`
	Serves  []string `json:"serves"`
}

// SendOrder sends an order; a refusal for an old fencing number is ErrFenced.
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
		return fmt.Errorf("engine answered %s", resp.Status)
	}
}

// ErrFenced is an engine's refusal of an order with an old fencing number.
var ErrFenced = errors.New("engine refused an old fencing number")
