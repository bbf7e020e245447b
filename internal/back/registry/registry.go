package registry

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencourse/pollencourse/internal/config/mirror"
	"github.com/pollencourse/pollencourse/internal/core/event"
)

// mayReturnTimeout is how long an entry may be missing after a store outage; the platform documents two seconds.
const mayReturnTimeout = 2 * time.Second

// Server is one incarnation of a backend server.
type Server struct {
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	// Version is the version of the server's software.
	Version string
	Slots   int
	// Born is the start time of the server in Unix milliseconds; 0 if unknown.
	Born int64
	// Draining servers accept no new requests.
	Draining bool
	// ColdRemaining is how long the server is still cold from the moment that its entry was read. Only [Registry.OnEntry]
	// gets it: it changes with each heartbeat.
	ColdRemaining time.Duration
}

// View is an immutable snapshot of the servers that accept new requests: those with an entry that is not draining, and
// that have not said themselves that they are leaving.
type View struct {
	byService map[string][]Server
	byID      map[string]Server
}

// ServersOf returns the servers of a service that accept new requests, sorted by ID.
func (v *View) ServersOf(service string) []Server { return v.byService[service] }

// Len returns the number of servers that accept new requests.
func (v *View) Len() int { return len(v.byID) }

// Get returns the server with an ID if it accepts new requests.
func (v *View) Get(id string) (Server, bool) {
	s, ok := v.byID[id]
	return s, ok
}

// serverRecord is a server and when its entry went missing; the time is zero while the entry exists.
type serverRecord struct {
	server       Server
	missingSince time.Time
}

// Registry tracks the entries of backend servers.
type Registry struct {
	decode func(o mirror.Object) (Server, error)
	log    *event.Log
	view   atomic.Pointer[View]

	mu       sync.Mutex
	records  map[string]*serverRecord
	leaving  leavingSet
	ended    endedSet
	onChange []func(*View)
	onEntry  []func(s Server, gone bool)
}

// New returns an empty registry; decode reads one entry from its object.
func New(decode func(o mirror.Object) (Server, error), log *event.Log) *Registry {
	r := &Registry{decode: decode, log: log, records: map[string]*serverRecord{}, leaving: leavingSet{}, ended: endedSet{}}
	r.view.Store(&View{})
	return r
}

// OnChange calls fn with each new view. The registry is locked meanwhile, so fn must not call Apply, OnChange or Dump.
func (r *Registry) OnChange(fn func(*View)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onChange = append(r.onChange, fn)
}

// OnEntry calls fn with each entry that is read, also if it changes no view, before a view with it is published, and with
// each server whose entry is gone or unreadable. The registry is locked meanwhile, as for OnChange.
func (r *Registry) OnEntry(fn func(s Server, gone bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onEntry = append(r.onEntry, fn)
}

func (r *Registry) notifyEntry(s Server, gone bool) {
	for _, fn := range r.onEntry {
		fn(s, gone)
	}
}

// View returns the current view.
func (r *Registry) View() *View { return r.view.Load() }

// Apply applies one change of an entry.
func (r *Registry) Apply(c mirror.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Deleted {
		r.handleDeletion(c)
	} else if !r.handleUpdate(c) {
		return
	}
	r.publishView()
}

// handleUpdate reads an entry and reports whether the view may change.
func (r *Registry) handleUpdate(c mirror.Change) (changed bool) {
	o := c.Object
	s, err := r.decode(o)
	if err != nil {
		r.log.Emit(event.ServerEntryUnreadable, "server", o.Name, "revision", o.Revision, "error", err.Error())
		delete(r.records, o.Name)
		r.notifyEntry(Server{ID: o.Name}, true)
		return true
	}
	if r.ended.update(s, c) {
		r.log.Emit(event.StoreCopyIgnored, "server", s.ID, "service", s.Service, "era", o.Era, "revision", o.Revision)
		s.Draining = true
	}
	r.notifyEntry(s, false)
	s.ColdRemaining = 0
	old := r.records[o.Name]
	changed = old == nil || old.server != s
	if changed {
		r.log.Emit(event.ServerEntry, "server", s.ID, "service", s.Service, "address", s.Address,
			"version", s.Version, "draining", s.Draining, "revision", o.Revision)
	}
	r.records[o.Name] = &serverRecord{server: s}
	return changed
}

// handleDeletion removes a server, or marks its entry as missing if the entry may return after a store outage.
func (r *Registry) handleDeletion(c mirror.Change) {
	id := c.Object.Name
	rec := r.records[id]
	if rec == nil {
		return
	}
	if !c.MayReturn {
		r.log.Emit(event.ServerGone, "server", id, "service", rec.server.Service)
		r.remove(rec.server, c.Object.Era)
		return
	}
	if rec.missingSince.IsZero() {
		rec.missingSince = time.Now()
		time.AfterFunc(mayReturnTimeout, func() { r.removeIfMissing(id, c.Object.Era) })
	}
}

// remove removes a server that was gone in an era; r.mu must be held.
func (r *Registry) remove(s Server, era int64) {
	r.ended.add(s, era)
	delete(r.records, s.ID)
	r.notifyEntry(s, true)
	r.forgetGone(time.Now())
}

// removeIfMissing removes a server whose entry has been missing for mayReturnTimeout.
func (r *Registry) removeIfMissing(id string, era int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[id]
	if rec == nil || rec.missingSince.IsZero() || time.Since(rec.missingSince) < mayReturnTimeout {
		return
	}
	r.log.Emit(event.ServerGone, "server", id, "service", rec.server.Service, "missingForMs", time.Since(rec.missingSince).Milliseconds())
	r.remove(rec.server, era)
	r.publishView()
}

// publishView builds and publishes a new view; r.mu must be held.
func (r *Registry) publishView() {
	v := &View{byService: map[string][]Server{}, byID: map[string]Server{}}
	for _, rec := range r.records {
		if rec.server.Draining || r.leaving.contains(rec.server) {
			continue
		}
		v.byID[rec.server.ID] = rec.server
		v.byService[rec.server.Service] = append(v.byService[rec.server.Service], rec.server)
	}
	for _, servers := range v.byService {
		slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	}
	r.view.Store(v)
	for _, fn := range r.onChange {
		fn(v)
	}
}

// Dump shows all servers, including draining ones.
func (r *Registry) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Server, 0, len(r.records))
	for _, rec := range r.records {
		out = append(out, rec.server)
	}
	slices.SortFunc(out, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return out
}
