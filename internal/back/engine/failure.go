package engine

import "fmt"

// Progress says how far an attempt came.
type Progress int

// The states of an attempt, in order.
const (
	// Unsent means that no byte can have reached the backend server.
	Unsent Progress = iota
	// PossiblyDelivered means that the request may have reached the backend server.
	PossiblyDelivered
	// ResponseStarted means that a part of the answer was received.
	ResponseStarted
)

// Reason says why an attempt failed.
type Reason string

// The reasons for a failed attempt.
const (
	NoConnection Reason = "noConnection"
	Refused      Reason = "refused"
	Mismatch     Reason = "mismatch"
	Incomplete   Reason = "incomplete"
	Stalled      Reason = "stalled"
	TooLarge     Reason = "tooLarge"
	BadStatus    Reason = "badStatus"
	Cancelled    Reason = "cancelled"
)

// Failure is a failed attempt.
type Failure struct {
	Progress Progress
	Reason   Reason
	Status   int
	Leaving  bool
	Cause    error
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
