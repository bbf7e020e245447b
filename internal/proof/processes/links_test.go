package processes

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// peerNetwork proxies the connections between daemons: it cuts them in a partition and delays them between regions.
//
// Each daemon has a proxy in front of its peer address. The proxy knows the dialing daemon by the
// source address, because each daemon dials from a loopback address of its own.
type peerNetwork struct {
	mu             sync.Mutex
	cutLinks       map[peerLink]bool
	regionByDaemon map[string]string
	daemonByIP     map[string]string
	openConns      map[net.Conn]peerLink
}

// peerLink is the direction from the dialing daemon to the dialed one, by ID.
type peerLink struct{ from, to string }

func newPeerNetwork() *peerNetwork {
	return &peerNetwork{cutLinks: map[peerLink]bool{}, regionByDaemon: map[string]string{}, daemonByIP: map[string]string{}, openConns: map[net.Conn]peerLink{}}
}

// startProxy starts the proxy in front of the daemon with the peer address target and returns the address of the proxy.
func (n *peerNetwork) startProxy(t testing.TB, daemonID, region, ip, target string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	n.mu.Lock()
	n.daemonByIP[ip] = daemonID
	n.regionByDaemon[daemonID] = region
	n.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go n.proxyConn(c, daemonID, target)
		}
	}()
	return ln.Addr().String()
}

func (n *peerNetwork) proxyConn(c net.Conn, to, target string) {
	defer c.Close()
	n.mu.Lock()
	from := n.daemonByIP[c.RemoteAddr().(*net.TCPAddr).IP.String()]
	link := peerLink{from, to}
	cut := n.cutLinks[link]
	delay := n.delay(link)
	n.openConns[c] = link
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.openConns, c)
		n.mu.Unlock()
	}()
	if cut {
		return
	}
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer upstream.Close()
	done := make(chan struct{}, 2)
	go func() { copyWithDelay(upstream, c, delay); done <- struct{}{} }()
	go func() { copyWithDelay(c, upstream, delay); done <- struct{}{} }()
	<-done
}

// delay returns the one-way delay between two daemons; the caller holds the mutex.
func (n *peerNetwork) delay(link peerLink) time.Duration {
	if n.regionByDaemon[link.from] == n.regionByDaemon[link.to] {
		return 0
	}
	return interRegionDelay
}

// delayedWrite is data that copyWithDelay has read and writes when it is due.
type delayedWrite struct {
	data   []byte
	sendAt time.Time
}

// copyWithDelay copies src to dst and delivers what each read returns after a fixed delay.
func copyWithDelay(dst io.Writer, src io.Reader, delay time.Duration) {
	if delay == 0 {
		_, _ = io.Copy(dst, src)
		return
	}
	queue := make(chan delayedWrite, 4096)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, 16<<10)
			n, err := src.Read(buf)
			if n > 0 {
				queue <- delayedWrite{buf[:n], time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for w := range queue {
		time.Sleep(time.Until(w.sendAt))
		if _, err := dst.Write(w.data); err != nil {
			return
		}
	}
}

// setPartition cuts or restores all links between two groups of daemons, in both directions, and
// closes the open connections of cut links.
func (n *peerNetwork) setPartition(partitioned bool, groupA, groupB []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range groupA {
		for _, b := range groupB {
			n.cutLinks[peerLink{a, b}], n.cutLinks[peerLink{b, a}] = partitioned, partitioned
		}
	}
	for c, link := range n.openConns {
		if n.cutLinks[link] {
			_ = c.Close()
		}
	}
}

func listenLoopback() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
