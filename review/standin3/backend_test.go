package standin3

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// backend is one backend server of a service.
type backend struct {
	id, service, zone, version, address string
	slots                               int
	store                               *store
	// answer writes the response to a request that runs; nil answers at once.
	answer func(b *backend, w http.ResponseWriter, r *http.Request)
	// arrived is called with each request for this server.
	arrived func(b *backend, r *http.Request)

	mu     sync.Mutex
	state  string
	seq    int64
	born   int64
	last   written
	srv    *http.Server
	stop   chan struct{}
	silent atomic.Bool
}

// written is what an entry says that may change.
type written struct {
	state string
	born  int64
}

// start listens and registers the server until end is called.
func (b *backend) start() error {
	l, err := net.Listen("tcp4", b.address)
	if err != nil {
		return err
	}
	b.state, b.born, b.stop = "ready", time.Now().UnixMilli(), make(chan struct{})
	b.srv = &http.Server{Handler: b, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = b.srv.Serve(l) }()
	b.beat()
	go func() {
		for {
			select {
			case <-b.stop:
				return
			case <-time.After(heartbeat):
				b.beat()
			}
		}
	}()
	return nil
}

// beat writes the server's entry.
func (b *backend) beat() {
	if b.silent.Load() {
		return
	}
	b.mu.Lock()
	if now := (written{b.state, b.born}); now != b.last { // an entry changes when more than its number does
		b.seq++
		b.last = now
	}
	b.mu.Unlock()
	b.store.put("servers", b.id, b.entry())
}

// entry returns what the server says of itself.
func (b *backend) entry() map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	return map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": b.version, "slots": b.slots, "state": b.state,
		"coldRemainingMs": 0, "seq": b.seq, "born": b.born,
	}
}

func (b *backend) end() {
	close(b.stop)
	_ = b.srv.Close()
}

// ServeHTTP answers as PROTOCOL.md says.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", b.id)
	if r.URL.Path == "/healthz" {
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b.arrived != nil {
		b.arrived(b, r)
	}
	if b.answer != nil {
		b.answer(b, w, r)
		return
	}
	b.reply(w, r)
}

// reply writes a sound response.
func (b *backend) reply(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Response-Signature", "s."+r.Header.Get("X-Request-Id"))
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", b.id, r.Header.Get("X-Request-Id"))
}
