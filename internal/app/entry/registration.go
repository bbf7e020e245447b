package entry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/external/vmlist"
	"github.com/pollencourse/pollencourse/platform"
)

// registration keeps this daemon's entry in the store's list of daemons, where starting daemons find the fleet.
type registration struct {
	daemons *platform.Daemons
	vm      string
	entry   vmlist.VM
	// isNeeded reports whether this daemon has to be in the list. Only the readers, the first daemons of each
	// availability zone, are.
	isNeeded func() bool
	log      *event.Log
}

const (
	// unregisterTimeout bounds the removal of the entry at shutdown.
	unregisterTimeout = 300 * time.Millisecond
	// registerDelay gives a starting daemon time to connect to the others. It is shorter than the second after which a
	// daemon without peers reads the list for the first time.
	registerDelay = 700 * time.Millisecond
	// registerPollInterval is how often a daemon checks whether its entry is needed, or was lost in a restore.
	registerPollInterval = time.Second
	// notRegistered stands for the era of an entry that is not written.
	notRegistered int64 = -1
)

// Run writes the entry once it is needed and the store responds, writes it again when the store was restored, and removes
// it when ctx ends.
func (r *registration) Run(ctx context.Context) error {
	retryBackoff := backoff.NewExponentialBackOff()
	delay := registerDelay
	for attempted, era := false, notRegistered; ; {
		select {
		case <-ctx.Done():
			if attempted { // a write without a response may have succeeded
				r.unregister()
			}
			return nil
		case <-time.After(delay):
		}
		delay = registerPollInterval
		if !r.isNeeded() || era >= r.daemons.Era() {
			continue
		}
		if era != notRegistered {
			r.log.Emit(event.StoreRestored, "kind", "registration", "era", r.daemons.Era())
		}
		attempted = true
		written, err := r.daemons.Register(ctx, r.vm, r.entry)
		if err != nil {
			era = notRegistered
			r.log.Emit(event.StoreUnavailable, "kind", "registration", "error", err.Error())
			delay = retryBackoff.NextBackOff()
			continue
		}
		era = written
		retryBackoff.Reset()
	}
}

func (r *registration) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	if err := r.daemons.Unregister(ctx, r.vm); err != nil {
		r.log.Emit(event.StoreUnavailable, "kind", "registration", "error", err.Error())
	}
}
