package cases

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

const (
	engines      = 6
	engineEvents = 40
	// killAt is when one of the engines is killed; its entry goes after three heartbeats of silence.
	killAt            = 4 * time.Second
	engineEntryTTL    = 3600 * time.Millisecond
	unframedSendFor   = 8 * time.Second
	unframedSendEvery = 60 * time.Millisecond
)

// runUnframed kills a model server whose streams end with their connection.
func runUnframed(s *Script) (bool, error) {
	killed, err := startEngines(s)
	if err != nil {
		return false, err
	}
	if err := s.StartDaemons(); err != nil {
		return false, err
	}
	if s.Trouble {
		time.AfterFunc(killAt, func() {
			s.Record.Add("server %s is killed", engineID(0))
			_ = killed.Process.Kill()
			time.AfterFunc(engineEntryTTL, func() { s.Store.Delete("servers", engineID(0)) })
		})
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

// inputs are the pipes whose end ends the engines.
var inputs []io.WriteCloser

func engineID(n int) string { return fmt.Sprintf("i-%04d", n) }

// startEngines starts the engines as processes that end with this one, and returns the one to kill.
func startEngines(s *Script) (*exec.Cmd, error) {
	zones := []string{"pwani-a", "kaskazini-a", "pwani-b"}
	var first *exec.Cmd
	for n := range engines {
		cmd := exec.Command(os.Args[0], engineID(n), fmt.Sprint(engineEvents))
		cmd.Env = append(os.Environ(), caseVariable+"=engine")
		cmd.SysProcAttr = endsWithScript()
		in, err := cmd.StdinPipe()
		if err != nil {
			return nil, err
		}
		inputs = append(inputs, in)
		out, err := cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		if err := cmd.Start(); err != nil {
			return nil, err
		}
		if n == 0 {
			first = cmd
		}
		address, err := bufio.NewReader(out).ReadString('\n')
		if err != nil {
			return nil, err
		}
		go func() { _, _ = io.Copy(io.Discard, out) }()
		s.Store.Put("servers", engineID(n), map[string]any{
			"service": "quote-writer", "address": strings.TrimSpace(address), "zone": zones[n%len(zones)], "version": "v1", "slots": 48,
			"state": "ready", "coldRemainingMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
		})
	}
	return first, nil
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
