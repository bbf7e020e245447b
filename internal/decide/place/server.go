package place

import (
	"math"
	"time"
)

const (
	firstAside = 200 * time.Millisecond
	maxAside   = 3 * time.Second
	// aside is what a server costs while it is set aside, in seconds: it is used only if all are.
	aside = 1000.0
	// failureWeight is the weight of the newest attempt in the share of failures.
	failureWeight = 0.12
	// speedWeight is the weight of the newest answer in a server's speed.
	speedWeight = 0.15
	// speedNoise is how far the speed that is learned strays by chance, as a logarithm.
	speedNoise = 0.35
	// maxSlow bounds how slow a server is taken to be.
	maxSlow = 8.0
	// cacheLife is how long a part is taken to stay in a server's cache after its last use.
	cacheLife = 12 * time.Second
	// cacheSweep is the number of parts above which old ones are looked for.
	cacheSweep = 512
)

// server is what this daemon knows of one server.
type server struct {
	born int64
	// waiting is the expected time of attempts that have no answer yet, in seconds.
	waiting float64
	// running counts the attempts in flight.
	running int
	// sent counts all attempts; unanswered holds those without a piece of an answer.
	sent       int64
	unanswered map[*Reservation]struct{}
	// pieces counts the pieces of answers that came from here.
	pieces int64
	// slow is the logarithm of how many times longer than expected answers take here.
	slow float64
	// failed is the smoothed share of attempts that failed.
	failed float64
	inRow  int
	until  time.Time
	// parts holds when each part was last sent here, by class and part.
	parts map[string]time.Time
}

func newServer(born int64) *server {
	return &server{born: born, parts: map[string]time.Time{}, unanswered: map[*Reservation]struct{}{}}
}

// factor is how much longer than expected an attempt takes here; differences that a few answers can't tell from
// chance count as none.
func (s *server) factor() float64 {
	return math.Exp(math.Copysign(math.Max(0, math.Abs(s.slow)-speedNoise), s.slow))
}

// cached returns the tokens at the beginning of a prompt that were sent here of late.
func (s *server) cached(class string, parts []PromptPart, now time.Time) int {
	tokens := 0
	for _, p := range parts {
		if at, ok := s.parts[class+p.ID]; !ok || now.Sub(at) > cacheLife {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// remember notes the parts that others may share; the last one is the request's own.
func (s *server) remember(class string, parts []PromptPart, now time.Time) {
	for _, p := range parts[:max(0, len(parts)-1)] {
		s.parts[class+p.ID] = now
	}
	if len(s.parts) > cacheSweep {
		for k, at := range s.parts {
			if now.Sub(at) > cacheLife {
				delete(s.parts, k)
			}
		}
	}
}

// settle takes the end of an attempt into account.
func (s *server) settle(o Outcome, now time.Time) {
	switch o {
	case Success:
		s.inRow = 0
		s.until = time.Time{}
		s.failed -= failureWeight * s.failed
	case Refused:
		s.until = now.Add(firstAside)
	case Failed:
		s.failed += failureWeight * (1 - s.failed)
	case ConnectionFailed:
		s.failed += failureWeight * (1 - s.failed)
		s.until = now.Add(min(firstAside<<min(s.inRow, 5), maxAside))
		s.inRow++
	}
}

// learnSpeed compares the time that an answer took with what was expected, as a logarithm.
func (s *server) learnSpeed(ratio float64) {
	s.slow += speedWeight * (ratio - s.slow)
	s.slow = math.Max(-math.Log(maxSlow), math.Min(math.Log(maxSlow), s.slow))
}
