package entry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/external/vmlist"
	"github.com/pollencourse/pollencourse/platform"
)

// registration keeps this daemon's entry in the store while others may have to find the fleet by it.
type registration struct {
	daemons *platform.Daemons
	vm      string
	entry   vmlist.VM
	// needed reports whether this daemon is one of those that the list has to name: the first of each zone.
	needed func() bool
	log    *event.Log
}

const (
	// unregisterTimeout bounds the removal of the entry at the end.
	unregisterTimeout = 300 * time.Millisecond
	// registerDelay leaves a daemon that has just started the time to meet the others; a lone one reads the list a
	// second after its start.
	registerDelay = 700 * time.Millisecond
	// registerPoll is how often a daemon without an entry looks whether it is needed.
	registerPoll = time.Second
)

// Run writes the entry once it is needed and the store answers, and removes it when ctx ends.
func (r *registration) Run(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	wait := registerDelay
	for tried := false; ; {
		select {
		case <-ctx.Done():
			if tried { // a write without an answer may have been done
				r.unregister()
			}
			return nil
		case <-time.After(wait):
		}
		if !r.needed() {
			wait = registerPoll
			continue
		}
		tried = true
		err := r.daemons.Register(ctx, r.vm, r.entry)
		if err == nil {
			break
		}
		r.log.Emit(event.StoreUnavailable, "kind", "registration", "error", err.Error())
		wait = pause.NextBackOff()
	}
	<-ctx.Done()
	r.unregister()
	return nil
}

func (r *registration) unregister() {
	out, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	if err := r.daemons.Unregister(out, r.vm); err != nil {
		r.log.Emit(event.StoreUnavailable, "kind", "registration", "error", err.Error())
	}
}
