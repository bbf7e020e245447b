package zones

import (
	"sync"
	"time"

	"github.com/pollencourse/pollencourse/internal/config/mirror"
	"github.com/pollencourse/pollencourse/internal/core/event"
)

// mayReturnTimeout is how long an evacuation may be missing after a store outage, as for the entries of servers.
const mayReturnTimeout = 2 * time.Second

// Zones are the availability zones with their evacuations.
type Zones struct {
	known func(zone string) bool
	log   *event.Log

	mu    sync.Mutex
	zones map[string]*zone
}

// zone is the state of one availability zone that is or was evacuated.
type zone struct {
	evacuated  bool
	reopenedAt time.Time
	// last is the evacuation as last seen, endedEra the era in which it was last seen to end.
	last     mirror.Object
	endedEra int64
	// missing reopens the zone unless the evacuation returns; nil if it is not missing.
	missing *time.Timer
}

// New returns zones without evacuations; known reports whether a zone is configured.
func New(known func(zone string) bool, log *event.Log) *Zones {
	return &Zones{known: known, log: log, zones: map[string]*zone{}}
}

// Apply applies a change of an evacuation, whose object has the name of its zone.
func (z *Zones) Apply(c mirror.Change) {
	name := c.Object.Name
	z.mu.Lock()
	defer z.mu.Unlock()
	s := z.zones[name]
	switch {
	case c.Deleted && (s == nil || !s.evacuated):
	case c.Deleted && c.MayReturn:
		s.endedEra = c.Object.Era
		if s.missing == nil {
			s.missing = time.AfterFunc(mayReturnTimeout, func() { z.reopenIfMissing(name) })
		}
	case c.Deleted:
		s.endedEra = c.Object.Era
		z.reopen(name, s)
	case !z.known(name):
		z.log.Emit(event.EvacuationUnknown, "zone", name, "revision", c.Object.Revision)
	case s.endedBefore(c):
		z.log.Emit(event.StoreCopyIgnored, "evacuation", name, "era", c.Object.Era, "revision", c.Object.Revision)
	default:
		z.evacuate(name, c.Object)
	}
}

// endedBefore reports whether a change shows an evacuation that was seen to end, in the copy of a restored store. A copy
// keeps the revisions of its objects, so one that was created or written at another revision is newer.
func (s *zone) endedBefore(c mirror.Change) bool {
	o := c.Object
	return s != nil && !s.evacuated && c.Restored && o.Era > s.endedEra &&
		o.CreatedRevision == s.last.CreatedRevision && o.Revision <= s.last.Revision
}

// evacuate marks a zone as evacuated; z.mu is held.
func (z *Zones) evacuate(name string, o mirror.Object) {
	s := z.zones[name]
	if s == nil {
		s = &zone{}
		z.zones[name] = s
	}
	s.last = o
	s.stopMissing()
	if !s.evacuated {
		z.log.Emit(event.ZoneEvacuated, "zone", name, "era", o.Era, "revision", o.Revision)
	}
	s.evacuated = true
}

// reopen ends the evacuation of a zone; z.mu is held.
func (z *Zones) reopen(name string, s *zone) {
	s.stopMissing()
	s.evacuated, s.reopenedAt = false, time.Now()
	z.log.Emit(event.ZoneReopened, "zone", name)
}

// reopenIfMissing ends an evacuation that did not return within mayReturnTimeout.
func (z *Zones) reopenIfMissing(name string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if s := z.zones[name]; s.missing != nil {
		z.reopen(name, s)
	}
}

func (s *zone) stopMissing() {
	if s.missing != nil {
		s.missing.Stop()
		s.missing = nil
	}
}

// Evacuated reports whether no request may be sent to the servers of a zone.
func (z *Zones) Evacuated(name string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	s := z.zones[name]
	return s != nil && s.evacuated
}

// ReopenedAt returns when an evacuation of a zone was last seen to end; zero if never.
func (z *Zones) ReopenedAt(name string) time.Time {
	z.mu.Lock()
	defer z.mu.Unlock()
	if s := z.zones[name]; s != nil {
		return s.reopenedAt
	}
	return time.Time{}
}

// Dump shows the zones that are or were evacuated.
func (z *Zones) Dump() any {
	type state struct {
		Evacuated  bool      `json:"evacuated"`
		Missing    bool      `json:"missing"`
		ReopenedAt time.Time `json:"reopenedAt"`
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	out := map[string]state{}
	for name, s := range z.zones {
		out[name] = state{s.evacuated, s.missing != nil, s.reopenedAt}
	}
	return out
}
