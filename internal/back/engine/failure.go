package engine

import "fmt"

// Progress says how far an attempt got before it failed.
type Progress int

// The values of Progress, in order.
const (
	// Unsent means that no byte can have reached the backend server.
	Unsent Progress = iota
	// PossiblyDelivered means that the request may have reached the backend server.
	PossiblyDelivered
	// ResponseStarted means that at least a part of the response was received.
	ResponseStarted
)

// Reason says why an attempt failed.
type Reason string

// The reasons for a failed attempt.
const (
	NoConnection Reason = "noConnection"
	// Refused means that the server responded that it is overloaded or unavailable.
	Refused Reason = "refused"
	// Mismatch means that the response, or a chunk of it, belongs to another attempt or response.
	Mismatch Reason = "mismatch"
	// Incomplete means that the response was truncated or broke the protocol.
	Incomplete Reason = "incomplete"
	// Stalled means that the stream paused for longer than the client's stall timeout.
	Stalled   Reason = "stalled"
	TooLarge  Reason = "tooLarge"
	BadStatus Reason = "badStatus"
	Cancelled Reason = "cancelled"
)

// Failure describes a failed attempt.
type Failure struct {
	Progress Progress
	Reason   Reason
	Status   int
	// Leaving is true if the server refused the attempt because it is shutting down.
	Leaving bool
	Cause   error
}

// Error formats the reason, the status and the cause.
func (f *Failure) Error() string {
	s := "attempt failed: " + string(f.Reason)
	if f.Status != 0 {
		s += fmt.Sprintf(" (status %d)", f.Status)
	}
	if f.Cause != nil {
		s += ": " + f.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }
