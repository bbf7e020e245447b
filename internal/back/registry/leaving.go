package registry

import (
	"time"

	"github.com/pollencourse/pollencourse/internal/core/event"
)

// leavingRetention is how long a server without an entry is remembered as leaving. Its entry may come back for a moment,
// for example after a store outage.
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

// forgetGone drops the servers that were marked long ago and have no entry any more; r.mu must be held.
func (r *Registry) forgetGone(now time.Time) {
	for inc, at := range r.leaving {
		rec := r.records[inc.id]
		if now.Sub(at) > leavingRetention && (rec == nil || rec.server.Born != inc.born) {
			delete(r.leaving, inc)
		}
	}
}
