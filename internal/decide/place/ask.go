package place

import (
	"slices"
	"time"
)

// Candidate is a server that may take an attempt.
type Candidate struct {
	ID string
	// Incarnation tells apart the runs of a server that restarts under the same ID.
	Incarnation      int64
	AvailabilityZone string
	Region           string
	Slots            int
}

// PromptPart is a section of a prompt that a server may have cached.
type PromptPart struct {
	ID     string
	Tokens int
}

// Query describes an attempt and the servers that may take it.
type Query struct {
	Candidates []Candidate
	// Class groups attempts with similar processing times: the service and the model.
	Class string
	// PromptParts are in prompt order; the last one is unique to the request.
	PromptParts []PromptPart
	// PromptTokens is the length of the prompt; 0 for a call of a plain service.
	PromptTokens int
	// TargetLatency is the desired time to first chunk.
	TargetLatency time.Duration
	// Avoid lists servers on which the request already failed.
	Avoid []string
}

func (q *Query) avoids(cand Candidate) bool { return slices.Contains(q.Avoid, cand.ID) }

// Reservation is what an attempt holds at a server until it is released.
type Reservation struct {
	ServerID string
	class    string
	// workSeconds is the expected time of the attempt itself, aheadSeconds that of the work queued before it.
	workSeconds  float64
	aheadSeconds float64
	// units is the size of the attempt: uncached prompt tokens, or 1 for a call of a plain service.
	units float64
	// dequeued is true once the attempt no longer counts as queued work: after its first chunk or its release.
	dequeued bool
	// sequence numbers the attempts at the server; overtaken counts later ones whose first chunk came before.
	sequence  int64
	overtaken int
}

// ExpectedTimeToFirstChunk is the time to first chunk that was expected when the server was chosen.
func (r *Reservation) ExpectedTimeToFirstChunk() time.Duration {
	return time.Duration((r.aheadSeconds + r.workSeconds) * float64(time.Second))
}

// Outcome classifies the end of an attempt for the choice of servers.
type Outcome int

// The outcomes of an attempt.
const (
	// Success is a response that shows no failure of the server; it may report an error of the caller.
	Success Outcome = iota
	// Refused is a response by which the server states that it did not run the request.
	Refused
	// Failed is a response that shows a failure of the server.
	Failed
	// ConnectionFailed is a connection that could not be opened, that broke, or that reached another server.
	ConnectionFailed
	// Ignored says nothing about the server, for example when the caller disconnected.
	Ignored
)
