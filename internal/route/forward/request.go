package forward

import (
	"net/http"
	"time"

	"github.com/pollencourse/pollencourse/internal/config/routing"
	"github.com/pollencourse/pollencourse/internal/decide/place"
	"github.com/pollencourse/pollencourse/internal/decide/poison"
)

// Prompt describes the prompt of a model request as declared by the caller.
type Prompt struct {
	// Model is the model that the caller names; empty leaves the choice to the router.
	Model string
	// Parts are the parts of the prompt in order; only the last is specific to the request or session.
	Parts []place.PromptPart
	// InputTokens is the length of the prompt, MaxOutputTokens the bound on the answer's.
	InputTokens     int
	MaxOutputTokens int
}

// sharedParts returns the keys of the parts that other requests may share, which are all but the last one.
func (p *Prompt) sharedParts() []string {
	if len(p.Parts) < 2 {
		return nil
	}
	keys := make([]string, len(p.Parts)-1)
	for i := range keys {
		keys[i] = poison.PartKey(p.Parts[i].ID)
	}
	return keys
}

// suspectKeys returns the keys by which the quarantine knows a request: those of the parts that others may share, and that of
// its content.
func (r *Request) suspectKeys() []string {
	fields := []string{r.Service, r.Account, r.Method, r.Target, r.Prompt.Model}
	for _, p := range r.Prompt.Parts {
		fields = append(fields, p.ID)
	}
	return append(r.Prompt.sharedParts(), poison.ContentKey(fields, r.Body))
}

// Request is a caller's request with its body read completely.
type Request struct {
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header holds the fields to forward.
	Header  http.Header
	Body    []byte
	Route   *routing.Route
	Service string
	// Account is the client account of the caller's API key; empty on public routes.
	Account  string
	Priority int
	// Regions are the regions in which the request may be served.
	Regions routing.Regions
	// Revision is the revision of the configuration by which the request is handled.
	Revision int64
	Arrived  time.Time
	// Deadline is the earlier of the caller's deadline and the end of the route's timeout.
	Deadline time.Time
	Prompt   Prompt
	// Session is the ID of the request's session; empty for none.
	Session string
	// LastEventID is the ID of the last event that the caller received of an earlier stream.
	LastEventID string
}
