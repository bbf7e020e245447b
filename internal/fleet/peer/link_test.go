package peer

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"
)

// blockedCloseConn is a connection whose Close blocks until unblock is closed.
type blockedCloseConn struct {
	net.Conn
	closeCalled, unblock chan struct{}
}

func (c *blockedCloseConn) Close() error {
	close(c.closeCalled)
	<-c.unblock
	return c.Conn.Close()
}

// While the connection under a session closes slowly, a blocked read of a stream must end instead of using a whole
// core until the streams are closed.
func TestBlockedReadEndsBeforeConnectionCloses(t *testing.T) {
	serverConn, clientConn := net.Pipe()
	blocked := &blockedCloseConn{Conn: serverConn, closeCalled: make(chan struct{}), unblock: make(chan struct{})}
	conn := newMuxConn(blocked)
	server, err := yamux.Server(conn, muxConfig())
	require.NoError(t, err)
	client, err := yamux.Client(clientConn, muxConfig())
	require.NoError(t, err)
	opened, err := client.OpenStream()
	require.NoError(t, err)
	_, err = opened.Write([]byte("x"))
	require.NoError(t, err)
	stream, err := server.AcceptStream()
	require.NoError(t, err)
	conn.track(stream)
	ended := make(chan error, 1)
	go func() {
		_, err := io.ReadAll(stream)
		ended <- err
	}()

	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = server.Close()
	}()
	<-blocked.closeCalled
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(5 * time.Second):
		close(blocked.unblock)
		t.Fatal("the blocked read did not end")
	}
	conn.setStreamDeadline(stream, time.Now().Add(time.Hour))
	_, err = stream.Read(make([]byte, 1))
	require.Error(t, err, "a deadline that is set after Close does not let reads block again")

	close(blocked.unblock)
	<-closed
	require.NoError(t, client.Close())
}
