package standin3

import (
	"bytes"
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

// historyFor is how long the store keeps its changes, as the sheets say.
const historyFor = 20 * time.Second

type metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision,omitempty"`
	Created         int64    `json:"created,omitempty"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind    string
	at      int64
	time    time.Time
	deleted bool
	object  object
}

// store is the platform's store. It has one address for each daemon, so that it can tell them apart.
type store struct {
	mu      sync.Mutex
	rev     int64
	objects map[string]map[string]object
	history []change
	dropped int64
	changed chan struct{}
	// answerTime is how long an answer takes, apart from the way to the daemon; distance is that way, there and back.
	answerTime time.Duration
	distance   map[string]time.Duration
	// refuses decides on the calls of a daemon; nil serves all.
	refuses func(daemon string, r *http.Request) bool
}

func newStore() *store {
	return &store{rev: 10, objects: map[string]map[string]object{}, answerTime: 4 * time.Millisecond, distance: map[string]time.Duration{}, changed: make(chan struct{})}
}

// listen serves the calls of one daemon at an address.
func (s *store) listen(daemon, address string) (net.Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	srv := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.serve(daemon, w, r)
	})}
	go func() { _ = srv.Serve(l) }()
	return l, nil
}

// note appends a change; s.mu is held.
func (s *store) note(kind string, deleted bool, o object) {
	now := time.Now()
	s.history = append(s.history, change{kind, s.rev, now, deleted, o})
	for len(s.history) > 0 && now.Sub(s.history[0].time) > historyFor {
		s.dropped = s.history[0].at
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes the spec of an object and returns the revision.
func (s *store) put(kind, name string, spec any) int64 {
	data, _ := json.Marshal(spec)
	return s.putRaw(kind, name, data)
}

func (s *store) putRaw(kind, name string, spec []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, func(o *object) { o.Spec = spec })
}

// write changes an object; s.mu is held.
func (s *store) write(kind, name string, edit func(*object)) int64 {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, ok := s.objects[kind][name]
	before := o
	edit(&o)
	if ok && bytes.Equal(before.Spec, o.Spec) && bytes.Equal(before.Status, o.Status) {
		return o.Metadata.Revision
	}
	s.rev++
	o.Metadata.Name, o.Metadata.Revision = name, s.rev
	if !ok {
		o.Metadata.Created = s.rev
	}
	s.objects[kind][name] = o
	s.note(kind, false, o)
	return s.rev
}

// remove deletes an object; the event holds it with the revision of the deletion, its last change.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.rev++
	o.Metadata.Revision = s.rev
	s.note(kind, true, o)
}

func (s *store) serve(daemon string, w http.ResponseWriter, r *http.Request) {
	if s.refuses != nil && s.refuses(daemon, r) {
		return
	}
	w = &lateWriter{w, s.answerTime + s.distance[daemon]/2}
	time.Sleep(s.distance[daemon] / 2)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, r, parts[0])
	case r.Method == http.MethodGet:
		s.get(w, parts[0], parts[1])
	default:
		s.change(w, r, parts)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	const pageSize = 500
	since := r.URL.Query().Get("sinceRev")
	s.mu.Lock()
	at := s.rev
	names := []string{}
	for name := range s.objects[kind] {
		if name > since {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []object{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.objects[kind][name])
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(names) > pageSize, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(wait, 30000))*time.Millisecond)
	defer cancel()
	for {
		events, at, changed, gone := s.since(kind, from)
		if gone {
			reply(w, http.StatusGone, struct{}{})
			return
		}
		if len(events) > 0 || ctx.Err() != nil {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *store) since(kind string, from int64) (events []any, at int64, changed chan struct{}, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []any{}
	if from < s.dropped || from > s.rev {
		return events, s.rev, s.changed, true
	}
	for _, c := range s.history {
		if c.kind == kind && c.at > from {
			events = append(events, map[string]any{"deleted": c.deleted, "object": c.object})
		}
	}
	return events, s.rev, s.changed, false
}

// change serves POST, PUT and DELETE.
func (s *store) change(w http.ResponseWriter, r *http.Request, parts []string) {
	var body object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	kind, name := parts[0], body.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	s.mu.Lock()
	old, ok := s.objects[kind][name]
	conflict := body.Metadata.Revision > 0 && body.Metadata.Revision != old.Metadata.Revision
	s.mu.Unlock()
	switch {
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		reply(w, http.StatusOK, struct{}{})
		return
	case r.Method == http.MethodPost && ok, r.Method == http.MethodPut && ok && conflict:
		reply(w, http.StatusConflict, old)
		return
	case r.Method == http.MethodPut && !ok:
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	s.mu.Lock()
	s.write(kind, name, func(o *object) {
		if len(parts) == 3 {
			o.Status = body.Status
		} else {
			o.Spec = body.Spec
		}
	})
	o := s.objects[kind][name]
	s.mu.Unlock()
	reply(w, http.StatusOK, o)
}

// lateWriter delays the head of a response.
type lateWriter struct {
	http.ResponseWriter
	delay time.Duration
}

// WriteHeader waits before it writes the head.
func (w *lateWriter) WriteHeader(status int) {
	time.Sleep(w.delay)
	w.ResponseWriter.WriteHeader(status)
}
