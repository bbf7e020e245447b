package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// writeChunkBytes and writeTimeout bound the time for which a caller that does not read holds a response: each
	// chunk has to be taken within the timeout.
	writeChunkBytes = 16 << 10
	writeTimeout    = 10 * time.Second
)

// Listener accepts connections that count in an account.
type Listener struct {
	net.Listener
	account *Account
}

// Listen returns a listener whose connections count in an account.
func Listen(l net.Listener, account *Account) *Listener { return &Listener{l, account} }

// Accept implements [net.Listener]. It closes connections for which there is no room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &Conn{Conn: c}
		if conn.entry = l.account.open(ownerOf(c), conn.drop); conn.entry != nil {
			return conn, nil
		}
		_ = c.Close() // the caller may have closed it before
	}
}

// ownerOf returns the address that a connection comes from.
func ownerOf(c net.Conn) string {
	address := c.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

// Conn is a connection that counts in an account.
type Conn struct {
	net.Conn
	entry *Entry

	mu sync.Mutex
	// bodyDropped is true once no more of a request's body is to be read.
	bodyDropped bool
}

// Read implements [net.Conn].
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.entry.received(n) {
		_ = c.Close() // the caller may have closed it before
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements [net.Conn]; it fails if the caller takes too long to read.
func (c *Conn) Write(p []byte) (int, error) {
	c.entry.progressed()
	c.entry.writing.Store(true)
	defer c.entry.writing.Store(false)
	written := 0
	for {
		chunk := p[written:min(len(p), written+writeChunkBytes)]
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
		c.entry.progressed()
	}
}

// SetReadDeadline implements [net.Conn]; after the body was dropped, reads fail at once.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bodyDropped {
		t = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending side, with which net/http lets the caller read a response to a body that is not read.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return c.Close()
}

// Close implements [net.Conn].
func (c *Conn) Close() error {
	c.entry.close()
	return c.Conn.Close()
}

// drop ends the connection, or only the request body that is being read.
func (c *Conn) drop(closes bool) {
	if closes {
		_ = c.Conn.Close() // the caller may have closed it before
		return
	}
	c.mu.Lock()
	c.bodyDropped = true
	c.mu.Unlock()
	_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
}

type entryKey struct{}

// ConnContext is the ConnContext of an [http.Server] that serves a [Listener].
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*Conn); ok {
		return context.WithValue(ctx, entryKey{}, conn.entry)
	}
	return ctx
}

// ConnState is the ConnState of an [http.Server] that serves a [Listener].
func ConnState(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*Conn); ok && state == http.StateIdle {
		conn.entry.waits()
	}
}

// FromContext returns the entry of the connection that a request came on; nil if it came on no [Listener].
func FromContext(ctx context.Context) *Entry {
	e, _ := ctx.Value(entryKey{}).(*Entry)
	return e
}
