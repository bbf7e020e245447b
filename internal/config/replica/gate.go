package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pollencourse/pollencourse/internal/core/event"
)

// readReason says why a daemon reads the store.
type readReason string

// The reasons to read the store; notReading is none.
const (
	notReading           readReason = ""
	reasonReader         readReason = "reader"
	reasonConfigLagging  readReason = "configLagging"
	reasonNoReader       readReason = "noReader"
	reasonDigestMismatch readReason = "digestMismatch"
)

// Active reports whether this daemon has to read the store.
func (r *Replica) Active() bool {
	isReader, lagging := r.opts.IsReader(), r.opts.ConfigLagging()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	why := r.reasonToRead(now, isReader, lagging)
	if why != r.why && why != notReading && why != reasonReader {
		r.log.Emit(event.StoreReadBegun, "why", string(why), "contactAgeMs", millisSince(now, r.readersContact), "agreedAgeMs", millisSince(now, r.lastAgreement))
	}
	r.why = why
	return why != notReading
}

// reasonToRead returns why this daemon has to read the store, if it has to; r.mu is held.
func (r *Replica) reasonToRead(now time.Time, isReader, lagging bool) readReason {
	switch {
	case now.Before(r.waitForPeersUntil):
		return notReading
	case isReader:
		return reasonReader
	case lagging:
		return reasonConfigLagging
	case r.isContactOld(now) || !r.nextProbe.IsZero():
		if r.reading || r.probeDue(now) {
			return reasonNoReader
		}
	case r.beaconDigest != r.digest && now.Sub(r.lastAgreement) > digestMismatchTimeout:
		return reasonDigestMismatch
	}
	return notReading
}

// millisSince returns the milliseconds from t to now, or -1 if t is zero.
func millisSince(now, t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t).Milliseconds()
}

// probeDue reports whether this daemon's next call to a store that no reader has heard is due; r.mu is held.
func (r *Replica) probeDue(now time.Time) bool {
	if r.nextProbe.IsZero() && !r.readersContact.IsZero() {
		r.nextProbe = r.readersContact.Add(r.maxContactAge() + rand.N(firstReadSpread))
	}
	return !now.Before(r.nextProbe)
}

// probeDelay returns a random delay by which the daemons together call the store once per fleetProbeInterval on average,
// or more often in a fleet so large that one daemon's delay would exceed its bound.
func (r *Replica) probeDelay() time.Duration {
	mean := time.Duration(max(1, r.opts.LiveDaemons())) * fleetProbeInterval
	longest := min(4*mean/3, r.opts.ApplyWithin/maxProbeDelayDivisor)
	return longest/2 + rand.N(longest/2)
}

// Failed postpones this daemon's next probe after a failed call to the store, so that other daemons probe meanwhile.
func (r *Replica) Failed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextProbe = time.Now().Add(r.probeDelay())
}

// Wait returns when the daemon may have to read the store, or when ctx ends.
func (r *Replica) Wait(ctx context.Context) {
	for !r.Active() && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(gatePollInterval):
		}
	}
}
