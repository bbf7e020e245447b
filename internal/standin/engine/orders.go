package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// Order tells an engine to load exactly the versions in Serves.
type Order struct {
	Fencing int64     `json:"fencing"`
	Serves  []string  `json:"serves"`
	At      time.Time `json:"at"`
}

// defaultQuality is the quality of a version that an order loads and that the spec does not list.
const defaultQuality = 0.9

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.At = time.Now()
	e.mu.Lock()
	if e.spec.ChecksFencing && o.Fencing < e.fencing {
		e.mu.Unlock()
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.orders = append(e.orders, o)
	e.mu.Unlock()
	e.wait(r.Context(), e.spec.LoadTime)
	e.setLoadedVersions(o)
}

func (e *Engine) setLoadedVersions(o Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	loaded := map[string]float64{}
	for _, v := range o.Serves {
		loaded[v] = defaultQuality
		if q, ok := e.spec.Serves[v]; ok {
			loaded[v] = q
		}
	}
	e.loaded = loaded
}

// Orders returns the orders accepted so far.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

func (e *Engine) handleOrders(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Orders()) }
