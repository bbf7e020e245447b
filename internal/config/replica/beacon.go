package replica

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

// Run publishes beacons while this daemon reads the store, the first one as soon as it has listed all kinds.
func (r *Replica) Run(ctx context.Context) error {
	ticker := time.NewTicker(beaconInterval)
	defer ticker.Stop()
	var last beaconRole
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-r.allListed:
		}
		role, beacon := r.nextBeacon()
		if role != last {
			r.logRole(last, role)
		}
		last = role
		if role == sendsNone {
			continue
		}
		if err := r.gossip.PublishOwn(role.prefix()+r.self, beacon); err != nil {
			r.log.Emit(event.PeerMessageWrong, "error", err.Error())
		}
	}
}

// beaconRole says as what a daemon sends beacons, if it does.
type beaconRole int

const (
	sendsNone beaconRole = iota
	sendsAsReader
	sendsAsSubstitute
)

func (b beaconRole) prefix() string {
	if b == sendsAsSubstitute {
		return beaconPrefix + substitutePrefix
	}
	return beaconPrefix
}

// nextBeacon returns the beacon to send now, and as what. A daemon that has not heard the store recently sends none.
func (r *Replica) nextBeacon() (beaconRole, *peerpb.ReaderBeacon) {
	isReader, now, own := r.opts.IsReader(), time.Now(), r.opts.LastContact()
	r.mu.Lock()
	defer r.mu.Unlock()
	beacon := &peerpb.ReaderBeacon{Root: r.digest, StoreSilenceMs: now.Sub(own).Milliseconds()}
	switch {
	case !r.reading || now.Sub(own) > r.maxContactAge():
		return sendsNone, nil
	case isReader:
		return sendsAsReader, beacon
	case r.isContactOld(now):
		return sendsAsSubstitute, beacon
	default:
		return sendsNone, nil
	}
}

// logRole logs that this daemon begins or ends to send beacons, or does it as another than before.
func (r *Replica) logRole(last, role beaconRole) {
	r.mu.Lock()
	readersContact := r.readersContact
	r.mu.Unlock()
	now := time.Now()
	if role == sendsAsSubstitute {
		r.log.Emit(event.ReaderReplaced, "contactAgeMs", millisSince(now, readersContact))
	}
	switch {
	case last == sendsNone:
		r.log.Emit(event.BeaconsBegun, "storeSilentMs", millisSince(now, r.opts.LastContact()))
	case role == sendsNone:
		r.log.Emit(event.BeaconsEnded, "storeSilentMs", millisSince(now, r.opts.LastContact()))
	}
}

// handleBeacon records up to when the sender has followed the store, and its digest.
func (r *Replica) handleBeacon(rec relay.Record) {
	from, fromSubstitute := strings.CutPrefix(strings.TrimPrefix(rec.Key, beaconPrefix), substitutePrefix)
	var b peerpb.ReaderBeacon
	if from == r.self || proto.Unmarshal(rec.Body, &b) != nil {
		return
	}
	isReader := r.opts.IsReader()
	r.mu.Lock()
	defer r.mu.Unlock()
	if fromSubstitute && r.reading && !isReader && r.self < from {
		return // of several substitutes, the one with the lowest ID continues
	}
	now := time.Now()
	contact := now.Add(-time.Duration(b.GetStoreSilenceMs()) * time.Millisecond)
	if contact.Before(r.readersContact.Add(-beaconOrderTolerance)) {
		return
	}
	if contact.After(r.readersContact) {
		r.readersContact = contact
	}
	r.beaconDigest = b.GetRoot()
	r.checkAgreement(now)
}

// maxContactAge is how old the readers' newest contact with the store may be. A change that the store accepted
// right after that contact may be known to no reader, so the rest of ApplyWithin is left to read it without them.
func (r *Replica) maxContactAge() time.Duration {
	return max(r.opts.ApplyWithin-ownReadTime, r.opts.ApplyWithin/2)
}

// isContactOld reports whether no reader is known to have heard the store recently; r.mu is held.
func (r *Replica) isContactOld(now time.Time) bool {
	return now.Sub(r.readersContact) > r.maxContactAge()
}
