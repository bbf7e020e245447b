package peer

import (
	"net"
	"sync/atomic"

	"github.com/hashicorp/yamux"
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
	dialed bool
	// used is when the session last carried a call, in Unix nanoseconds.
	used atomic.Int64
}
