package stage

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

// flood describes what clients that nobody controls send to each daemon.
type flood struct {
	path string
	// perSecond is the rate over all connections to one daemon.
	perSecond   int
	connections int
	lasts       time.Duration
	// fields returns the header lines of the nth request; they stay inside the limit of the header.
	fields func(n int) string
}

// endsOfFault is how often processes have to end by themselves, on machinesOfFault machines, to break the rule.
const (
	endsOfFault     = 3
	machinesOfFault = 2
)

// playFlood sends a flood and ordinary requests to two daemons, which the platform starts again when they end. The rule is
// broken once processes have ended three times on both machines, here by the platform since they exceed their memory.
func (s *site) playFlood(f flood) (verdict, error) {
	if err := s.start(machinesOfFault); err != nil {
		return failed, err
	}
	var over atomic.Bool
	stop := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() {
		s.policeMemory(stop, s.faulty)
		over.Store(true)
	})
	var sent, ok, ordinaryOK, ordinarySent atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(f.lasts)
	goesOn := func() bool { return time.Now().Before(end) && !over.Load() }
	for _, d := range s.daemons {
		for w := range f.connections {
			clients.Go(func() { floodFrom(d, f, w, goesOn, &sent, &ok) })
		}
		clients.Go(func() { callOrdinarily(d, goesOn, &ordinarySent, &ordinaryOK) })
	}
	clients.Wait()
	close(stop)
	watching.Wait()
	s.notef("the clients sent %d requests, %d were answered with 200; of %d ordinary requests %d were", sent.Load(), ok.Load(), ordinarySent.Load(), ordinaryOK.Load())
	for _, d := range s.daemons {
		s.notef("%s: at most %d MiB, ended %d times", d.name, d.peak>>20, d.ends)
	}
	switch {
	case ok.Load() == 0 || ordinaryOK.Load() == 0:
		return failed, errNoReply
	case s.faulty():
		return broken, nil
	default:
		return held, nil
	}
}

// faulty reports whether processes have ended endsOfFault times on each machine.
func (s *site) faulty() bool {
	return !slices.ContainsFunc(s.daemons, func(d *daemon) bool { return d.ends < endsOfFault })
}

// floodFrom sends the part of one connection, and opens it again when it breaks.
func floodFrom(d *daemon, f flood, w int, goesOn func() bool, sent, ok *atomic.Int64) {
	tick := time.NewTicker(time.Second * time.Duration(f.connections) / time.Duration(f.perSecond))
	defer tick.Stop()
	var c *callerConn
	for n := w; goesOn(); n += f.connections {
		<-tick.C
		if c == nil {
			var err error
			if c, err = dialFront(d); err != nil {
				c = nil
				continue
			}
		}
		sent.Add(1)
		got := c.send(request{method: http.MethodPost, path: f.path, id: fmt.Sprintf("x-%s-%07d", d.name, n), key: "key-other", deadline: 3 * time.Second, fields: f.fields(n)})
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

func callOrdinarily(d *daemon, goesOn func() bool, sent, ok *atomic.Int64) {
	for n := 0; goesOn(); n++ {
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
		path: "/look/b", perSecond: 700, connections: 48, lasts: 105 * time.Second,
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
		path: "/draft/b", perSecond: 300, connections: 40, lasts: 100 * time.Second,
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
