package cases

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	writers  = 6
	desks    = 3
	warmUp   = 3 * time.Second
	hupAfter = 500 * time.Millisecond
	// sighupSendFor is how long requests are sent after the stop signal; grace is the bound graceS.
	sighupSendFor = 2 * time.Second
	grace         = 8 * time.Second
	// sighupEvents events, one each sighupEventEvery, make a stream of two seconds; bookings take bookingTime.
	sighupEvents     = 40
	sighupEventEvery = 50 * time.Millisecond
	bookingTime      = 100 * time.Millisecond
	sighupSendEvery  = 25 * time.Millisecond
)

type sighupSite struct {
	script *Script

	mu      sync.Mutex
	runs    map[string]int
	answers []Answer
	to      map[string]*Daemon
}

// runSighup stops a daemon gracefully and tells it meanwhile that its settings file has changed.
func runSighup(s *Script) (bool, error) {
	st := &sighupSite{script: s, runs: map[string]int{}, to: map[string]*Daemon{}}
	zones := []string{"pwani-a", "kaskazini-a", "pwani-b"}
	for n := range writers + desks {
		id, service, slots := fmt.Sprintf("i-w%d", n), "quote-writer", 48
		if n >= writers {
			id, service, slots = fmt.Sprintf("i-d%d", n), "booking-desk", 6
		}
		if err := NewServer(id, service, zones[n%len(zones)], slots, s.Store, s.Record, st.handle).Start(); err != nil {
			return false, err
		}
	}
	if err := s.StartDaemons(); err != nil {
		return false, err
	}
	stopped := s.Daemons[0]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		st.send(&wg, stop)
	}()
	time.Sleep(warmUp)
	stopped.Signal(syscall.SIGTERM)
	time.Sleep(hupAfter)
	if s.Trouble {
		stopped.Signal(syscall.SIGHUP)
	}
	time.Sleep(sighupSendFor - hupAfter)
	close(stop)
	wg.Wait()
	select {
	case <-stopped.Exited():
	case <-time.After(grace):
	}
	return st.cut(stopped) > 0, nil
}

// send sends bookings and streams to the daemons in turn, each on a connection of its own.
func (st *sighupSite) send(wg *sync.WaitGroup, stop <-chan struct{}) {
	ticker := time.NewTicker(sighupSendEvery)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		d := st.script.Daemons[n%len(st.script.Daemons)]
		call := Call{
			ID: fmt.Sprintf("book-%d", n), Method: http.MethodPost, Path: "/deposit/x", Timeout: 3 * time.Second,
			Header: map[string]string{"X-Request-Deadline": "3000", "Api-Key": Key}, Body: []byte("{}"),
		}
		if n/len(st.script.Daemons)%2 == 1 {
			call.ID, call.Path, call.Timeout = fmt.Sprintf("stream-%d", n), "/rewrite/x", 25*time.Second
			call.Header["X-Request-Deadline"] = "25000"
			call.Header["X-Model"], call.Header["X-Token-Usage"] = "m1", "300,100"
			call.Header["X-Prompt-Prefix"] = fmt.Sprintf("f1:100,m%d:100,own%d:100", n%7, n)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			st.mu.Lock()
			st.to[call.ID] = d
			st.mu.Unlock()
			st.script.Record.Add("request %s to %s", call.ID, d.Name)
			a := Send(d.Caller, call)
			st.script.Record.Add("request %s answered %d, complete %t, error %v", call.ID, a.Status, a.Complete, a.Err)
			st.mu.Lock()
			st.answers = append(st.answers, a)
			st.mu.Unlock()
		}()
	}
}

// cut counts the requests that the stopped daemon had passed on to a server, and that got no complete answer. No server
// breaks off, and no request reaches its deadline.
func (st *sighupSite) cut(stopped *Daemon) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	bookings, streams := 0, 0
	for _, a := range st.answers {
		if st.to[a.ID] != stopped || a.Complete || st.runs[a.ID] == 0 {
			continue
		}
		st.script.Record.Add("request %s ran at a server and its connection ended without a complete answer", a.ID)
		if strings.HasPrefix(a.ID, "book") {
			bookings++
		} else {
			streams++
		}
	}
	st.script.Record.Say("%d bookings and %d streams were cut; none may be", bookings, streams)
	return bookings + streams
}

func (st *sighupSite) handle(s *Server, c net.Conn, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	st.mu.Lock()
	st.runs[id]++
	st.mu.Unlock()
	st.script.Record.Add("server %s runs request %s", s.ID, id)
	if strings.HasPrefix(r.URL.Path, "/deposit/") {
		time.Sleep(bookingTime)
		text := "booked " + id
		if WriteHead(c, s, r, "text/plain", len(text)) == nil {
			_, _ = c.Write([]byte(text))
		}
		return
	}
	if WriteHead(c, s, r, "text/event-stream", -1) != nil {
		return
	}
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	for i := first; i <= sighupEvents; i++ {
		if WriteChunk(c, fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, id, i)) != nil {
			return
		}
		time.Sleep(sighupEventEvery)
	}
	_ = WriteChunk(c, "")
}
