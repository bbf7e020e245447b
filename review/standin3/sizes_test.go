package standin3

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// callsOnEach is the number of calls on the first route and on each of those that were added later; the rule needs 20.
	callsOnEach = 60
	// maxCallAttempts is how often a client tries: its call and one retry.
	maxCallAttempts = 2
)

// models are the models of the routes, smallest first.
var models = []string{"daka510000", "rada7437b5", "ravo486f6a"}

// playSizes adds a route for calls whose models the system chooses.
func playSizes(ctx context.Context, s *site) (bool, error) {
	answer := func(b *backend, w http.ResponseWriter, r *http.Request) {
		model := r.Header.Get("X-Model")
		if !slices.Contains(models, model) { // any other value receives 421
			s.printf("refused %s at %s: model %q, status 421", r.Header.Get("X-Request-Id"), b.id, model)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		s.printf("ran %s at %s: model %q", r.Header.Get("X-Request-Id"), b.id, model)
		time.Sleep(20 * time.Millisecond)
		w.Header().Set("X-Confidence", "90")
		b.reply(w, r)
	}
	for _, z := range []string{"bagmati-thamel", "bagmati-patan", "gandaki-lakeside"} {
		if _, err := s.addDaemon(z); err != nil {
			return false, err
		}
		if err := s.addBackend(&backend{id: "i-" + z, service: "drafting-models", zone: z, slots: 48, answer: answer}); err != nil {
			return false, err
		}
	}
	// On the first route the client names the model, on the later one the system does.
	first := route("note-tagging", "/note/", "safe", "drafting-models", map[string]any{"targetLatencyMs": 2000, "maxAttempts": 3, "sticky": true})
	s.configure(7, first)
	if err := s.startAll(ctx); err != nil {
		return false, err
	}
	pause(ctx, 6*time.Second)
	more := map[string]any{"targetLatencyMs": 2000, "maxAttempts": 3, "sticky": true}
	model := models[0]
	if s.trouble {
		more["sizes"], model = models, "*"
	}
	s.configure(9, first, route("note-tagging-any", "/any/", "safe", "drafting-models", more))
	pause(ctx, 5*time.Second)
	onFirst, onLater := s.call(ctx, "/note/x", models[0]), s.call(ctx, "/any/x", model)
	s.printf("served: %d of %d calls on the first route, %d of %d on the one that was added later", onFirst, callsOnEach, onLater, callsOnEach)
	return 4*onLater < onFirst, nil
}

// call sends calls on a route, each with a retry at the next daemon, and returns how many were served.
func (s *site) call(ctx context.Context, path, model string) int64 {
	var served, done atomic.Int64
	for i := range callsOnEach {
		go func() {
			defer done.Add(1)
			for try := range maxCallAttempts {
				id := fmt.Sprintf("c%s%03d.%d", path[1:4], i, try)
				d := s.daemons[(i+try)%len(s.daemons)]
				status, _ := send(ctx, d, http.MethodPost, path, id, map[string]string{
					"X-Model": model, "X-Token-Usage": "1800,24", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:341,%x:1459", id),
				})
				s.printf("answered %s by %s status=%d", id, d.name, status)
				if status == http.StatusOK {
					served.Add(1)
					return
				}
				pause(ctx, 400*time.Millisecond)
			}
		}()
		pause(ctx, 50*time.Millisecond)
	}
	for end := time.Now().Add(15 * time.Second); done.Load() < callsOnEach && time.Now().Before(end); {
		pause(ctx, 50*time.Millisecond)
	}
	return served.Load()
}
