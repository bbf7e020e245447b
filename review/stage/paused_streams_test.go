package stage

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	streamEvents = 60
	eventPause   = 50 * time.Millisecond
	// streamDeadline is that of the streams and the timeout of their route.
	streamDeadline = 25 * time.Second
)

// batch is the memory of one model server: it has room for so many runs. While there are more, the newest ones are preempted.
type batch struct {
	room int

	mu   sync.Mutex
	runs []*streamRun
}

// streamRun is a request that a model server works on.
type streamRun struct{ id string }

func (b *batch) enter(r *streamRun) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, r)
}

func (b *batch) leave(r *streamRun) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.runs {
		if other == r {
			b.runs = append(b.runs[:i], b.runs[i+1:]...)
			return
		}
	}
}

// preempted reports whether a run is one of the newest for which there is no room.
func (b *batch) preempted(r *streamRun) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.runs {
		if other == r {
			return i >= b.room
		}
	}
	return false
}

// closedByPeer returns a channel that is closed once the peer has closed the connection.
func closedByPeer(c net.Conn) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = c.Read(make([]byte, 1)) // the caller sends nothing after its request
	}()
	return closed
}

// serveStream answers with the events after Last-Event-Id. It never breaks off by itself.
func (b *batch) serveStream(s *site, server string) func(c net.Conn, r *http.Request) {
	return func(c net.Conn, r *http.Request) {
		id, after := r.Header.Get("X-Request-Id"), 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &after)
		this := &streamRun{id}
		b.enter(this)
		defer b.leave(this)
		closed := closedByPeer(c)
		s.notef("%s runs at %s after event %d", id, server, after)
		beginStream(c, r, "X-Confidence: 90\r\n")
		var pausedSince time.Time
		for n := after + 1; n <= streamEvents; {
			select {
			case <-closed:
				s.notef("%s at %s: its caller closed the connection before event %d, paused %t", id, server, n, !pausedSince.IsZero())
				return
			case <-time.After(eventPause):
			}
			if n > after+1 && b.preempted(this) { // the first event has been made before the memory runs out
				if pausedSince.IsZero() {
					pausedSince = time.Now()
				}
				continue
			}
			if !pausedSince.IsZero() {
				s.notef("%s at %s goes on after a pause of %d ms", id, server, time.Since(pausedSince).Milliseconds())
				pausedSince = time.Time{}
			}
			if writeEvent(c, n) != nil {
				return
			}
			n++
		}
		endStream(c)
	}
}

// playPausedStreams restarts a daemon while its clients receive streams that may be resumed. With the disruption, the memory of
// the two model servers is short, and the newest runs are preempted until older ones have ended. The rule is broken if the
// daemon ends a stream before its end although no server broke off, its time is not over and the last sixth of graceS has not
// begun.
func playPausedStreams(s *site, trouble bool) (verdict, error) {
	room := 48
	if trouble {
		room = 4
	}
	for i := range 2 {
		b := &batch{room: room}
		if _, err := s.newServer(i, "quote-writer", 48, b.serveStream(s, fmt.Sprintf("i-%04d", i))); err != nil {
			return failed, err
		}
	}
	s.configure(route("draft", "streaming", "quote-writer", map[string]any{
		"sizes": models(), "sticky": true, "resumable": true, "targetLatencyMs": 4000, "targetGapMs": 1000,
	}))
	if err := s.start(2); err != nil {
		return failed, err
	}
	var clients sync.WaitGroup
	counts := &streamCounts{}
	const clientCount, clientSpread = 12, 150 * time.Millisecond
	begun := time.Now()
	for w := range clientCount {
		clients.Go(func() {
			time.Sleep(time.Duration(w) * clientSpread)
			for n := 0; time.Since(begun) < 8*time.Second && s.readStream(counts, w, n); n++ {
			}
		})
	}
	time.Sleep(2500 * time.Millisecond)
	now := time.Now()
	counts.termAt.Store(&now)
	s.notef("SIGTERM to %s", s.daemons[0].name)
	p, _ := s.daemons[0].process()
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return failed, err
	}
	clients.Wait()
	s.notef("%d streams whole, %d ended by the daemon in the first five sixths of graceS, %d refused or ended later",
		counts.whole.Load(), counts.cut.Load(), counts.refused.Load())
	switch {
	case counts.whole.Load() == 0:
		return failed, errNoReply
	case counts.cut.Load() > 0:
		return broken, nil
	default:
		return held, nil
	}
}

// streamCounts counts how the clients' streams ended.
type streamCounts struct {
	// termAt is when the daemon got SIGTERM; nil before.
	termAt              atomic.Pointer[time.Time]
	whole, cut, refused atomic.Int64
}

// readStream reads the nth stream of a client from the first daemon. It returns false once the daemon has ended.
func (s *site) readStream(counts *streamCounts, client, n int) bool {
	id := fmt.Sprintf("st-%02d-%03d", client, n)
	got := sendOnce(s.daemons[0], request{
		method: http.MethodPost, path: "/draft/a", id: id, key: ordinary, deadline: streamDeadline,
		fields: fmt.Sprintf("X-Model: *\r\nX-Token-Usage: 600,240\r\nX-Prompt-Prefix: 5c1e07a2:400,91bd3f06:100,%x:100\r\n", 0x5000+client),
	})
	term := counts.termAt.Load()
	switch {
	case got.status == http.StatusOK && got.whole && lastEvent(got.body) == streamEvents:
		counts.whole.Add(1)
	case got.status == http.StatusOK && term != nil && time.Since(*term) < graceS*time.Second*5/6:
		counts.cut.Add(1)
		s.notef("%s: ended after event %d, %d ms after the SIGTERM: %v", id, lastEvent(got.body), time.Since(*term).Milliseconds(), got.err)
	case got.status == 0:
		s.notef("%s: %v", id, got.err)
		return false
	default:
		counts.refused.Add(1)
		s.notef("%s: status %d, last event %d: %v", id, got.status, lastEvent(got.body), got.err)
		time.Sleep(200 * time.Millisecond)
	}
	return true
}
