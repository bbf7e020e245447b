package peer

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// Traffic counts bytes and calls between daemons.
type Traffic struct {
	BytesIn  atomic.Int64
	BytesOut atomic.Int64
	Calls    atomic.Int64
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.BytesIn.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.BytesOut.Add(int64(n))
	return n, err
}

// session is one connection to a peer.
type session struct {
	node   Node
	mux    *yamux.Session
	link   *link
	dialed bool
	// used is when the session last carried a call, in Unix nanoseconds.
	used atomic.Int64

	mu   sync.Mutex
	idle []*callStream
}

// maxIdleStreams is how many streams a session keeps for later calls.
const maxIdleStreams = 8

// callStream is a stream that carries one call after another.
type callStream struct {
	stream *yamux.Stream
	reader *bufio.Reader
}

// stream returns a kept stream, or opens one.
func (s *session) stream() (*callStream, error) {
	s.mu.Lock()
	if n := len(s.idle); n > 0 {
		c := s.idle[n-1]
		s.idle = s.idle[:n-1]
		s.mu.Unlock()
		return c, nil
	}
	s.mu.Unlock()
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, err
	}
	s.link.watch(stream)
	return &callStream{stream: stream, reader: bufio.NewReader(stream)}, nil
}

// keep puts a stream aside for the next call.
func (s *session) keep(c *callStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle) >= maxIdleStreams {
		s.link.drop(c.stream)
		return
	}
	s.idle = append(s.idle, c)
}

// exchange sends one request and reads its response.
func (c *callStream) exchange(service string, req proto.Message) (*peerpb.Response, error) {
	body, err := proto.Marshal(req)
	if err != nil {
		return nil, err
	}
	if err := writeMessage(c.stream, &peerpb.Request{Service: service, Body: body}); err != nil {
		return nil, err
	}
	var out peerpb.Response
	return &out, readMessage(c.reader, &out)
}
