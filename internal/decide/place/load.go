package place

import "time"

// Outcome is how an attempt ended, as the placement needs it.
type Outcome int

// The outcomes of an attempt.
const (
	// Fine is an answer, whatever its status.
	Fine Outcome = iota
	// Refused is a server's own word that it did not run the request.
	Refused
	// Failed is an answer that says that the server failed.
	Failed
	// Broken is a connection that could not be opened or that broke.
	Broken
	// Ignored says nothing of the server, as when the caller left.
	Ignored
)

const (
	firstAside = 200 * time.Millisecond
	maxAside   = 3 * time.Second
	// smoothing is the weight of the newest attempt in the share of failures.
	smoothing = 0.12
	// aside is what a server costs while it is set aside: it is used only if all are.
	aside = 20.0
)

// load is what this daemon knows of one server.
type load struct {
	born     int64
	inFlight int
	work     float64
	// failed is the smoothed share of attempts that failed.
	failed float64
	inRow  int
	until  time.Time
}

func (s *load) score(cand Candidate, now time.Time) float64 {
	score := (s.work+float64(s.inFlight))/2/float64(max(1, cand.Slots)) + failing*s.failed*s.failed
	if now.Before(s.until) {
		score += aside
	}
	return score
}

// settle takes the end of an attempt into account.
func (s *load) settle(o Outcome, now time.Time) {
	switch o {
	case Fine:
		s.inRow = 0
		s.until = time.Time{}
		s.failed -= smoothing * s.failed
	case Refused:
		s.until = now.Add(firstAside)
	case Failed:
		s.failed += smoothing * (1 - s.failed)
	case Broken:
		s.failed += smoothing * (1 - s.failed)
		s.until = now.Add(min(firstAside<<min(s.inRow, 5), maxAside))
		s.inRow++
	}
}
