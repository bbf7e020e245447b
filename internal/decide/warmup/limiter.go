package warmup

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Policy states how the servers of a service warm up; the zero value means that they are never cold.
type Policy struct {
	// Warmup is how long a server is cold after its start.
	Warmup time.Duration
	// PerSecond is the number of requests a second that a cold server tolerates.
	PerSecond float64
}

// Enabled reports whether servers with this policy can be cold.
func (p Policy) Enabled() bool { return p.Warmup > 0 && p.PerSecond > 0 }

// Options configures a limiter.
type Options struct {
	// Self is the name of this daemon's VM.
	Self string
	// Started is when this daemon started.
	Started time.Time
	// Daemons returns all known daemons, suspected ones included. Each has the name of its VM, which stays the same over
	// restarts, so that daemons that do not know of a restart choose the same senders.
	Daemons func() []Daemon
	// ZoneRegion maps availability zones to their regions.
	ZoneRegion map[string]string
	// Synced reports whether the known daemons were synchronized with a peer.
	Synced func() bool
	// Listed reports whether the first list of servers is complete.
	Listed func() bool
	// Policy returns the policy of a service.
	Policy func(service string) Policy
	// ReopenedAt returns when an evacuation of an availability zone was last seen to end; nil if zones are not evacuated.
	ReopenedAt func(zone string) time.Time
}

// Limiter knows which servers are cold and when this daemon may send a request to each of them.
type Limiter struct {
	opts Options

	mu      sync.Mutex
	servers map[string]*server
	daemons daemonSet
	counts  counts
}

// counts are the totals since the start.
type counts struct {
	taken, missed, failures int64
}

// New returns a limiter without servers.
func New(opts Options) *Limiter {
	return &Limiter{opts: opts, servers: map[string]*server{}}
}

// confirmAfter is how long after a failure a server's entry shows that the server has not restarted. It is above two
// heartbeats of 1.2 s, so that an entry written before the failure has arrived by then.
const confirmAfter = 3 * time.Second

// Update records the entry of a server at the time that it was read. It returns why the server counts as cold from now
// on; empty if it does not, or did already.
func (l *Limiter) Update(s Server, now time.Time) Reason {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.opts.Policy(s.Service)
	if p.Enabled() {
		l.refreshDaemons(now)
	}
	old := l.servers[s.ID]
	wasLimited := old != nil && old.limited(l.opts, now)
	state := l.updated(old, s, now)
	l.servers[s.ID] = state
	switch {
	case wasLimited || !state.limited(l.opts, now):
		return ""
	case s.ColdRemaining > 0:
		return StatedByEntry
	default:
		return Appeared
	}
}

// updated returns the state of a server after its entry was read; old is nil if it had none. l.mu is held.
func (l *Limiter) updated(old *server, s Server, now time.Time) *server {
	state := &server{Server: s}
	switch {
	case old == nil && !l.opts.Listed():
	case old == nil || old.Born != s.Born:
		state.appearedAt = now
	default:
		*state = *old
		state.Server = s
		if s.ColdRemaining <= 0 && now.Sub(old.failedAt) >= confirmAfter {
			state.failed = false
		}
	}
	if old != nil {
		state.nextTake = old.nextTake
	}
	if s.ColdRemaining > 0 {
		state.entryColdUntil = later(state.entryColdUntil, now.Add(s.ColdRemaining))
	}
	return state
}

// Remove forgets a server whose entry is gone.
func (l *Limiter) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.servers, id)
}

// Failed records that this daemon did not reach a server, or that a connection to it broke: it may have restarted under
// the same ID. It returns true if the server is limited from now on.
func (l *Limiter) Failed(id string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	if s == nil || !l.opts.Policy(s.Service).Enabled() {
		return false
	}
	began := !s.limited(l.opts, now)
	l.counts.failures++
	if !s.failed {
		s.probeAt = now.Add(l.probeDelay(s, now))
	}
	s.failed, s.failedAt = true, now
	return began
}

// Succeeded records a response of a server to an attempt. The first one to an attempt that started after the server's last
// failure begins its warm-up, in which case Succeeded returns true.
func (l *Limiter) Succeeded(id string, startedAt, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	if s == nil || !s.failed || startedAt.Before(s.failedAt) {
		return false
	}
	s.failed, s.recoveredAt = false, now
	return true
}

// Wait returns the time until a request may be sent to a server; 0 if it may be sent now.
func (l *Limiter) Wait(id string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	if s == nil || !s.limited(l.opts, now) {
		return 0
	}
	return l.wait(s, now)
}

// Take takes the allowance of a server. It returns false if there is none because another request was faster.
func (l *Limiter) Take(id string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	if s == nil || !s.limited(l.opts, now) {
		return true
	}
	if l.wait(s, now) > 0 {
		l.counts.missed++
		return false
	}
	l.counts.taken++
	n, isSender := l.sendersOf(s, now)
	s.nextTake = now.Add(l.interval(s, n))
	if !isSender {
		s.probeAt = now.Add(l.probeDelay(s, now))
	}
	return true
}

// wait returns the time until the next allowance of a server that is limited; l.mu is held.
func (l *Limiter) wait(s *server, now time.Time) time.Duration {
	end := s.coldUntil(l.opts)
	if d := l.startDelay(now); d > 0 {
		return d
	}
	due := s.nextTake
	if _, isSender := l.sendersOf(s, now); !isSender {
		due = later(end, now)
		if s.failed {
			due = later(due, s.probeAt)
		}
	} else if !s.failed && end.Before(due) {
		due = end
	}
	return max(0, due.Sub(now))
}

// probeShare is the part of what a cold server tolerates that the daemons that are not among its senders use together to
// learn whether a server that failed is back. It is small, because two sets of senders may be at work at the same time.
const probeShare = 0.1

// probeDelay returns the time until a daemon that is not among the senders tries a failed server. It is random, because the
// connections of all daemons break at the same moment.
func (l *Limiter) probeDelay(s *server, now time.Time) time.Duration {
	l.refreshDaemons(now)
	p := l.opts.Policy(s.Service)
	spread := float64(max(1, len(l.daemons.all))) / (probeShare * p.PerSecond)
	return p.Warmup + time.Duration(rand.Float64()*spread*float64(time.Second))
}

// ServerState is one limited server in the dump.
type ServerState struct {
	ColdUntil time.Time `json:"coldUntil"`
	// Failed is true until a server that this daemon did not reach has answered.
	Failed bool `json:"failed"`
	// Sender is true if this daemon is one of the daemons that may send to the server; Senders is their number.
	Sender  bool    `json:"sender"`
	Senders int     `json:"senders"`
	WaitMs  float64 `json:"waitMs"`
}

// State is the state of a limiter in the dump.
type State struct {
	Taken    int64                  `json:"taken"`
	Missed   int64                  `json:"missed"`
	Failures int64                  `json:"failures"`
	Servers  map[string]ServerState `json:"servers"`
}

// State returns the limited servers by ID and the totals since the start.
func (l *Limiter) State(now time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := State{l.counts.taken, l.counts.missed, l.counts.failures, map[string]ServerState{}}
	for id, s := range l.servers {
		if !s.limited(l.opts, now) {
			continue
		}
		n, isSender := l.sendersOf(s, now)
		out.Servers[id] = ServerState{s.coldUntil(l.opts), s.failed, isSender, n, l.wait(s, now).Seconds() * 1000}
	}
	return out
}
