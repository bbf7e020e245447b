package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// flood describes what one client that nobody controls sends.
type flood struct {
	path string
	// perSecond is the rate over all its connections.
	perSecond   int
	connections int
	lasts       time.Duration
	// fields returns the header lines of its nth request; they stay inside the limit of the header.
	fields func(n int) string
}

// playFlood sends a flood to the first daemon and an ordinary request to each daemon every 100 ms. The rule is broken if a
// process ends, also by the platform since it exceeds the memory of its machine.
func (s *site) playFlood(f flood) (verdict, error) {
	if err := s.start(2); err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { s.policeMemory(stop) })
	var sent, ok, ordinaryOK, ordinarySent atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(f.lasts)
	for w := range f.connections {
		clients.Go(func() { s.floodFrom(f, w, end, &sent, &ok) })
	}
	for _, d := range s.daemons {
		clients.Go(func() { s.callOrdinarily(d, end, &ordinarySent, &ordinaryOK) })
	}
	clients.Wait()
	time.Sleep(500 * time.Millisecond)
	close(stop)
	watching.Wait()
	s.notef("the client sent %d requests, %d were answered with 200; of %d ordinary requests %d were", sent.Load(), ok.Load(), ordinarySent.Load(), ordinaryOK.Load())
	v := held
	for _, d := range s.daemons {
		s.notef("%s: at most %d MiB, running at the end: %t", d.name, d.peak>>20, d.running())
		if !d.running() {
			v = broken
		}
	}
	if ok.Load() == 0 || ordinaryOK.Load() == 0 {
		return failed, errNoReply
	}
	return v, nil
}

// allRun reports whether no daemon has ended.
func (s *site) allRun() bool {
	return !slices.ContainsFunc(s.daemons, func(d *daemon) bool { return !d.running() })
}

// floodFrom sends the part of one connection, and opens it again when it breaks.
func (s *site) floodFrom(f flood, w int, end time.Time, sent, ok *atomic.Int64) {
	tick := time.NewTicker(time.Second * time.Duration(f.connections) / time.Duration(f.perSecond))
	defer tick.Stop()
	var c *callerConn
	for n := w; time.Now().Before(end) && s.allRun(); n += f.connections {
		<-tick.C
		if c == nil {
			var err error
			if c, err = dialFront(s.daemons[0]); err != nil {
				c = nil
				continue
			}
		}
		sent.Add(1)
		got := c.send(request{method: http.MethodPost, path: f.path, id: fmt.Sprintf("x-%07d", n), key: "key-other", deadline: 3 * time.Second, fields: f.fields(n)})
		if got.err != nil {
			c.close()
			c = nil
			continue
		}
		if got.status == http.StatusOK && got.whole {
			ok.Add(1)
		}
	}
	if c != nil {
		c.close()
	}
}

func (s *site) callOrdinarily(d *daemon, end time.Time, sent, ok *atomic.Int64) {
	for n := 0; time.Now().Before(end) && s.allRun(); n++ {
		sent.Add(1)
		got := sendOnce(d, request{method: http.MethodGet, path: "/look/a", id: fmt.Sprintf("o-%s-%05d", d.name, n), key: ordinary, deadline: 3 * time.Second})
		if got.status == http.StatusOK && got.whole {
			ok.Add(1)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// startPlainServers starts the servers of the plain service.
func (s *site) startPlainServers() error {
	for i := range 3 {
		if _, err := s.newServer(i, "booking-desk", 6, func(c net.Conn, r *http.Request) {
			time.Sleep(2 * time.Millisecond)
			writeBody(c, r, strings.Repeat("x", 800))
		}); err != nil {
			return err
		}
	}
	return nil
}

// headerBytes is the length of the long field of a request. With the others the header stays below the 16,384 bytes of the
// configuration's limit.
const headerBytes = 15_000

// playModelNames sends requests whose X-Model differs each time. Without the disruption they all have the same one.
func playModelNames(s *site, trouble bool) (verdict, error) {
	if err := s.startPlainServers(); err != nil {
		return failed, err
	}
	s.configure(route("look", "safe", "booking-desk", map[string]any{"timeoutMs": 1500, "targetLatencyMs": 300, "maxAttempts": 2}))
	filler := strings.Repeat("m", headerBytes)
	return s.playFlood(flood{
		path: "/look/b", perSecond: 240, connections: 16, lasts: 80 * time.Second,
		fields: func(n int) string {
			if !trouble {
				n = 0
			}
			return fmt.Sprintf("X-Model: %s%07d\r\n", filler, n)
		},
	})
}

// playPromptParts sends requests whose prompts have other parts each time. Without the disruption they all have the same
// parts.
func playPromptParts(s *site, trouble bool) (verdict, error) {
	if err := s.startPlainServers(); err != nil {
		return failed, err
	}
	for i := range 18 {
		if _, err := s.newServer(10+i, "quote-writer", 48, func(c net.Conn, r *http.Request) {
			time.Sleep(2 * time.Millisecond)
			beginStream(c, r, "X-Confidence: 90\r\n")
			if writeEvent(c, 1) == nil {
				endStream(c)
			}
		}); err != nil {
			return failed, err
		}
	}
	s.configure(
		route("look", "safe", "booking-desk", map[string]any{"timeoutMs": 1500, "targetLatencyMs": 300, "maxAttempts": 2}),
		route("draft", "streaming", "quote-writer", map[string]any{
			"sizes": models(), "sticky": true, "resumable": true, "targetLatencyMs": 4000, "targetGapMs": 1000,
		}),
	)
	// Five hexadecimal digits are enough: the daemon records a part for each server.
	const partBytes, parts = 8, 1 << 20
	return s.playFlood(flood{
		path: "/draft/b", perSecond: 300, connections: 40, lasts: 75 * time.Second,
		fields: func(n int) string {
			if !trouble {
				n = 0
			}
			var list strings.Builder
			for i := 0; list.Len() < headerBytes-partBytes; i++ {
				if i > 0 {
					list.WriteByte(',')
				}
				_, _ = fmt.Fprintf(&list, "%05x:1", (n*headerBytes/partBytes+i)%parts)
			}
			return "X-Model: *\r\nX-Token-Usage: 1900,1\r\nX-Prompt-Prefix: " + list.String() + "\r\n"
		},
	})
}
