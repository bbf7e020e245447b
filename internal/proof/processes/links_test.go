package processes

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// links carries connections between daemons and can cut or delay each pair.
//
// Daemons dial from their own IP numbers, so that a proxy in front of each daemon knows the pair.
type links struct {
	mu      sync.Mutex
	cut     map[pair]bool
	regions map[string]string
	names   map[string]string
	conns   map[net.Conn]pair
}

type pair struct{ from, to string }

func newLinks() *links {
	return &links{cut: map[pair]bool{}, regions: map[string]string{}, names: map[string]string{}, conns: map[net.Conn]pair{}}
}

// front opens a proxy before the daemon at target and returns its address.
func (l *links) front(t testing.TB, name, region, ip, target string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	l.mu.Lock()
	l.names[ip] = name
	l.regions[name] = region
	l.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(c, name, target)
		}
	}()
	return ln.Addr().String()
}

func (l *links) carry(c net.Conn, to, target string) {
	defer c.Close()
	l.mu.Lock()
	from := l.names[c.RemoteAddr().(*net.TCPAddr).IP.String()]
	p := pair{from, to}
	blocked := l.cut[p]
	d := l.delay(p)
	l.conns[c] = p
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}()
	if blocked {
		return
	}
	up, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer up.Close()
	done := make(chan struct{}, 2)
	go func() { forward(up, c, d); done <- struct{}{} }()
	go func() { forward(c, up, d); done <- struct{}{} }()
	<-done
}

// delay is the one-way time between two daemons; l.mu is held.
func (l *links) delay(p pair) time.Duration {
	if l.regions[p.from] == l.regions[p.to] {
		return 0
	}
	return regionDelay
}

type chunk struct {
	data []byte
	due  time.Time
}

// forward copies bytes, each after a delay.
func forward(dst io.Writer, src io.Reader, d time.Duration) {
	if d == 0 {
		_, _ = io.Copy(dst, src)
		return
	}
	queue := make(chan chunk, 4096)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, 16<<10)
			n, err := src.Read(buf)
			if n > 0 {
				queue <- chunk{buf[:n], time.Now().Add(d)}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range queue {
		time.Sleep(time.Until(c.due))
		if _, err := dst.Write(c.data); err != nil {
			return
		}
	}
}

// set cuts or heals all links between two groups, in both directions.
func (l *links) set(cut bool, as, bs []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range as {
		for _, b := range bs {
			l.cut[pair{a, b}], l.cut[pair{b, a}] = cut, cut
		}
	}
	for c, p := range l.conns {
		if l.cut[p] {
			_ = c.Close()
		}
	}
}

func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
