package cases

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	serverCount = 12
	crashPart   = "bad0bad0"
	// crashDelay is the time from the head of an answer to the crash, backAfter that to the server's return.
	crashDelay = 20 * time.Millisecond
	backAfter  = 3 * time.Second
	entryTTL   = 3600 * time.Millisecond
	// badEvery is the time between two requests with the part.
	badEvery   = 6 * time.Second
	badCount   = 6
	soundEvery = 100 * time.Millisecond
	// soundEvents events, one each soundEventEvery, make a stream.
	soundEvents     = 60
	soundEventEvery = 50 * time.Millisecond
	// killAfter is the time from the third request with the part until all daemons are killed; downTime that to their
	// start.
	killAfter = 500 * time.Millisecond
	downTime  = time.Second
	// maxLate is the rule's bound, crashesBefore the crash from which contactMs counts.
	maxLate       = 3
	crashesBefore = 5
)

type arrival struct {
	at      time.Time
	request string
}

type quarantineSite struct {
	script *Script

	mu       sync.Mutex
	number   int
	crashes  []time.Time
	arrivals []arrival
	sentTo   map[string]*Daemon
}

// runQuarantine plays a prompt part that crashes servers, and kills all daemons once they keep it from the servers.
func runQuarantine(s *Script) (bool, error) {
	st := &quarantineSite{script: s, sentTo: map[string]*Daemon{}}
	for range serverCount {
		if err := st.startServer(); err != nil {
			return false, err
		}
	}
	if err := s.StartDaemons(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		st.sendSound(stop)
	}()
	time.Sleep(2 * time.Second)
	// A second request right after this one makes sure that five servers have crashed before the daemons agree on a verdict.
	st.send("bad-first", s.Daemons[len(s.Daemons)-1], "f1,"+crashPart)
	for n := range badCount {
		next := time.Now().Add(badEvery)
		st.send(fmt.Sprintf("bad-%d", n), s.Daemons[n%len(s.Daemons)], "f1,"+crashPart)
		if n == 2 && s.Trouble {
			time.Sleep(time.Until(next.Add(killAfter - badEvery)))
			if err := st.restartAll(); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(next))
	}
	close(stop)
	wg.Wait()
	return st.late() > maxLate, nil
}

// restartAll kills all daemons at the same moment and starts them again.
func (st *quarantineSite) restartAll() error {
	st.script.Each(func(d *Daemon) { d.Kill() })
	st.script.Record.Say("all daemons were killed")
	time.Sleep(downTime)
	return st.script.StartDaemons()
}

// late counts the requests with the part that reached servers, sent by daemons in touch later than contactMs after the
// fifth crash.
func (st *quarantineSite) late() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.script.Record.Say("%d crashes, %d requests with the part reached servers", len(st.crashes), len(st.arrivals))
	if len(st.crashes) < crashesBefore {
		return 0
	}
	bound := st.crashes[crashesBefore-1].Add(ContactTime)
	late := 0
	for _, a := range st.arrivals {
		if a.at.After(bound) && a.at.After(st.sentTo[a.request].StartedAt().Add(ContactTime)) {
			late++
		}
	}
	st.script.Record.Say("%d of them later than contactMs after the fifth crash, from daemons in touch; the bound is %d", late, maxLate)
	return late
}

func (st *quarantineSite) startServer() error {
	st.mu.Lock()
	st.number++
	n := st.number
	st.mu.Unlock()
	zones := []string{"pwani-a", "kaskazini-a", "pwani-b"}
	return NewServer(fmt.Sprintf("i-%04d", n), "quote-writer", zones[n%len(zones)], 48, st.script.Store, st.script.Record, st.handle).Start()
}

// handle streams 20 events in a second, or crashes as it begins to answer a request with the part.
func (st *quarantineSite) handle(s *Server, c net.Conn, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	bad := strings.Contains(r.Header.Get("X-Prompt-Prefix"), crashPart)
	if bad {
		st.mu.Lock()
		st.arrivals = append(st.arrivals, arrival{time.Now(), id})
		st.mu.Unlock()
		st.script.Record.Add("request %s with the part reaches server %s", id, s.ID)
	}
	time.Sleep(20 * time.Millisecond)
	if WriteHead(c, s, r, "text/event-stream", -1) != nil {
		return
	}
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	if bad {
		time.Sleep(crashDelay)
		if s.Crash() {
			st.mu.Lock()
			st.crashes = append(st.crashes, time.Now())
			st.mu.Unlock()
			time.AfterFunc(entryTTL, func() { st.script.Store.Delete("servers", s.ID) })
			time.AfterFunc(backAfter, func() { _ = st.startServer() })
		}
		return
	}
	if st.writeEvents(c, id, first, soundEvents) {
		_ = WriteChunk(c, "")
	}
}

// writeEvents writes the events from first to last and reports whether the connection took them.
func (st *quarantineSite) writeEvents(c net.Conn, id string, first, last int) bool {
	for i := first; i <= last; i++ {
		if WriteChunk(c, fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, id, i)) != nil {
			return false
		}
		time.Sleep(soundEventEvery)
	}
	return true
}

// sendSound sends requests that share the first part with those that crash servers.
func (st *quarantineSite) sendSound(stop <-chan struct{}) {
	ticker := time.NewTicker(soundEvery)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		go st.send(fmt.Sprintf("sound-%d", n), st.script.Daemons[n%len(st.script.Daemons)], fmt.Sprintf("f1,m%d", n%7))
	}
}

func (st *quarantineSite) send(id string, d *Daemon, shared string) {
	st.mu.Lock()
	st.sentTo[id] = d
	st.mu.Unlock()
	st.script.Record.Add("request %s to %s", id, d.Name)
	parts := strings.Split(shared+",own"+id, ",")
	a := Send(d.Caller, Call{
		ID: id, Method: http.MethodPost, Path: "/rewrite/x", Timeout: 25 * time.Second,
		Header: map[string]string{
			"X-Request-Deadline": "25000", "Api-Key": Key, "X-Model": "m1", "X-Token-Usage": "300,100",
			"X-Prompt-Prefix": strings.Join(parts, ":100,") + ":100",
		},
		Body: []byte("{}"),
	})
	st.script.Record.Add("request %s answered %d, complete %t", id, a.Status, a.Complete)
}
