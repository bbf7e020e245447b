package peer

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"
)

// slowClose holds its Close until it is released.
type slowClose struct {
	net.Conn
	closing, release chan struct{}
}

func (c *slowClose) Close() error {
	close(c.closing)
	<-c.release
	return c.Conn.Close()
}

func TestABlockedReadEndsBeforeTheConnectionIsClosed(t *testing.T) {
	near, far := net.Pipe()
	slow := &slowClose{Conn: near, closing: make(chan struct{}), release: make(chan struct{})}
	l := newLink(slow)
	server, err := yamux.Server(l, muxConfig())
	require.NoError(t, err)
	client, err := yamux.Client(far, muxConfig())
	require.NoError(t, err)
	opened, err := client.OpenStream()
	require.NoError(t, err)
	_, err = opened.Write([]byte("x"))
	require.NoError(t, err)
	stream, err := server.AcceptStream()
	require.NoError(t, err)
	l.watch(stream)
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
	<-slow.closing
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(5 * time.Second):
		close(slow.release)
		t.Fatal("the read did not end")
	}
	l.setDeadline(stream, time.Now().Add(time.Hour))
	_, err = stream.Read(make([]byte, 1))
	require.Error(t, err, "a deadline set later does not hold up the next read")

	close(slow.release)
	<-closed
	require.NoError(t, client.Close())
}
