package stage

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// contact is contactMs of the settings.
	contact = 4 * time.Second
	// serverDownFor is how long a server that crashed is away.
	serverDownFor = 2 * time.Second
	// deadlyEvery is the time between two requests with the deadly part; soundEvery that between two others at one daemon.
	deadlyEvery = 700 * time.Millisecond
	soundEvery  = 100 * time.Millisecond
	deadlyFor   = 30 * time.Second
	// mostAfterFifth is how many requests with the part may reach servers later than contactMs after the fifth crash.
	mostAfterFifth = 3
)

// crashes counts what the servers see of the deadly part.
type crashes struct {
	site *site
	part string

	mu      sync.Mutex
	ends    int
	fifthAt time.Time
	// late counts the requests with the part that reached servers later than contactMs after the fifth crash.
	late int
	next int
}

// arrive notes a request with the part at a server, which it ends.
func (c *crashes) arrive(server, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends++
	if c.ends == 5 {
		c.fifthAt = time.Now()
	}
	if !c.fifthAt.IsZero() && time.Since(c.fifthAt) > contact {
		c.late++
	}
	c.site.notef("crash %d: %s begins to answer %s; %d late", c.ends, server, id, c.late)
}

// startServer starts the next incarnation of a server; it returns once it is registered.
func (c *crashes) startServer() error {
	c.mu.Lock()
	n := c.next
	c.next++
	c.mu.Unlock()
	var srv *server
	srv, err := c.site.newServer(n, "quote-writer", 48, func(conn net.Conn, r *http.Request) {
		prefix := r.Header.Get("X-Prompt-Prefix")
		beginStream(conn, r, "X-Confidence: 90\r\n")
		if strings.Contains(prefix, c.part+":") {
			c.arrive(srv.id, r.Header.Get("X-Request-Id"))
			srv.end()
			go c.replace(srv)
			return
		}
		for i := 1; i <= 3; i++ {
			if writeEvent(conn, i) != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		endStream(conn)
	})
	return err
}

// replace starts a server again some seconds after its crash, and lets its old entry lapse.
func (c *crashes) replace(old *server) {
	time.Sleep(serverDownFor)
	if err := c.startServer(); err != nil {
		c.site.notef("a server does not come back: %v", err)
	}
	time.Sleep(3*1200*time.Millisecond - serverDownFor)
	c.site.store.remove("servers", old.id)
}

// playUnreadablePart sends requests with a prompt part that crashes servers, no two alike, to all daemons, beside sound ones.
// With the disruption, the ID of that part holds a byte that is no text. The rule is broken if more than three requests with
// the part reach servers later than contactMs after the fifth crash.
func playUnreadablePart(s *site, trouble bool) (verdict, error) {
	c := &crashes{site: s, part: "dead0e97"}
	if trouble {
		c.part = "dead0\xe97"
	}
	for range 8 {
		if err := c.startServer(); err != nil {
			return failed, err
		}
	}
	s.configure(route("draft", "streaming", "quote-writer", map[string]any{
		"sizes": models(), "sticky": true, "resumable": true, "targetLatencyMs": 4000, "targetGapMs": 1000,
	}))
	if err := s.start(3); err != nil {
		return failed, err
	}
	send := func(d *daemon, id, shared, own string) reply {
		return sendOnce(d, request{
			method: http.MethodPost, path: "/draft/a", id: id, key: ordinary, deadline: 10 * time.Second,
			fields: "X-Model: *\r\nX-Token-Usage: 600,80\r\nX-Prompt-Prefix: 5c1e07a2:300," + shared + ":100," + own + ":200\r\n",
		})
	}
	var sound, whole atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(deadlyFor)
	for i, d := range s.daemons {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				clients.Go(func() {
					sound.Add(1)
					if got := send(d, fmt.Sprintf("s-%d-%04d", i, n), fmt.Sprintf("%x", 0xb000+n%40), fmt.Sprintf("%x", 0x100000+1000*i+n)); got.status == http.StatusOK && got.whole {
						whole.Add(1)
					}
				})
				time.Sleep(soundEvery)
			}
		})
	}
	time.Sleep(3 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		clients.Go(func() {
			id := fmt.Sprintf("deadly-%03d", n)
			got := send(s.daemons[n%len(s.daemons)], id, c.part, fmt.Sprintf("%x", 0x900000+n))
			s.notef("%s at %s: status %d, %v", id, s.daemons[n%len(s.daemons)].name, got.status, got.err)
		})
		time.Sleep(deadlyEvery)
	}
	clients.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	s.notef("%d crashes, %d requests with the part reached servers later than contactMs after the fifth; %d of %d sound requests answered whole", c.ends, c.late, whole.Load(), sound.Load())
	switch {
	case c.ends < 5 || whole.Load() == 0:
		return failed, errNoReply
	case c.late > mostAfterFifth:
		return broken, nil
	default:
		return held, nil
	}
}
