package ingress

import (
	"net"
	"net/http"
	"sync"
)

// connSet holds the connections that are in use: those on which a request is being read, served or answered.
//
// A handler returns before net/http has written the rest of its response, so that a count of running handlers would
// not do for a shutdown.
type connSet struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// track follows the state of a connection; see [http.Server.ConnState].
func (s *connSet) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state != http.StateActive {
		delete(s.conns, c)
		return
	}
	if s.conns == nil {
		s.conns = map[net.Conn]struct{}{}
	}
	s.conns[c] = struct{}{}
}

func (s *connSet) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
