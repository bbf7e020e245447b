package balance

import "time"

// Report is the load that a server shows on an answer; it lags.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
	At      time.Time
}

// Outcome is how an attempt ended, as the balancer needs it.
type Outcome int

// The outcomes of an attempt.
const (
	Success Outcome = iota
	Refused
	Failed
	Cancelled
)

const (
	firstLimit     = 4.0
	minLimit       = 1.0
	maxLimit       = 512.0
	shrink         = 0.9
	firstSetAside  = 250 * time.Millisecond
	maxSetAside    = 4 * time.Second
	leavingAside   = 4 * time.Second
	latencySmooth  = 0.1
	reportLifetime = 10 * time.Second
)

// server is what is known of one backend server.
type server struct {
	id       string
	zone     string
	region   string
	inFlight int
	limit    float64
	report   LoadReport
	latency  time.Duration
	failures int
	until    time.Time
	leaving  bool
}

func newServer(id, region, zone string) *server {
	return &server{id: id, region: region, zone: zone, limit: firstLimit}
}

func (s *server) free(now time.Time) bool {
	return !s.leaving && s.inFlight < int(s.limit) && !now.Before(s.until)
}

// load estimates how busy the server is: its own report while fresh, corrected by what was sent since.
func (s *server) load(now time.Time) float64 {
	if s.report.Slots == 0 || now.Sub(s.report.At) > reportLifetime {
		return float64(s.inFlight) / s.limit
	}
	busy := float64(max(s.report.Running+s.report.Waiting, s.inFlight))
	return busy / float64(s.report.Slots)
}

// freePart is the part of a server's free slots that one daemon may fill before it hears more.
const freePart = 4

// learn takes a report into account: known free slots raise the limit without waiting for answers,
// which may take many seconds each.
func (s *server) learn(rep LoadReport) {
	s.report = rep
	if rep.Waiting > 0 || rep.Running >= rep.Slots {
		return
	}
	room := max(1, (rep.Slots-rep.Running)/freePart)
	s.limit = min(maxLimit, max(s.limit, float64(s.inFlight+room)))
}

// settle takes the end of an attempt into account.
func (s *server) settle(o Outcome, rep LoadReport, took time.Duration, now time.Time) {
	if rep.Slots > 0 {
		s.report = rep
	}
	switch o {
	case Success:
		s.failures = 0
		s.until = time.Time{}
		s.smooth(took)
		s.adapt()
	case Refused, Failed:
		s.limit = max(minLimit, s.limit*shrink)
		s.setAside(now)
	}
}

func (s *server) smooth(took time.Duration) {
	if s.latency == 0 {
		s.latency = took
		return
	}
	s.latency += time.Duration(latencySmooth * float64(took-s.latency))
}

// adapt grows the limit by one a round when it is used, and shrinks it when requests wait.
func (s *server) adapt() {
	switch {
	case s.report.Waiting > 0:
		s.limit = max(minLimit, s.limit*(1-(1-shrink)/s.limit))
	case float64(s.inFlight+1) >= s.limit*0.7:
		s.limit = min(maxLimit, s.limit+1/s.limit)
	}
}

func (s *server) setAside(now time.Time) {
	aside := firstSetAside << min(s.failures, 7)
	s.failures++
	s.until = now.Add(min(aside, maxSetAside))
}
