package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pollencourse/pollencourse/internal/back/registry"
)

// Attempt is one sending of a request to a server.
type Attempt struct {
	Request *Request
	Server  registry.Server
	// Timeout is the time that the server may take.
	Timeout time.Duration
	// Model is the model chosen; empty keeps what the caller named.
	Model string
	// LastEventID is the ID of the event after which the stream goes on; empty starts it.
	LastEventID string
}

// Response is a server's response with its body still to be read.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// NotRun is the server's own word that it did not run the request.
	NotRun bool
	// Signed is true if the answer carries a server's signature.
	Signed bool
	// Confidence is the model's own rough opinion of the answer from 0 to 100; -1 if it gave none.
	Confidence int
}

// Reason says why an attempt gave no answer.
type Reason string

// The reasons of failed attempts.
const (
	ConnectFailed  Reason = "unreached"
	Truncated      Reason = "cut"
	Malformed      Reason = "malformed"
	WrongRequestID Reason = "foreign"
	Cancelled      Reason = "cancelled"
	TimedOut       Reason = "timedOut"
	Stalled        Reason = "stalled"
)

// Failure is an attempt without an answer.
type Failure struct {
	Reason Reason
	// Sent is false only if not a byte of the request left.
	Sent bool
	Err  error
}

// Error formats the reason, how far the attempt came and the cause.
func (f *Failure) Error() string {
	return fmt.Sprintf("attempt %s (sent %t): %v", f.Reason, f.Sent, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Upstream sends attempts to servers.
type Upstream interface {
	// Send returns the head of the answer; the attempt ends when ctx does or the body is closed.
	Send(ctx context.Context, a Attempt) (*Response, *Failure)
}
