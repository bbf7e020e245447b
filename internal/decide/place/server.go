package place

import (
	"math"
	"time"
)

const (
	initialEjection = 200 * time.Millisecond
	maxEjection     = 3 * time.Second
	// ejectedPenaltySeconds is added to the score of an ejected server, so that it is used only if all are ejected.
	ejectedPenaltySeconds = 1000.0
	// failureSmoothing is the weight of the newest attempt in a server's failure share.
	failureSmoothing = 0.12
	// slowdownSmoothing is the weight of the newest response in a server's slowdown.
	slowdownSmoothing = 0.15
	// slowdownNoiseLog is the deviation of logSlowdown from 0, in either direction, that may be due to chance.
	slowdownNoiseLog = 0.35
	// maxSlowdown bounds the learned slowdown, and its inverse the learned speed-up.
	maxSlowdown = 8.0
	// promptCacheTTL is how long a prompt part is assumed to stay in a server's cache after its last use.
	promptCacheTTL = 12 * time.Second
	// promptCacheSweepSize is the number of recorded parts above which expired ones are removed.
	promptCacheSweepSize = 512
)

// server is this daemon's view of one server.
type server struct {
	incarnation int64
	// waitingSeconds is the expected time of the attempts without a first chunk.
	waitingSeconds float64
	inFlight       int
	// othersWaitingSeconds and othersInFlight are the same of the other daemons of the zone by their last reports.
	othersWaitingSeconds float64
	othersInFlight       float64
	// sent counts all attempts; awaitingFirstChunk holds those without a first chunk.
	sent               int64
	awaitingFirstChunk map[*Reservation]struct{}
	// chunks counts the response chunks received from the server.
	chunks int64
	// logSlowdown is the natural logarithm of the ratio of actual to expected time to first chunk.
	logSlowdown float64
	// failureShare is the smoothed share of attempts that failed.
	failureShare float64
	// connectionFailures counts connection failures since the last success.
	connectionFailures int
	ejectedUntil       time.Time
	// partSentAt holds when each prompt part was last sent to the server, by class and part ID.
	partSentAt map[string]time.Time
}

func newServer(incarnation int64) *server {
	return &server{incarnation: incarnation, partSentAt: map[string]time.Time{}, awaitingFirstChunk: map[*Reservation]struct{}{}}
}

// slowdown is the learned ratio of actual to expected time to first chunk; a ratio within the noise counts as 1.
func (s *server) slowdown() float64 {
	return math.Exp(math.Copysign(math.Max(0, math.Abs(s.logSlowdown)-slowdownNoiseLog), s.logSlowdown))
}

// cachedTokens returns the length of the prompt's beginning that the server has probably cached.
func (s *server) cachedTokens(class string, parts []PromptPart, now time.Time) int {
	tokens := 0
	for _, p := range parts {
		if at, ok := s.partSentAt[class+p.ID]; !ok || now.Sub(at) > promptCacheTTL {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// recordParts records the parts that other requests may share: all but the last one.
func (s *server) recordParts(class string, parts []PromptPart, now time.Time) {
	for _, p := range parts[:max(0, len(parts)-1)] {
		s.partSentAt[class+p.ID] = now
	}
	if len(s.partSentAt) > promptCacheSweepSize {
		for k, at := range s.partSentAt {
			if now.Sub(at) > promptCacheTTL {
				delete(s.partSentAt, k)
			}
		}
	}
}

func (s *server) recordOutcome(o Outcome, now time.Time) {
	switch o {
	case Success:
		s.connectionFailures = 0
		s.ejectedUntil = time.Time{}
		s.failureShare -= failureSmoothing * s.failureShare
	case Refused:
		s.ejectedUntil = now.Add(initialEjection)
	case Failed:
		s.failureShare += failureSmoothing * (1 - s.failureShare)
	case ConnectionFailed:
		s.failureShare += failureSmoothing * (1 - s.failureShare)
		s.ejectedUntil = now.Add(min(initialEjection<<min(s.connectionFailures, 5), maxEjection))
		s.connectionFailures++
	}
}

// updateSlowdown takes the natural logarithm of the ratio of actual to expected time to first chunk.
func (s *server) updateSlowdown(logRatio float64) {
	s.logSlowdown += slowdownSmoothing * (logRatio - s.logSlowdown)
	s.logSlowdown = math.Max(-math.Log(maxSlowdown), math.Min(math.Log(maxSlowdown), s.logSlowdown))
}
