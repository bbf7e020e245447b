package forward

import (
	"net/http"
	"time"

	"github.com/pollencourse/pollencourse/internal/config/routing"
	"github.com/pollencourse/pollencourse/internal/decide/place"
)

// Prompt is what a caller tells of a model request.
type Prompt struct {
	// Model is the model that the caller names; empty if the choice is the router's.
	Model string
	// Parts are the pieces of the prompt in order; the last is the request's or the session's own.
	Parts []place.PromptPart
	// TokensIn is the length of the prompt; TokensOut bounds the answer.
	TokensIn  int
	TokensOut int
}

// Request is one caller's attempt, read whole.
type Request struct {
	ID     string
	Method string
	// Target is the path and query as sent.
	Target string
	Host   string
	// Header holds the fields to pass on.
	Header  http.Header
	Body    []byte
	Route   *routing.Route
	Service string
	// Account is the client account of the caller's key; empty on public routes.
	Account  string
	Priority int
	// Revision is that of the configuration by which the request is handled.
	Revision int64
	Arrived  time.Time
	// Deadline is when the caller or the route's time-out ends the wait.
	Deadline time.Time
	Prompt   Prompt
	// Session names requests that belong together; empty for none.
	Session string
	// LastEvent is the ID of the last event that the caller has of an earlier stream.
	LastEvent string
}
