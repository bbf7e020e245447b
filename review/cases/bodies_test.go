package cases

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	bodyServers = 12
	// bodyBytes is the limit maxBodyBytes of the configuration.
	bodyBytes = 4194304
	// memoryLimitKB is memoryMb of the settings.
	memoryLimitKB = 284 << 10
	// usualRate is the rate of requests to model servers on a machine of karamu-quotes: 81 a second on six machines.
	usualRate = 13.5
	// burstFactor and burstFor are x and for_s of a burst there.
	burstFactor = 1.7
	usualFor    = 12 * time.Second
	burstFor    = 3 * time.Second
	// prefillTime and bodyEvents events, one each soundEventEvery, make an answer.
	prefillTime   = time.Second
	bodyEvents    = 50
	maxUnanswered = 3
)

type bodySite struct {
	script *Script
	body   []byte

	mu       sync.Mutex
	passedOn map[string]bool
	closed   map[string]bool
	killed   int
	peakKB   map[string]int
}

// runBodies sends requests with the largest bodies that the configuration allows, at the usual rate and then 1.7 times as
// many, and ends a process as the platform does when its memory exceeds the limit.
func runBodies(s *Script) (bool, error) {
	st := &bodySite{script: s, body: bytes.Repeat([]byte("x"), bodyBytes), passedOn: map[string]bool{}, closed: map[string]bool{}, peakKB: map[string]int{}}
	for n := range bodyServers {
		srv := NewServer(fmt.Sprintf("i-%d", n), "quote-writer", zones[n%len(zones)], 48, s.Store, s.Record, st.handle)
		if err := srv.Start(); err != nil {
			return false, err
		}
	}
	if err := s.StartDaemons(); err != nil {
		return false, err
	}
	time.Sleep(ContactTime)
	stop := make(chan struct{})
	go st.watchMemory(stop)
	var wg sync.WaitGroup
	for _, d := range s.Daemons {
		wg.Add(1)
		go func() {
			defer wg.Done()
			st.load(d)
		}()
	}
	wg.Wait()
	close(stop)
	return st.unanswered() > maxUnanswered, nil
}

// load sends requests to a machine on kept connections.
func (st *bodySite) load(d *Daemon) {
	idle := make(chan *http.Transport, 1000)
	var wg sync.WaitGroup
	began := time.Now()
	sent := 0
	for n := 0; time.Since(began) < usualFor+burstFor; n++ {
		rate := usualRate
		if st.script.Trouble && time.Since(began) > usualFor {
			rate *= burstFactor
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
		var tr *http.Transport
		select {
		case tr = <-idle:
		default:
			tr = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
			// The first request on each connection makes it a kept one.
			if status, _ := st.send(tr, d, fmt.Sprintf("%s-first-%d", d.Name, n), nil); status == 0 {
				continue
			}
		}
		sent++
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("%s-%d", d.Name, n)
			status, err := st.send(tr, d, id, st.body)
			if status == 0 {
				st.mu.Lock()
				st.closed[id] = true
				st.mu.Unlock()
			}
			if err == nil {
				idle <- tr
			}
		}()
	}
	wg.Wait()
}

// send sends a request and returns 0 as the status if the connection ended without an answer.
func (st *bodySite) send(tr *http.Transport, d *Daemon, id string, body []byte) (status int, err error) {
	path := "/rewrite/x"
	if body == nil {
		path = "/unknown/x" // answered by the daemon itself
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+d.Caller+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return 0, err
	}
	req.ContentLength = int64(len(body))
	req.Host = Host
	for k, v := range map[string]string{
		"X-Request-Id": id, "X-Request-Deadline": "25000", "Api-Key": Key, "X-Model": "m1", "X-Token-Usage": "300,100",
		"X-Prompt-Prefix": "f1:100,own" + id + ":200",
	} {
		req.Header.Set(k, v)
	}
	st.script.Record.Add("request %s of %d bytes", id, len(body))
	resp, err := tr.RoundTrip(req)
	if err != nil {
		st.script.Record.Add("request %s: the connection ended without an answer", id)
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	st.script.Record.Add("request %s answered %d, complete %t", id, resp.StatusCode, err == nil)
	return resp.StatusCode, err
}

func (st *bodySite) handle(s *Server, c net.Conn, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	st.mu.Lock()
	st.passedOn[id] = true
	st.mu.Unlock()
	st.script.Record.Add("request %s runs at %s", id, s.ID)
	time.Sleep(prefillTime)
	if WriteHead(c, s, r, "text/event-stream", -1) != nil {
		return
	}
	for i := 1; i <= bodyEvents; i++ {
		if WriteChunk(c, fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, id, i)) != nil {
			return
		}
		time.Sleep(soundEventEvery)
	}
	_ = WriteChunk(c, "")
}

// watchMemory ends each process whose resident memory exceeds the limit, as the platform does.
func (st *bodySite) watchMemory(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, d := range st.script.Daemons {
			kb := d.residentKB()
			st.mu.Lock()
			st.peakKB[d.Name] = max(st.peakKB[d.Name], kb)
			st.mu.Unlock()
			if kb > memoryLimitKB {
				st.script.Record.Say("daemon %s uses %d MB and is killed", d.Name, kb>>10)
				d.Signal(syscall.SIGKILL)
				<-d.Exited()
				st.mu.Lock()
				st.killed++
				st.mu.Unlock()
				_ = d.Start()
			}
		}
	}
}

// residentKB returns the resident memory of the process; 0 if there is none.
func (d *Daemon) residentKB() int {
	d.mu.Lock()
	cmd := d.cmd
	d.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

// unanswered counts the requests on kept connections that reached a server and whose connection ended without an answer.
func (st *bodySite) unanswered() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	n := 0
	for id := range st.closed {
		if st.passedOn[id] {
			n++
		}
	}
	st.script.Record.Say("%d processes exceeded their memory, the peaks in KB are %v", st.killed, st.peakKB)
	st.script.Record.Say("%d requests on kept connections were passed on to a sound server and got no answer; the bound is %d", n, maxUnanswered)
	return n
}
