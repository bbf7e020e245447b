package stage

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's object store: objects by kind and name, lists, watches and conditional writes.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	events   []storeEvent
	changed  chan struct{}
}

type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
		Created  int64  `json:"created"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec,omitempty"`
	Status json.RawMessage `json:"status,omitempty"`
}

type storeEvent struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// newStore returns a store that serves on a free port of a host.
func newStore(host string) (*store, string, error) {
	s := &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return nil, "", err
	}
	srv := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(l) }()
	return s, l.Addr().String(), nil
}

// put writes the spec of an object, as the operator and the servers do.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the specs of the cases always encode
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, data
	s.write(kind, o)
}

// write stores an object under the next revision; s.mu is held.
func (s *store) write(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.append(storeEvent{kind: kind, Object: o})
	return o
}

// remove deletes an object, as when the entry of a server lapses.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.drop(kind, o)
	}
}

// drop deletes an object under the next revision; s.mu is held.
func (s *store) drop(kind string, o object) {
	s.revision++
	delete(s.objects[kind], o.Metadata.Name)
	o.Metadata.Revision = s.revision
	s.append(storeEvent{kind: kind, Object: o, Deleted: true})
}

// append adds an event and wakes the watches; s.mu is held.
func (s *store) append(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	w.Header().Set("Content-Type", "application/json")
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, parts[0])
	case r.Method == http.MethodGet:
		s.get(w, parts[0], parts[1])
	default:
		s.change(w, r, parts)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "at": s.revision})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(o)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		events, at, changed := s.eventsSince(kind, after)
		if len(events) > 0 || ctx.Err() != nil {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *store) eventsSince(kind string, after int64) ([]storeEvent, int64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []storeEvent{}
	for _, e := range s.events {
		if e.kind == kind && e.Object.Metadata.Revision > after {
			out = append(out, e)
		}
	}
	return out, s.revision, s.changed
}

// change carries out a write call of a daemon.
func (s *store) change(w http.ResponseWriter, r *http.Request, parts []string) {
	var in object
	_ = json.NewDecoder(r.Body).Decode(&in) // a DELETE has no body
	kind, name := parts[0], in.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, in.Metadata.Revision > 0 && in.Metadata.Revision != old.Metadata.Revision:
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(old)
		return
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Method == http.MethodDelete:
		s.drop(kind, old)
		return
	case len(parts) == 3:
		old.Status = in.Status
	default:
		old.Metadata.Name, old.Spec = name, in.Spec
	}
	_ = json.NewEncoder(w).Encode(s.write(kind, old))
}
