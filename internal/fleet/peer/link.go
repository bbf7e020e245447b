package peer

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// muxConn is the connection under a yamux session; closing it first ends the reads of the session's streams.
//
// Yamux closes its connection before its streams. Between the two a blocked read of a stream spins instead of
// sleeping, unless the read deadline has passed.
type muxConn struct {
	net.Conn

	mu      sync.Mutex
	closed  bool
	streams map[*yamux.Stream]struct{}
}

func newMuxConn(conn net.Conn) *muxConn {
	return &muxConn{Conn: conn, streams: map[*yamux.Stream]struct{}{}}
}

// Close ends the reads of all streams and closes the connection.
func (c *muxConn) Close() error {
	c.mu.Lock()
	c.closed = true
	now := time.Now()
	for s := range c.streams {
		_ = s.SetReadDeadline(now) // never fails
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// track makes Close end the reads of a stream.
func (c *muxConn) track(s *yamux.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[s] = struct{}{}
	if c.closed {
		_ = s.SetReadDeadline(time.Now())
	}
}

// setStreamDeadline sets the deadline of a stream. After Close it does nothing, since a later deadline would let reads
// block again.
func (c *muxConn) setStreamDeadline(s *yamux.Stream, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		_ = s.SetDeadline(deadline)
	}
}

// closeStream closes a stream and stops tracking it.
func (c *muxConn) closeStream(s *yamux.Stream) {
	c.mu.Lock()
	delete(c.streams, s)
	c.mu.Unlock()
	_ = s.Close() // fails only if the session is closed, and the stream with it
}
