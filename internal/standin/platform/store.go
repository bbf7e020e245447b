package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pollencourse/pollencourse/internal/external/store"
)

// Faults are the faults that the store injects.
type Faults struct {
	// Down closes the connection of every call, and of the watches that are open when it is set.
	Down bool `json:"down"`
	// DelayMs delays the handling of every call.
	DelayMs int `json:"delayMs"`
	// LoseWriteResponses is the number of writes that take effect and whose connection closes without a response.
	LoseWriteResponses int `json:"loseAnswers"`
	// LoseResponsesPrefix restricts LoseWriteResponses to keys with this prefix.
	LoseResponsesPrefix string `json:"losePrefix"`
	// DropWatchEvents is the number of watch events that are not sent.
	DropWatchEvents int `json:"dropEvents"`
	// StaleReads makes reads and lists return the first version of each object.
	StaleReads bool `json:"stale"`
}

// Store is the stand-in for the object store.
type Store struct {
	mu            sync.Mutex
	revision      int64
	objects       map[string]store.Object
	firstVersions map[string]store.Object
	history       []store.Object
	// changed is closed and replaced at each write.
	changed chan struct{}
	faults  Faults
	// watchesClosed is closed and replaced when Down is set.
	watchesClosed chan struct{}
	calls         int64
	watches       int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]store.Object{}, firstVersions: map[string]store.Object{}, changed: make(chan struct{}), watchesClosed: make(chan struct{})}
}

// SetFaults replaces all faults; setting Down closes the open watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Down && !s.faults.Down {
		close(s.watchesClosed)
		s.watchesClosed = make(chan struct{})
	}
	s.faults = f
}

// Snapshot returns the objects under a prefix, sorted by key.
func (s *Store) Snapshot(prefix string) []store.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list(prefix, "")
}

func (s *Store) list(prefix, after string) []store.Object {
	var out []store.Object
	from := s.objects
	if s.faults.StaleReads {
		from = s.firstVersions
	}
	for k, o := range from {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b store.Object) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Register adds the store's API, and its faults and counts under /control/, to a mux.
func (s *Store) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/objects", s.injectFaults(s.handleList))
	mux.HandleFunc("GET /v1/objects/{key...}", s.injectFaults(s.handleGet))
	mux.HandleFunc("PUT /v1/objects/{key...}", s.injectFaults(s.handleWrite))
	mux.HandleFunc("DELETE /v1/objects/{key...}", s.injectFaults(s.handleWrite))
	mux.HandleFunc("GET /v1/watch", s.injectFaults(s.handleWatch))
	mux.HandleFunc("POST /control/store", s.handleControl)
	mux.HandleFunc("GET /control/store", s.handleCounts)
}

func (s *Store) injectFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.calls++
		s.mu.Unlock()
		time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
		if f.Down {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

func (s *Store) handleControl(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// Counts returns the number of calls so far and of open watches.
func (s *Store) Counts() (calls int64, watches int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.watches
}

func (s *Store) handleCounts(w http.ResponseWriter, _ *http.Request) {
	calls, watches := s.Counts()
	writeJSON(w, struct {
		Calls   int64 `json:"calls"`
		Watches int   `json:"watches"`
	}{calls, watches})
}

func (s *Store) handleList(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit < 1 {
		limit = 100
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := store.Page{Items: s.list(r.FormValue("prefix"), r.FormValue("after")), Revision: s.revision}
	if len(p.Items) > limit {
		p.Items, p.More = p.Items[:limit], true
	}
	if r.FormValue("fields") == "version" {
		for i := range p.Items {
			p.Items[i].Body = nil
		}
	}
	writeJSON(w, p)
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.objects
	if s.faults.StaleReads {
		from = s.firstVersions
	}
	o, ok := from[r.PathValue("key")]
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", `"`+strconv.FormatInt(o.Version, 10)+`"`)
	_, _ = w.Write(o.Body)
}

func (s *Store) handleWrite(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, store.MaxObjectBytes+1))
	if err != nil || len(body) > store.MaxObjectBytes {
		http.Error(w, "body too large or truncated", http.StatusRequestEntityTooLarge)
		return
	}
	key := r.PathValue("key")
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.preconditionHolds(r, key) {
		http.Error(w, "version differs", http.StatusPreconditionFailed)
		return
	}
	s.put(store.Object{Key: key, Body: body, Deleted: r.Method == http.MethodDelete})
	if s.faults.LoseWriteResponses > 0 && strings.HasPrefix(key, s.faults.LoseResponsesPrefix) {
		s.faults.LoseWriteResponses--
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", `"`+strconv.FormatInt(s.revision, 10)+`"`)
}

func (s *Store) preconditionHolds(r *http.Request, key string) bool {
	o, exists := s.objects[key]
	if r.Header.Get("If-None-Match") == "*" {
		return !exists
	}
	want := r.Header.Get("If-Match")
	return want == "" || exists && want == `"`+strconv.FormatInt(o.Version, 10)+`"`
}

func (s *Store) put(o store.Object) {
	s.revision++
	o.Version = s.revision
	if o.Deleted {
		delete(s.objects, o.Key)
	} else {
		s.objects[o.Key] = o
		if _, ok := s.firstVersions[o.Key]; !ok {
			s.firstVersions[o.Key] = o
		}
	}
	s.history = append(s.history, o)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.FormValue("from"), 10, 64)
	prefix := r.FormValue("prefix")
	rc := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	s.mu.Lock()
	s.watches++
	closed := s.watchesClosed
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.watches--
		s.mu.Unlock()
	}()
	_ = rc.Flush()
	for {
		events, next, changed := s.eventsSince(prefix, from)
		from = next
		for _, o := range events {
			if enc.Encode(o) != nil {
				return
			}
		}
		if rc.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-closed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince returns the events after a revision, without those that a fault drops, the current revision, and a
// channel that is closed at the next write.
func (s *Store) eventsSince(prefix string, from int64) (events []store.Object, next int64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, _ := slices.BinarySearchFunc(s.history, from+1, func(o store.Object, v int64) int { return int(o.Version - v) })
	for _, o := range s.history[i:] {
		if !strings.HasPrefix(o.Key, prefix) {
			continue
		}
		if s.faults.DropWatchEvents > 0 {
			s.faults.DropWatchEvents--
			continue
		}
		events = append(events, o)
	}
	return events, s.revision, s.changed
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
