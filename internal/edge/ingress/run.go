package ingress

import (
	"context"
	"time"

	"github.com/pollencourse/pollencourse/internal/core/event"
)

const (
	// lifetimes is how many lifetimes of a list callers may keep it.
	lifetimes = 3
	// spreadTime is how long other daemons may go on listing one that has left.
	spreadTime = 500 * time.Millisecond
	// exitMargin is the time before the kill at which the process ends by itself.
	exitMargin = 400 * time.Millisecond
	// finishPoll is how often a leaving daemon looks whether its last request has ended.
	finishPoll = 50 * time.Millisecond
)

// lastStream is how long after leaving a stream is still begun: later ones could be cut at the kill, and the
// platform excuses that only for requests sent within three seconds.
const lastStream = 2900 * time.Millisecond

// settled is how long after leaving callers may still come with an old list.
func settled(lifetime time.Duration) time.Duration { return lifetimes*lifetime + spreadTime }

// Run serves until ctx ends, then until callers have moved away and the last request has ended.
func (s *Server) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(s.cfg.Listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	now := time.Now()
	s.leaving.Store(&now)
	s.cfg.Log.Emit(event.DaemonStopping, "inFlight", s.inFlight.Load())
	s.cfg.Leave()
	s.drain(now)
	return s.http.Close()
}

// drain waits until no caller is left or the grace is nearly over. Once no list can name this daemon any more it takes
// no new connection, so that a caller that still comes goes elsewhere at once.
func (s *Server) drain(began time.Time) {
	closing := time.AfterFunc(settled(s.cfg.ListLifetime), func() { _ = s.cfg.Listener.Close() })
	defer closing.Stop()
	for {
		time.Sleep(finishPoll)
		past := time.Since(began)
		if past >= s.cfg.Grace-exitMargin || past >= settled(s.cfg.ListLifetime) && s.inFlight.Load() == 0 {
			return
		}
	}
}

// Leaving reports whether the daemon has begun to stop.
func (s *Server) Leaving() bool { return s.leaving.Load() != nil }
