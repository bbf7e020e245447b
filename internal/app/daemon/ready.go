package daemon

import (
	"context"
	"time"

	"github.com/pollencourse/pollencourse/internal/core/event"
)

// ConfigNotifier calls a function when the configuration in force changes.
type ConfigNotifier interface {
	OnChange(fn func())
}

// Announcer publishes whether this daemon accepts requests.
type Announcer interface {
	SetReady(ready bool)
}

// readiness publishes that the daemon is ready once a configuration is in force, and logs pauses of the process.
type readiness struct {
	ready   func() bool
	inForce ConfigNotifier
	members Announcer
	log     *event.Log
}

// configMissingDelay is how long a daemon waits for a configuration before it logs that none is in force.
const configMissingDelay = 5 * time.Second

// minReportedPause is the time between two successive checks above which a pause of the process is logged. The checks
// are due every pauseCheckInterval.
const minReportedPause = 2 * time.Second

const pauseCheckInterval = 500 * time.Millisecond

// Run publishes the readiness at the start and at each change of the configuration, and logs a missing configuration
// and pauses of the process, until ctx ends.
func (r *readiness) Run(ctx context.Context) error {
	changed := make(chan struct{}, 1)
	r.inForce.OnChange(func() {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	r.members.SetReady(r.ready())
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	missing := time.AfterFunc(configMissingDelay, func() {
		if !r.ready() {
			r.log.Emit(event.ConfigMissing)
		}
	})
	defer missing.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			r.members.SetReady(r.ready())
		case <-ticker.C:
			if gap := time.Since(last); gap > minReportedPause {
				r.log.Emit(event.PauseNoticed, "seconds", gap.Seconds())
			}
			last = time.Now()
		}
	}
}
