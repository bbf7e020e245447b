package registry

import (
	"time"

	"github.com/pollencourse/pollencourse/internal/core/event"
)

// leavingRetention is how long a server without an entry is remembered as leaving or gone. Its entry may come back, for
// example after a store outage or a restore.
const leavingRetention = 10 * time.Minute

// incarnation identifies one start of a server; a server that starts again under the same ID is another one.
type incarnation struct {
	id   string
	born int64
}

// leavingSet holds the servers that said in a response that they are leaving, and when they first did.
//
// What a server says of itself holds even while its entry says otherwise, since entries lag and don't change while the
// store is unavailable.
type leavingSet map[incarnation]time.Time

func (l leavingSet) contains(s Server) bool {
	_, ok := l[incarnation{s.ID, s.Born}]
	return ok
}

// MarkLeaving excludes a server that said in a response that it is leaving from all later views.
func (r *Registry) MarkLeaving(s Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving.contains(s) {
		return
	}
	r.log.Emit(event.ServerLeaving, "server", s.ID, "service", s.Service, "address", s.Address, "born", s.Born)
	r.forgetGone(time.Now())
	r.leaving[incarnation{s.ID, s.Born}] = time.Now()
	r.publishView()
}

// forgetGone drops the servers that were marked or ended long ago and have no entry any more; r.mu must be held.
func (r *Registry) forgetGone(now time.Time) {
	isForgotten := func(inc incarnation, at time.Time) bool {
		rec := r.records[inc.id]
		return now.Sub(at) > leavingRetention && (rec == nil || rec.server.Born != inc.born)
	}
	for inc, at := range r.leaving {
		if isForgotten(inc, at) {
			delete(r.leaving, inc)
		}
	}
	for inc, e := range r.ended {
		if isForgotten(inc, e.at) {
			delete(r.ended, inc)
		}
	}
}
