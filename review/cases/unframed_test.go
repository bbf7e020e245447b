package cases

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"time"
)

const (
	engines      = 6
	engineEvents = 40
	// unframedEngines answer some requests without length and chunks, from unframedAfter on, for unframedFor.
	unframedEngines = 3
	unframedAfter   = time.Second
	unframedFor     = 5 * time.Second
	// engineEntryTTL is three heartbeats of silence, after which the entry of a killed engine goes.
	engineEntryTTL    = 3600 * time.Millisecond
	unframedSendFor   = 8 * time.Second
	unframedSendEvery = 25 * time.Millisecond
)

// engineProcess is a started engine.
type engineProcess struct {
	id  string
	cmd *exec.Cmd
	in  io.WriteCloser
}

// runUnframed kills a model server while it writes a stream that ends with its connection.
func runUnframed(s *Script) (bool, error) {
	unframed := make(chan *engineProcess, engines*unframedOneIn)
	procs, err := startEngines(s, unframed)
	if err != nil {
		return false, err
	}
	if err := s.StartDaemons(); err != nil {
		return false, err
	}
	go func() {
		time.Sleep(unframedAfter)
		tell(s, procs[:unframedEngines], unframedOn)
		time.Sleep(unframedFor)
		tell(s, procs[:unframedEngines], unframedOff)
	}()
	if s.Trouble {
		go kill(s, unframed)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []Answer
	begin := time.Now()
	for n := 0; time.Since(begin) < unframedSendFor; n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := sendRewrite(s, n)
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		}()
		time.Sleep(unframedSendEvery)
	}
	wg.Wait()
	return checkStreams(s, answers) > 0, nil
}

// tell switches unframed answers on or off.
func tell(s *Script, procs []*engineProcess, word string) {
	for _, p := range procs {
		s.Record.Add("server %s: one answer in %d without length and chunks: %s", p.id, unframedOneIn, word)
		_, _ = fmt.Fprintln(p.in, word)
	}
}

// kill kills the first engine that writes an unframed stream.
func kill(s *Script, unframed <-chan *engineProcess) {
	p := <-unframed
	s.Record.Add("server %s is killed", p.id)
	_ = p.cmd.Process.Kill()
	time.AfterFunc(engineEntryTTL, func() { s.Store.Delete("servers", p.id) })
}

// startEngines starts the engines as processes that end with this one. They are sent to unframed for each stream of
// theirs without length and chunks.
func startEngines(s *Script, unframed chan<- *engineProcess) ([]*engineProcess, error) {
	zones := []string{"pwani-a", "kaskazini-a", "pwani-b"}
	var procs []*engineProcess
	for n := range engines {
		p := &engineProcess{id: fmt.Sprintf("i-%04d", n)}
		p.cmd = exec.Command(os.Args[0], p.id, fmt.Sprint(engineEvents))
		p.cmd.Env = append(os.Environ(), caseVariable+"=engine")
		p.cmd.SysProcAttr = endsWithScript()
		in, err := p.cmd.StdinPipe()
		if err != nil {
			return nil, err
		}
		p.in = in
		out, err := p.cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		if err := p.cmd.Start(); err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(out)
		if !lines.Scan() {
			return nil, fmt.Errorf("server %s did not start", p.id)
		}
		s.Store.Put("servers", p.id, map[string]any{
			"service": "quote-writer", "address": lines.Text(), "zone": zones[n%len(zones)], "version": "v1", "slots": 48,
			"state": "ready", "coldRemainingMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
		})
		go func() {
			for lines.Scan() {
				s.Record.Add("server %s writes the stream of %s without length and chunks", p.id, lines.Text())
				unframed <- p
			}
		}()
		procs = append(procs, p)
	}
	return procs, nil
}

func sendRewrite(s *Script, n int) Answer {
	d := s.Daemons[n%len(s.Daemons)]
	id := fmt.Sprintf("rewrite-%d", n)
	s.Record.Add("request %s to %s", id, d.Name)
	a := Send(d.Caller, Call{
		ID: id, Method: http.MethodPost, Path: "/rewrite/x", Timeout: 25 * time.Second,
		Header: map[string]string{
			"X-Request-Deadline": "25000", "Api-Key": Key, "X-Model": "m1", "X-Token-Usage": "300,100",
			"X-Prompt-Prefix": fmt.Sprintf("f1:100,m%d:100,own%d:100", n%7, n),
		},
		Body: []byte("{}"),
	})
	s.Record.Add("request %s answered %d by %s, ended as complete %t, %d events of %d", id, a.Status, a.Header.Get("X-Instance-Id"), a.Complete, eventsIn(a), engineEvents)
	return a
}

func eventsIn(a Answer) int { return bytes.Count(a.Body, []byte("\n\n")) }

// check counts the streams that ended as complete before their last event.
func checkStreams(s *Script, answers []Answer) int {
	short, whole, cut := 0, 0, 0
	for _, a := range answers {
		switch {
		case a.Status != http.StatusOK || !a.Complete:
			cut++
		case eventsIn(a) < engineEvents:
			short++
		default:
			whole++
		}
	}
	s.Record.Say("%d streams whole, %d refused or visibly cut, %d ended as complete before their last event; none may", whole, cut, short)
	return short
}
