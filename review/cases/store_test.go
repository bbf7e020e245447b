package cases

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyTime is how long the store keeps changes for watches.
const historyTime = 20 * time.Second

// maxWait bounds the wait of a watch.
const maxWait = 30 * time.Second

type metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	Created         int64    `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

type object struct {
	Metadata metadata `json:"metadata"`
	Spec     any      `json:"spec"`
	Status   any      `json:"status"`
}

type change struct {
	kind     string
	revision int64
	at       time.Time
	deleted  bool
	object   object
}

// Store is a stand-in of the platform's object store.
type Store struct {
	Address string

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	changes  []change
	// forgotten is the revision up to which changes are no longer kept.
	forgotten int64
	changed   chan struct{}
}

// NewStore starts a store on a loopback address.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	srv := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(l) }()
	return s, nil
}

// Put writes the spec of an object, as the operator or a server does.
func (s *Store) Put(kind, name string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Spec = spec
	s.set(kind, name, o)
}

// Delete removes an object, as the store does when a server's entry expires.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// set stores an object under a new revision; the caller holds s.mu.
func (s *Store) set(kind, name string, o object) object {
	s.revision++
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.note(change{kind, s.revision, time.Now(), false, o})
	return o
}

// remove deletes an object; the caller holds s.mu.
func (s *Store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.note(change{kind, s.revision, time.Now(), true, o})
}

func (s *Store) note(c change) {
	s.changes = append(s.changes, c)
	for len(s.changes) > 0 && time.Since(s.changes[0].at) > historyTime {
		s.forgotten = s.changes[0].revision
		s.changes = s.changes[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls of the daemons.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, parts[0])
	case r.Method == http.MethodGet:
		s.get(w, parts[0], parts[1])
	default:
		s.write(w, r, parts)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := make([]object, 0, len(s.objects[kind]))
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "at": at})
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"error": "no such object"})
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), min(maxWait, time.Duration(waitMs)*time.Millisecond))
	defer cancel()
	for {
		events, at, gone, changed := s.since(kind, from)
		switch {
		case gone:
			reply(w, http.StatusGone, map[string]any{"error": "this history is gone"})
			return
		case len(events) > 0 || ctx.Err() != nil:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *Store) since(kind string, from int64) (events []any, at int64, gone bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []any{}
	for _, c := range s.changes {
		if c.kind == kind && c.revision > from {
			events = append(events, map[string]any{"deleted": c.deleted, "object": c.object})
		}
	}
	return events, s.revision, from < s.forgotten, s.changed
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, parts []string) {
	var body object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			reply(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
			return
		}
	}
	kind, name := parts[0], body.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		reply(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && !exists:
		reply(w, http.StatusNotFound, map[string]any{"error": "no such object"})
	case body.Metadata.Revision != 0 && body.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		reply(w, http.StatusOK, old)
	case len(parts) == 3:
		old.Status = body.Status
		reply(w, http.StatusOK, s.set(kind, name, old))
	default:
		old.Spec = body.Spec
		reply(w, http.StatusOK, s.set(kind, name, old))
	}
}
