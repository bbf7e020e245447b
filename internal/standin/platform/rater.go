package platform

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// PoorAnswerMarker is the word that the engine stand-in writes into poor answers and that Rater looks for.
const PoorAnswerMarker = "unclear"

// Rater is the stand-in for the rating service.
type Rater struct {
	// Delay is the time that each rating takes.
	Delay time.Duration
	// down makes every rating fail by a closed connection.
	down  atomic.Bool
	rated atomic.Int64
}

// Register adds the service's API, and its fault under /control/, to a mux.
func (s *Rater) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/ratings", s.handleRate)
	mux.HandleFunc("POST /control/rater", s.handleControl)
}

func (s *Rater) handleRate(w http.ResponseWriter, r *http.Request) {
	if s.down.Load() {
		panic(http.ErrAbortHandler)
	}
	var in struct {
		Answer string `json:"answer"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(s.Delay)
	s.rated.Add(1)
	writeJSON(w, struct {
		Good bool `json:"good"`
	}{!strings.Contains(in.Answer, PoorAnswerMarker)})
}

func (s *Rater) handleControl(w http.ResponseWriter, r *http.Request) {
	var f struct {
		Down bool `json:"down"`
	}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.down.Store(f.Down)
}
