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

// returnGrace is how long an entry may be missing after the store was away; the platform states two seconds.
const returnGrace = 2 * time.Second

// Server is one incarnation of a backend server.
type Server struct {
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	// Version is the version of the server's software.
	Version string
	Slots   int
	// Born is the Unix millisecond of the server's start, 0 if unknown.
	Born int64
	// Draining servers take no new work.
	Draining bool
}

// View is the servers of each service at one time.
type View struct {
	byService map[string][]Server
	byID      map[string]Server
}

// ServersOf returns the servers of a service that take new work, by ID.
func (v *View) ServersOf(service string) []Server { return v.byService[service] }

// Get returns a server that takes new work.
func (v *View) Get(id string) (Server, bool) {
	s, ok := v.byID[id]
	return s, ok
}

// record is an entry with the time since which it is missing.
type record struct {
	server  Server
	missing time.Time
}

// Registry follows the entries of backend servers.
type Registry struct {
	decode func(o mirror.Object) (Server, error)
	log    *event.Log
	view   atomic.Pointer[View]

	mu      sync.Mutex
	records map[string]*record
	changed []func(*View)
}

// New returns an empty registry; decode reads one entry.
func New(decode func(o mirror.Object) (Server, error), log *event.Log) *Registry {
	r := &Registry{decode: decode, log: log, records: map[string]*record{}}
	r.view.Store(&View{})
	return r
}

// OnChange calls fn after each change of the view, which must not call the registry back.
func (r *Registry) OnChange(fn func(*View)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed = append(r.changed, fn)
}

// View returns the servers known now.
func (r *Registry) View() *View { return r.view.Load() }

// Apply takes one change of an entry.
func (r *Registry) Apply(c mirror.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Deleted {
		r.miss(c.Object.Name, c.MayReturn)
	} else {
		r.put(c.Object)
	}
	r.rebuild()
}

func (r *Registry) put(o mirror.Object) {
	s, err := r.decode(o)
	if err != nil {
		r.log.Emit(event.ServerEntryUnreadable, "server", o.Name, "revision", o.Revision, "error", err.Error())
		delete(r.records, o.Name)
		return
	}
	old := r.records[o.Name]
	if old == nil || old.server != s {
		r.log.Emit(event.ServerEntry, "server", s.ID, "service", s.Service, "address", s.Address,
			"version", s.Version, "draining", s.Draining, "revision", o.Revision)
	}
	r.records[o.Name] = &record{server: s}
}

// miss notes that an entry is not there; one that lapsed while the store was away may come back.
func (r *Registry) miss(id string, lapsed bool) {
	rec := r.records[id]
	if rec == nil {
		return
	}
	if !lapsed {
		r.log.Emit(event.ServerGone, "server", id, "service", rec.server.Service)
		delete(r.records, id)
		return
	}
	if rec.missing.IsZero() {
		rec.missing = time.Now()
		time.AfterFunc(returnGrace, func() { r.expire(id) })
	}
}

// expire drops an entry that is still missing after the grace.
func (r *Registry) expire(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[id]
	if rec == nil || rec.missing.IsZero() || time.Since(rec.missing) < returnGrace {
		return
	}
	r.log.Emit(event.ServerGone, "server", id, "service", rec.server.Service, "missingForMs", time.Since(rec.missing).Milliseconds())
	delete(r.records, id)
	r.rebuild()
}

// rebuild publishes the view; r.mu is held.
func (r *Registry) rebuild() {
	v := &View{byService: map[string][]Server{}, byID: map[string]Server{}}
	for _, rec := range r.records {
		if rec.server.Draining {
			continue
		}
		v.byID[rec.server.ID] = rec.server
		v.byService[rec.server.Service] = append(v.byService[rec.server.Service], rec.server)
	}
	for _, servers := range v.byService {
		slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	}
	r.view.Store(v)
	for _, fn := range r.changed {
		fn(v)
	}
}

// Dump shows every server, draining ones included.
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
