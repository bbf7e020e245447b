package ingress

import (
	"context"
	"time"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/edge/intake"
)

const (
	// maxListLifetimes bounds how long callers go on using an entry list, as a multiple of its lifetime.
	maxListLifetimes = 3
	// leavePropagationTime bounds how long other daemons go on listing this one after it has left.
	leavePropagationTime = 500 * time.Millisecond
	// exitMargin is how long before the end of the grace period the process exits by itself.
	exitMargin = 400 * time.Millisecond
	// responseMargin is the time between a request's deadline and the end of its response, which may be that of a timeout.
	responseMargin = 200 * time.Millisecond
	// drainPollInterval is how often a leaving daemon checks whether its last request has ended.
	drainPollInterval = 50 * time.Millisecond
)

// streamAcceptTime is how long a leaving daemon still accepts streams. Later ones could be truncated when the process is
// killed; the platform excuses that only for requests sent within three seconds of the stop signal.
const streamAcceptTime = 2900 * time.Millisecond

// staleListTime is how long after leaving the daemon may still get requests from callers with an old entry list.
func staleListTime(lifetime time.Duration) time.Duration {
	return maxListLifetimes*lifetime + leavePropagationTime
}

// Run serves until ctx ends. It then leaves the entry lists and goes on serving until the lists that name it have expired
// and the last response is written, or until the grace period is nearly over.
func (s *Server) Run(ctx context.Context) error {
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.http.Serve(intake.Listen(s.cfg.Listener, s.cfg.Intake)) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	leftAt := time.Now()
	s.leavingSince.Store(&leftAt)
	s.cfg.Log.Emit(event.DaemonStopping, "inFlight", s.inFlight.Load())
	s.cfg.Leave()
	s.drain(leftAt)
	return s.http.Close()
}

// drain waits until the old entry lists have expired and no request is in flight, or until the grace period is nearly
// over. Once the lists have expired it closes the listener, so that a late caller moves to another daemon at once.
func (s *Server) drain(leftAt time.Time) {
	closeTimer := time.AfterFunc(staleListTime(s.cfg.ListLifetime), func() { _ = s.cfg.Listener.Close() })
	defer closeTimer.Stop()
	for {
		time.Sleep(drainPollInterval)
		elapsed := time.Since(leftAt)
		if elapsed >= s.cfg.Grace-exitMargin || elapsed >= staleListTime(s.cfg.ListLifetime) && s.inFlight.Load() == 0 {
			break
		}
	}
	// A handler returns before net/http has written the rest of its response. Unlike Close, Shutdown waits for that, and
	// for a request that arrives at this moment.
	ctx, cancel := context.WithDeadline(context.Background(), leftAt.Add(s.cfg.Grace-exitMargin))
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		s.cfg.Log.Emit(event.DaemonStopping, "inFlight", s.inFlight.Load(), "error", err.Error())
	}
}

// Leaving reports whether the daemon has begun to shut down.
func (s *Server) Leaving() bool { return s.leavingSince.Load() != nil }
