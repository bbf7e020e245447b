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
	// RetryAfter is how long the caller should wait before it sends the request again; 0 if unknown.
	RetryAfter time.Duration
}

// New returns an error of the given kind with the outcome NotRun; remedy tells the reader what to do.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Outcome: NotRun, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// WithCause sets the underlying error and returns e.
func (e *Error) WithCause(err error) *Error {
	e.Cause = err
	return e
}

// WithOutcome sets the outcome of the request and returns e.
func (e *Error) WithOutcome(o Outcome) *Error {
	e.Outcome = o
	return e
}

// WithRetryAfter sets how long the caller should wait before it sends the request again, and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error formats the message, the cause and the remedy, on one line unless the message or the cause has several.
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

// As returns the first [Error] in err's chain. If there is none, it wraps err as Internal with an unknown outcome.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "report this with the daemon's dump", "internal error").WithCause(err).WithOutcome(Unknown)
}
