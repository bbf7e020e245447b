package standin3

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	contact      = 5 * time.Second // contactMs
	evacuate     = 5 * time.Second // evacuateMs
	drain        = 4 * time.Second // drainMs
	readInterval = 100 * time.Millisecond
	// regionDistance is the way to the store and back from another region.
	regionDistance = 60 * time.Millisecond
)

// read is one request for a plain service.
type read struct {
	id, daemon string
	sent       time.Time
}

// reads are the requests that callers send to all daemons, and the servers that they reached.
type reads struct {
	s     *site
	count atomic.Int64

	mu   sync.Mutex
	sent map[string]read
	// reached holds the requests that reached each server.
	reached map[string][]read
	stop    context.CancelFunc
}

// startReads starts a daemon and a server in each of three zones, and callers that send requests to each daemon.
func (s *site) startReads(ctx context.Context) (*reads, error) {
	r := &reads{s: s, sent: map[string]read{}, reached: map[string][]read{}}
	for _, z := range []string{"bagmati-thamel", "bagmati-patan", "gandaki-lakeside"} {
		if _, err := s.addDaemon(z); err != nil {
			return nil, err
		}
		if err := s.addBackend(&backend{id: "i-" + z, service: "channel-core", zone: z, slots: 6, arrived: r.arrived}); err != nil {
			return nil, err
		}
	}
	s.store.distance[s.daemons[2].name] = regionDistance
	s.configure(7, route("availability-read", "/read/", "safe", "channel-core", nil))
	if err := s.startAll(ctx); err != nil {
		return nil, err
	}
	callers, stop := context.WithCancel(ctx)
	r.stop = stop
	for _, d := range s.daemons {
		go func() {
			for ; callers.Err() == nil; pause(callers, readInterval) {
				go r.send(callers, d)
			}
		}()
	}
	return r, nil
}

func (r *reads) send(ctx context.Context, d *daemon) {
	id := fmt.Sprintf("r%06d", r.count.Add(1))
	r.mu.Lock()
	r.sent[id] = read{id, d.name, time.Now()}
	r.mu.Unlock()
	status, _ := send(ctx, d, http.MethodGet, "/read/x", id, nil)
	r.s.printf("answered %s by %s status=%d", id, d.name, status)
}

func (r *reads) arrived(b *backend, req *http.Request) {
	id := req.Header.Get("X-Request-Id")
	r.s.printf("ran %s at %s zone=%s", id, b.id, b.zone)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reached[b.id] = append(r.reached[b.id], r.sent[id])
}

// late counts the requests that reached a server and were sent after a time, for which counts is true.
func (r *reads) late(server string, from time.Time, counts func(read) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, a := range r.reached[server] {
		if a.sent.After(from) && counts(a) {
			n++
			r.s.printf("late: %s, sent to %s %.3f s after the bound", a.id, a.daemon, a.sent.Sub(from).Seconds())
		}
	}
	return n
}
