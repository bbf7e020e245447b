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

// Traffic counts the bytes of all connections to peers and the calls made by this daemon.
type Traffic struct {
	BytesIn  atomic.Int64
	BytesOut atomic.Int64
	Calls    atomic.Int64
}

// countingConn counts the bytes that are read from and written to a connection.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.BytesIn.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.BytesOut.Add(int64(n))
	return n, err
}

// session is a multiplexed connection to a peer.
type session struct {
	node    Node
	mux     *yamux.Session
	muxConn *muxConn
	dialed  bool
	// lastUsedUnixNano is when the session last carried a call.
	lastUsedUnixNano atomic.Int64

	mu          sync.Mutex
	idleStreams []*callStream
}

// maxIdleStreams is the number of open streams that a session keeps for later calls.
const maxIdleStreams = 8

// callStream is a stream that carries calls one after another.
type callStream struct {
	stream *yamux.Stream
	reader *bufio.Reader
}

// acquireStream returns an idle stream, or opens one.
func (s *session) acquireStream() (*callStream, error) {
	s.mu.Lock()
	if n := len(s.idleStreams); n > 0 {
		c := s.idleStreams[n-1]
		s.idleStreams = s.idleStreams[:n-1]
		s.mu.Unlock()
		return c, nil
	}
	s.mu.Unlock()
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, err
	}
	s.muxConn.track(stream)
	return &callStream{stream: stream, reader: bufio.NewReader(stream)}, nil
}

// releaseStream keeps a stream for the next call, or closes it if enough are idle.
func (s *session) releaseStream(c *callStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idleStreams) >= maxIdleStreams {
		s.muxConn.closeStream(c.stream)
		return
	}
	s.idleStreams = append(s.idleStreams, c)
}

// roundTrip sends one request and reads its response.
func (c *callStream) roundTrip(service string, req proto.Message) (*peerpb.Response, error) {
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
