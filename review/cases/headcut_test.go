package cases

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	crashPart = "bad0bad0"
	// entryTTL is how long the store keeps the entry of a server that has ended.
	entryTTL   = 3600 * time.Millisecond
	soundEvery = 100 * time.Millisecond
	// soundEvents events, one each soundEventEvery, make a stream.
	soundEvents     = 60
	soundEventEvery = 50 * time.Millisecond
	// maxLate is the rule's bound, crashesBefore the crash from which contactMs counts.
	maxLate        = 3
	crashesBefore  = 5
	headCutServers = 12
	// headCutAt is how many bytes of its answer a server has written when it crashes: it cuts a line of the head.
	headCutAt = 24
	// headCutWork is the time from a request to the first byte of its answer, headCutBackAfter that from a crash to the
	// server's return.
	headCutWork      = 20 * time.Millisecond
	headCutBackAfter = 3 * time.Second
	// headCutEvery is the time between two requests with the part.
	headCutEvery = 2 * time.Second
	headCutCount = 12
	// Modes of the model servers: they crash within the head of an answer, right after it, or not at all.
	modeCut, modeWhole, modeSound = "cut", "whole", "sound"
)

type arrival struct {
	at      time.Time
	request string
}

// headCutSite starts model servers as processes and sends requests, some of them with the part.
type headCutSite struct {
	script *Script
	mode   string

	mu       sync.Mutex
	number   int
	crashes  []time.Time
	arrivals []arrival
	sentTo   map[string]*Daemon
	sound    int
	served   int
}

// runHeadCut plays a prompt part that crashes servers in the middle of the head of their answer. With CUT=whole they
// crash right after the head.
func runHeadCut(s *Script) (bool, error) {
	st := &headCutSite{script: s, mode: modeSound, sentTo: map[string]*Daemon{}}
	switch {
	case s.Trouble && os.Getenv("CUT") == modeWhole:
		st.mode = modeWhole
	case s.Trouble:
		st.mode = modeCut
	}
	for range headCutServers {
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
	time.Sleep(ContactTime)
	for n := range headCutCount {
		next := time.Now().Add(headCutEvery)
		st.send(fmt.Sprintf("bad-%d", n), s.Daemons[n%len(s.Daemons)], "f1,"+crashPart)
		time.Sleep(time.Until(next))
	}
	close(stop)
	wg.Wait()
	return st.late() > maxLate, nil
}

// late counts the requests with the part that reached servers, sent by daemons in touch, later than contactMs after the
// fifth crash.
func (st *headCutSite) late() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.script.Record.Say("%d crashes, %d requests with the part reached servers; %d of %d other requests were answered whole",
		len(st.crashes), len(st.arrivals), st.served, st.sound)
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

// startServer starts a model server and writes its entry; after a crash another one follows.
func (st *headCutSite) startServer() error {
	st.mu.Lock()
	st.number++
	id := fmt.Sprintf("i-%04d", st.number)
	zone := zones[st.number%len(zones)]
	st.mu.Unlock()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self, id, st.mode)
	cmd.Env = append(os.Environ(), caseVariable+"=headcut-server")
	cmd.SysProcAttr = endsWithScript()
	if _, err := cmd.StdinPipe(); err != nil {
		return err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		_ = cmd.Process.Kill()
		return fmt.Errorf("server %s gave no address", id)
	}
	st.script.Record.Add("server %s starts", id)
	st.script.Store.Put("servers", id, map[string]any{
		"service": "quote-writer", "address": lines.Text(), "zone": zone, "version": "v1", "slots": 48, "state": "ready",
		"coldRemainingMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	go func() {
		for lines.Scan() {
			st.mu.Lock()
			st.arrivals = append(st.arrivals, arrival{time.Now(), lines.Text()})
			st.mu.Unlock()
			st.script.Record.Add("request %s with the part reaches server %s", lines.Text(), id)
		}
		_ = cmd.Wait()
		if stopping.Load() {
			return
		}
		st.mu.Lock()
		st.crashes = append(st.crashes, time.Now())
		st.mu.Unlock()
		st.script.Record.Add("server %s crashes", id)
		time.AfterFunc(entryTTL, func() { st.script.Store.Delete("servers", id) })
		time.AfterFunc(headCutBackAfter, func() {
			if !stopping.Load() {
				_ = st.startServer()
			}
		})
	}()
	return nil
}

// sendSound sends requests that share the caller and the first part with those that crash servers.
func (st *headCutSite) sendSound(stop <-chan struct{}) {
	ticker := time.NewTicker(soundEvery)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		go func() {
			whole := st.send(fmt.Sprintf("sound-%d", n), st.script.Daemons[n%len(st.script.Daemons)], fmt.Sprintf("f1,m%d", n%7))
			st.mu.Lock()
			defer st.mu.Unlock()
			st.sound++
			if whole {
				st.served++
			}
		}()
	}
}

func (st *headCutSite) send(id string, d *Daemon, shared string) (whole bool) {
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
	return a.Status == http.StatusOK && a.Complete
}

// runHeadCutServer is a model server as a process of its own. It prints its address, and then each request with the part;
// under one of these it crashes unless its mode is sound.
func runHeadCutServer() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: headcut-server ID MODE")
		os.Exit(ExitNotRun)
	}
	id, mode := os.Args[1], os.Args[2]
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	fmt.Println(l.Addr())
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin) // ends with the process that started this one
		os.Exit(ExitHeld)
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serveHeadCut(c, id, mode)
	}
}

// serveHeadCut answers one request and closes the connection.
func serveHeadCut(c net.Conn, server, mode string) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	request := r.Header.Get("X-Request-Id")
	if r.Header.Get("X-Expect-Instance") != server {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", request, server)
		return
	}
	bad := strings.Contains(r.Header.Get("X-Prompt-Prefix"), crashPart)
	if bad {
		fmt.Println(request)
	}
	time.Sleep(headCutWork)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nX-Response-Signature: sig.%s\r\nX-Instance-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", request, request, server)
	if bad && mode == modeCut {
		_, _ = io.WriteString(c, head[:headCutAt])
		crash()
	}
	if _, err := io.WriteString(c, head); err != nil {
		return
	}
	if bad && mode == modeWhole {
		crash()
	}
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for i := first; i <= soundEvents; i++ {
		if WriteChunk(c, fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, request, i)) != nil {
			return
		}
		time.Sleep(soundEventEvery)
	}
	_ = WriteChunk(c, "")
}

// crash ends this process at once, as a fault in native code does.
func crash() {
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}
