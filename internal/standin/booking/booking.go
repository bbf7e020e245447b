package booking

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Faults are the faults that a booking server injects into every request.
type Faults struct {
	// CloseAfterExecution executes the request, then closes the connection without a response.
	CloseAfterExecution bool `json:"closeAfterRead"`
	// CloseBeforeExecution closes the connection without executing the request.
	CloseBeforeExecution bool `json:"closeBeforeRead"`
	// ExecutionDelayMs delays the execution.
	ExecutionDelayMs int `json:"delayMs"`
	// ResponseDelayMs delays the response after the execution.
	ResponseDelayMs int `json:"answerDelayMs"`
	// Refuse responds with 503 without executing the request.
	Refuse bool `json:"refuse"`
}

// Server is one booking server.
type Server struct {
	mu     sync.Mutex
	faults Faults
	runs   map[string]int
}

// New returns a server without faults or executions.
func New() *Server { return &Server{runs: map[string]int{}} }

// SetFaults replaces all faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the number of executions of each request ID.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for id, n := range s.runs {
		out[id] = n
	}
	return out
}

// Handler serves the service and, under /control/, the faults and the executions.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/faults", s.handleFaults)
	mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) })
	mux.HandleFunc("/", s.handleRequest)
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

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
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
	// The ID of the caller's request, which is the same in all of its attempts.
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
