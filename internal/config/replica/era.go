package replica

import (
	"time"

	"github.com/pollencourse/pollencourse/internal/config/mirror"
	"github.com/pollencourse/pollencourse/internal/core/event"
)

// storeEra is the newest era of the store that this daemon has listed.
type storeEra struct {
	era int64
	// firstRevision is the lowest revision of this daemon's lists of the era. What the store had in the copy is not above it.
	firstRevision int64
}

// recordEra records the position of a list. Lists may miss objects for a while from the first one of a new era on, as
// after an outage.
func (r *Replica) recordEra(kind string, at mirror.Position, afterOutage bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last, known := r.eras[kind]; afterOutage || known && at.Era > last {
		r.mayReturnUntil = time.Now().Add(mayReturnWindow)
	}
	switch {
	case at.Era > r.listedEra.era:
		r.listedEra = storeEra{at.Era, at.Revision}
	case at.Era == r.listedEra.era:
		r.listedEra.firstRevision = min(r.listedEra.firstRevision, at.Revision)
	}
	r.noteEra(kind, at)
}

// noteEra logs once for each kind that its objects are from a new era, which they are not when the daemon starts; r.mu
// is held.
func (r *Replica) noteEra(kind string, at mirror.Position) {
	last, known := r.eras[kind]
	if known && at.Era <= last {
		return
	}
	r.eras[kind] = at.Era
	if known {
		r.log.Emit(event.StoreRestored, "kind", kind, "era", at.Era, "revision", at.Revision)
	}
}

// mayBeRestored reports whether the store may have had an object with a position in the copy from which its era began.
func (r *Replica) mayBeRestored(at mirror.Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return at.Era > 0 && at.Era == r.listedEra.era && at.Revision <= r.listedEra.firstRevision
}
