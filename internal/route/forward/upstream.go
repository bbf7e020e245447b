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
	// Model is the chosen model; empty keeps the one that the caller named.
	Model string
	// LastEventID is the ID of the event after which the server resumes the stream; empty starts a new one.
	LastEventID string
}

// Response is a server's response with its body still to be read.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// NotRun is true if the server reports that it did not run the request.
	NotRun bool
	// Framed is true if the response states where it ends; otherwise only the end of its connection does.
	Framed bool
	// Signed is true if the response carries a server's signature.
	Signed bool
	// Confidence is the model's own estimate of its answer's quality from 0 to 100; -1 if it gave none.
	Confidence int
	// Leaving is true if the server says that it is shutting down.
	Leaving bool
	// RetryAfter is how long a server that refused the request wants no further ones; 0 if it does not say.
	RetryAfter time.Duration
	// Unreadable lists the header fields that could not be read.
	Unreadable []string
}

// Reason says why an attempt returned no complete response.
type Reason string

// The reasons of failed attempts; their values appear in logs. Withdrawn means that a part of the prompt was quarantined.
const (
	ConnectFailed  Reason = "unreached"
	Truncated      Reason = "cut"
	Malformed      Reason = "malformed"
	WrongRequestID Reason = "foreign"
	Cancelled      Reason = "cancelled"
	TimedOut       Reason = "timedOut"
	Stalled        Reason = "stalled"
	Withdrawn      Reason = "withdrawn"
)

// Failure describes an attempt without a complete response.
type Failure struct {
	Reason Reason
	// Sent is false only if no byte of the request was sent.
	Sent bool
	// AnswerBegan is when the first byte of a response arrived, if no complete header followed; zero otherwise.
	AnswerBegan time.Time
	Err         error
}

// Error formats the reason, whether the request was sent, and the cause.
func (f *Failure) Error() string {
	return fmt.Sprintf("attempt %s (sent %t): %v", f.Reason, f.Sent, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Upstream sends attempts to servers.
type Upstream interface {
	// Send returns the response once its headers are received; the attempt ends when ctx does or the body is closed.
	Send(ctx context.Context, a Attempt) (*Response, *Failure)
}
