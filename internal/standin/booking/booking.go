package booking

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Faults are the switches of one booking server.
type Faults struct {
	// CloseAfterExecution executes the request, then closes without an answer.
	CloseAfterExecution bool `json:"closeAfterRead"`
	// CloseBeforeExecution closes without executing.
	CloseBeforeExecution bool `json:"closeBeforeRead"`
	// ExecutionDelayMs delays the execution, in milliseconds.
	ExecutionDelayMs int `json:"delayMs"`
	// ResponseDelayMs delays the answer after the execution, in milliseconds.
	ResponseDelayMs int `json:"answerDelayMs"`
	// Refuse answers 503 without executing.
	Refuse bool `json:"refuse"`
}

// Server is one booking server.
type Server struct {
	mu     sync.Mutex
	faults Faults
	runs   map[string]int
}

// New returns a server that executed nothing yet.
func New() *Server { return &Server{runs: map[string]int{}} }

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often each request ID was executed.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for id, n := range s.runs {
		out[id] = n
	}
	return out
}

// Handler returns the server's paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/faults", s.handleFaults)
	mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) })
	mux.HandleFunc("/", s.handleCall)
	return mux
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.CloseBeforeExecution {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if f.Refuse {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(time.Duration(f.ExecutionDelayMs) * time.Millisecond)
	// Uses the ID of the caller's request, which stays the same over attempts.
	id := r.Header.Get("Pollencourse-Request-Id")
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	if f.CloseAfterExecution {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(time.Duration(f.ResponseDelayMs) * time.Millisecond)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	writeJSON(w, struct {
		Booked string `json:"booked"`
		Bytes  int    `json:"bytes"`
	}{id, len(body)})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
