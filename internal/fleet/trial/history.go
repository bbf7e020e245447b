package trial

import (
	"time"

	"github.com/pollencourse/pollencourse/internal/core/event"
)

// pastRetention is how long a roll-out that is not in force any more is remembered. The copy from which a store is
// restored is some seconds old, and its outage takes moments.
const pastRetention = 10 * time.Minute

// rolloutKey identifies a roll-out across restores of the store, in which its creation revision changes.
type rolloutKey struct{ service, target string }

// pastRollout is a roll-out that was final or whose order was removed.
type pastRollout struct {
	// state is the final state; empty if the roll-out was not final.
	state State
	// removed is true if the order was deleted or replaced by one of another target; created and revision are its last ones.
	removed           bool
	created, revision int64
	// era is the last era in which the store held this, and at when it was last seen.
	era int64
	at  time.Time
}

// pastRollouts holds the roll-outs that a restored store must not bring back.
type pastRollouts map[rolloutKey]pastRollout

// removedBefore reports whether an order in the copy of a restored store had been deleted or replaced. A copy keeps the
// revisions of its objects, so an order that was created or written at another revision is newer.
func (p pastRollouts) removedBefore(o Order, restored bool) bool {
	past, ok := p[rolloutKey{o.Service, o.Target}]
	return ok && past.removed && restored && o.Era > past.era && o.Created == past.created && o.Revision <= past.revision
}

// effectiveState returns the state of an order that is in force: a final state of an earlier era stays, although the store
// holds an older status or the order was written again.
func (p pastRollouts) effectiveState(o Order, restored bool) State {
	past, ok := p[rolloutKey{o.Service, o.Target}]
	if ok && past.state != "" && o.Era > past.era && (restored || !o.finished()) {
		return past.state
	}
	return o.State
}

// record records the state that is in force; an order of the same era replaces what is known.
func (p pastRollouts) record(o Order, stored State, now time.Time) {
	key := rolloutKey{o.Service, o.Target}
	switch {
	case !o.finished():
		delete(p, key)
	case o.State == stored:
		p[key] = pastRollout{state: o.State, era: o.Era, at: now}
	}
}

// recordRemoval records that an order was deleted or replaced in an era.
func (p pastRollouts) recordRemoval(o Order, era int64, now time.Time) {
	past := pastRollout{removed: true, created: o.Created, revision: o.Revision, era: era, at: now}
	if o.finished() {
		past.state = o.State
	}
	p[rolloutKey{o.Service, o.Target}] = past
}

// forget drops the roll-outs that were last seen long ago and for which inForce is false.
func (p pastRollouts) forget(now time.Time, inForce func(rolloutKey) bool) {
	for key, past := range p {
		if now.Sub(past.at) > pastRetention && !inForce(key) {
			delete(p, key)
		}
	}
}

// ignoresRestored reports whether an order in the copy of a restored store is older than what is in force. The caller holds
// s.mu.
func (s *Service) ignoresRestored(o Order, restored bool) bool {
	if !s.past.removedBefore(o, restored) {
		return false
	}
	if r := s.rollouts[o.Service]; r != nil && r.order.Era < o.Era {
		r.lost = true
	}
	s.log.Emit(event.StoreCopyIgnored, "service", o.Service, "target", o.Target, "era", o.Era, "revision", o.Revision)
	return true
}

// forgetPast drops the roll-outs that are neither in force nor recent. The caller holds s.mu.
func (s *Service) forgetPast(now time.Time) {
	s.past.forget(now, func(key rolloutKey) bool {
		r := s.rollouts[key.service]
		return r != nil && r.order.Target == key.target
	})
}

// hasUnwritten reports whether the store has to be given a final state again.
func (s *Service) hasUnwritten() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rollouts {
		if r.order.finished() && r.stored != r.order.State && !r.lost {
			return true
		}
	}
	return false
}
