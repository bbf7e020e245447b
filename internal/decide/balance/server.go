package balance

import "time"

// LoadReport is the load that a server reports on a response; it lags behind the actual load.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
	At      time.Time
}

// Outcome classifies the end of an attempt for the balancer.
type Outcome int

// The outcomes of an attempt.
const (
	Success Outcome = iota
	Refused
	Failed
	Cancelled
)

const (
	// initialLimit, minLimit and maxLimit are numbers of attempts in flight.
	initialLimit = 4.0
	minLimit     = 1.0
	maxLimit     = 512.0
	// limitDecreaseFactor multiplies the limit after a refusal or failure.
	limitDecreaseFactor = 0.9
	initialEjection     = 250 * time.Millisecond
	maxEjection         = 4 * time.Second
	// leavingEjection applies to a server that reported that it accepts no more work.
	leavingEjection = 4 * time.Second
	// latencySmoothing is the weight of the newest response in a server's latency.
	latencySmoothing = 0.1
	reportLifetime   = 10 * time.Second
)

// server is this daemon's view of one backend server.
type server struct {
	id           string
	zone         string
	region       string
	inFlight     int
	limit        float64
	report       LoadReport
	latency      time.Duration
	failures     int
	ejectedUntil time.Time
	leaving      bool
}

func newServer(id, region, zone string) *server {
	return &server{id: id, region: region, zone: zone, limit: initialLimit}
}

func (s *server) available(now time.Time) bool {
	return !s.leaving && s.inFlight < int(s.limit) && !now.Before(s.ejectedUntil)
}

// load estimates the server's utilization: from its last report while that is fresh, raised to this daemon's attempts
// in flight if they are more, and otherwise from the limit.
func (s *server) load(now time.Time) float64 {
	if s.report.Slots == 0 || now.Sub(s.report.At) > reportLifetime {
		return float64(s.inFlight) / s.limit
	}
	busy := float64(max(s.report.Running+s.report.Waiting, s.inFlight))
	return busy / float64(s.report.Slots)
}

// freeSlotsDivisor lets one daemon fill a quarter of a server's reported free slots before the next report.
const freeSlotsDivisor = 4

// recordReport raises the limit to use reported free slots without waiting for responses, which may take many seconds
// each.
func (s *server) recordReport(rep LoadReport) {
	s.report = rep
	if rep.Waiting > 0 || rep.Running >= rep.Slots {
		return
	}
	room := max(1, (rep.Slots-rep.Running)/freeSlotsDivisor)
	s.limit = min(maxLimit, max(s.limit, float64(s.inFlight+room)))
}

func (s *server) recordOutcome(o Outcome, rep LoadReport, took time.Duration, now time.Time) {
	if rep.Slots > 0 {
		s.report = rep
	}
	switch o {
	case Success:
		s.failures = 0
		s.ejectedUntil = time.Time{}
		s.updateLatency(took)
		s.adjustLimit()
	case Refused, Failed:
		s.limit = max(minLimit, s.limit*limitDecreaseFactor)
		s.eject(now)
	}
}

func (s *server) updateLatency(took time.Duration) {
	if s.latency == 0 {
		s.latency = took
		return
	}
	s.latency += time.Duration(latencySmoothing * float64(took-s.latency))
}

// adjustLimit is called for each successful response. It lowers the limit by 0.1 while requests wait at the server.
// Otherwise, if at least 70% of the limit is in use, it raises it by 1/limit, so that a limit of n grows by about one in n
// responses.
func (s *server) adjustLimit() {
	switch {
	case s.report.Waiting > 0:
		s.limit = max(minLimit, s.limit*(1-(1-limitDecreaseFactor)/s.limit))
	case float64(s.inFlight+1) >= s.limit*0.7:
		s.limit = min(maxLimit, s.limit+1/s.limit)
	}
}

func (s *server) eject(now time.Time) {
	ejection := initialEjection << min(s.failures, 7)
	s.failures++
	s.ejectedUntil = now.Add(min(ejection, maxEjection))
}
