package daemon

import (
	"context"
	"time"

	"github.com/pollencourse/pollencourse/internal/core/event"
)

// Configured tells when the configuration in force changes.
type Configured interface {
	OnChange(fn func())
}

// Announcer publishes whether this daemon takes requests.
type Announcer interface {
	SetReady(ready bool)
}

// readiness announces the daemon once a configuration is in force.
type readiness struct {
	ready   func() bool
	inForce Configured
	members Announcer
	log     *event.Log
}

// missingAfter is how long a daemon waits for a configuration before it says so.
const missingAfter = 5 * time.Second

// pauseLimit is how much longer than asked a wait may take before it counts as a pause of the process.
const pauseLimit = 2 * time.Second

const readyInterval = 500 * time.Millisecond

// Run waits for a configuration, then notes pauses of the process until ctx ends.
func (r *readiness) Run(ctx context.Context) error {
	changed := make(chan struct{}, 1)
	r.inForce.OnChange(func() {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	r.members.SetReady(r.ready())
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	missing := time.AfterFunc(missingAfter, func() {
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
			if gap := time.Since(last); gap > pauseLimit {
				r.log.Emit(event.PauseNoticed, "seconds", gap.Seconds())
			}
			last = time.Now()
		}
	}
}
