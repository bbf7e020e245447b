package warmup

import "time"

// Server is what the entry of a server states.
type Server struct {
	ID               string
	Service          string
	AvailabilityZone string
	// Born tells the starts of a server apart.
	Born int64
	// ColdRemaining is how long the server is still cold from the moment that the entry is read.
	ColdRemaining time.Duration
}

// Reason says why a server counts as cold; its values appear in logs.
type Reason string

// The reasons that follow from the entry of a server.
const (
	StatedByEntry Reason = "entry"
	Appeared      Reason = "appeared"
)

// server is what this daemon knows of a server. The times are kept instead of the end of the warm-up, because a policy may
// come into force after the entries were read.
type server struct {
	Server
	entryColdUntil time.Time
	// appearedAt is when the entry appeared or had a new start; zero if the first list had it.
	appearedAt time.Time
	// failed is true from a failure until the first success, which was at recoveredAt.
	failed      bool
	failedAt    time.Time
	recoveredAt time.Time
	// nextTake is when a sender has its next allowance, probeAt when a daemon that is no sender tries a failed server.
	nextTake time.Time
	probeAt  time.Time

	senders senderSet
}

// coldUntil returns when the server stops being cold, if it does not fail again.
func (s *server) coldUntil(opts Options) time.Time {
	warmup := opts.Policy(s.Service).Warmup
	until := s.entryColdUntil
	for _, start := range []time.Time{s.appearedAt, s.recoveredAt, s.reopenedAt(opts)} {
		if !start.IsZero() {
			until = later(until, start.Add(warmup))
		}
	}
	return until
}

func (s *server) reopenedAt(opts Options) time.Time {
	if opts.ReopenedAt == nil {
		return time.Time{}
	}
	return opts.ReopenedAt(s.AvailabilityZone)
}

// limited reports whether the server is cold or may be.
func (s *server) limited(opts Options, now time.Time) bool {
	return opts.Policy(s.Service).Enabled() && (s.failed || now.Before(s.coldUntil(opts)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
