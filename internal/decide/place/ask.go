package place

import "time"

// Candidate is a server that may take an attempt.
type Candidate struct {
	ID string
	// Born tells the incarnations of a server that starts again under its ID.
	Incarnation             int64
	AvailabilityZone string
	Region           string
	Slots            int
}

// Part is a piece of a prompt with its length in tokens.
type PromptPart struct {
	ID     string
	Tokens int
}

// Ask is what an attempt needs.
type Query struct {
	Candidates []Candidate
	// Class groups attempts that take alike: the service and the model.
	Class string
	// Parts are the pieces of the prompt in order; the last is the request's own.
	PromptParts []PromptPart
	// Tokens is the length of the prompt; 0 for a plain call.
	PromptTokens int
	// Objective is the time in which the first piece should be there.
	TargetLatency time.Duration
	// Avoid lists servers that already failed this request.
	Avoid []string
}

// Ticket is the place that an attempt holds until it is released.
type Reservation struct {
	ServerID    string
	class string
	// work is the attempt's own expected time, ahead what waited before it; seconds.
	work  float64
	ahead float64
	// units is the size of the attempt: tokens to read, or 1 for a plain call.
	units    float64
	answered bool
	// order is the place among the attempts at the server, overtaken counts later ones that were answered before.
	order     int64
	overtaken int
}

// Expected is the time to the first piece of the answer that was expected when the server was chosen.
func (t *Reservation) ExpectedTimeToFirstChunk() time.Duration {
	return time.Duration((t.ahead + t.work) * float64(time.Second))
}

// Outcome is how an attempt ended, as the placement needs it.
type Outcome int

// The outcomes of an attempt.
const (
	// Fine is an answer, whatever its status.
	Success Outcome = iota
	// Refused is a server's own word that it did not run the request.
	Refused
	// Failed is an answer that says that the server failed.
	Failed
	// Broken is a connection that could not be opened or that broke.
	ConnectionFailed
	// Ignored says nothing of the server, as when the caller left.
	Ignored
)
