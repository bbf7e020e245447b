package fault

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is an error with a kind, a remedy and the outcome of the request.
type Error struct {
	Kind    Kind
	Outcome Outcome
	Message string
	Remedy  string
	Cause   error
	// RetryAfter is when the caller may try again; 0 if nothing is known.
	RetryAfter time.Duration
}

// New returns an error of the given kind whose remedy the reader can follow.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Outcome: NotRun, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// WithCause returns e with the underlying error attached.
func (e *Error) WithCause(err error) *Error {
	e.Cause = err
	return e
}

// WithOutcome returns e with the outcome of the request set.
func (e *Error) WithOutcome(o Outcome) *Error {
	e.Outcome = o
	return e
}

// WithRetryAfter returns e with the time after which the caller may try again.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error formats the message, its cause and the remedy on one line.
func (e *Error) Error() string {
	s := e.Message
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	switch {
	case e.Remedy == "":
		return s
	case strings.Contains(s, "\n"):
		return s + "\n" + e.Remedy
	default:
		return s + " (" + e.Remedy + ")"
	}
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of the first [Error] in err's chain, or Internal.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// As returns the first [Error] in err's chain, wrapping err as Internal if there is none.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "report this with the daemon's dump", "internal error").WithCause(err).WithOutcome(Unknown)
}
