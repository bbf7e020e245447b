package peer

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// link is the connection under a mux; it ends the reads of the mux's streams when it closes.
//
// A mux closes its connection before its streams. In between a blocked read of a stream does not sleep but spins,
// unless its deadline has passed.
type link struct {
	net.Conn

	mu      sync.Mutex
	closed  bool
	streams map[*yamux.Stream]struct{}
}

func newLink(conn net.Conn) *link {
	return &link{Conn: conn, streams: map[*yamux.Stream]struct{}{}}
}

// Close ends the reads of all streams and closes the connection.
func (l *link) Close() error {
	l.mu.Lock()
	l.closed = true
	now := time.Now()
	for s := range l.streams {
		_ = s.SetReadDeadline(now) // never fails
	}
	l.mu.Unlock()
	return l.Conn.Close()
}

// watch has the link end the reads of a stream.
func (l *link) watch(s *yamux.Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams[s] = struct{}{}
	if l.closed {
		_ = s.SetReadDeadline(time.Now())
	}
}

// setDeadline sets the deadline of a stream unless the link is closed.
func (l *link) setDeadline(s *yamux.Stream, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		_ = s.SetDeadline(deadline)
	}
}

// drop closes a stream and forgets it.
func (l *link) drop(s *yamux.Stream) {
	l.mu.Lock()
	delete(l.streams, s)
	l.mu.Unlock()
	_ = s.Close() // fails only if the session is closed, and the stream with it
}
