package standin3

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	badPart = "deadbeef"
	// backAfter is how long a crashed server is away.
	backAfter = 3 * time.Second
	// badEvery is the time between two requests with the part that crashes servers.
	badEvery = 6 * time.Second
	// phases is the number of times between two kills, badPerPhase that of the requests with the part in each.
	phases, badPerPhase = 3, 3
	// downFor is how long killed processes are away.
	downFor = time.Second
	// maxBadRequests is how many of them the rule allows from contactMs after the fifth crash on.
	maxBadRequests = 3
)

// engines are model servers that crash when they begin an answer to a request with badPart.
type engines struct {
	s  *site
	mu sync.Mutex
	// crashes holds the times of the crashes, arrivals the requests with the part at servers.
	crashes  []time.Time
	arrivals []badArrival
}

type badArrival struct {
	id string
	at time.Time
}

func (e *engines) answer(b *backend, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	bad := strings.Contains(r.Header.Get("X-Prompt-Prefix"), badPart)
	if bad {
		e.mu.Lock()
		e.arrivals = append(e.arrivals, badArrival{id, time.Now()})
		e.mu.Unlock()
	}
	e.s.printf("ran %s at %s bad=%t", id, b.id, bad)
	time.Sleep(100 * time.Millisecond) // the prompt is read
	w.Header().Set("X-Response-Signature", "s."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	if bad {
		_ = rc.Flush()
		e.crash(b)
		panic(http.ErrAbortHandler)
	}
	after := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &after)
	for n := after + 1; n <= 8; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		if rc.Flush() != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// crash ends the server and starts it again under its ID after a while.
func (e *engines) crash(b *backend) {
	e.mu.Lock()
	e.crashes = append(e.crashes, time.Now())
	n := len(e.crashes)
	e.mu.Unlock()
	e.s.printf("crash %d: %s", n, b.id)
	b.end()
	time.AfterFunc(backAfter, func() {
		if err := b.start(); err != nil {
			e.s.printf("%s did not start again: %v", b.id, err)
		}
	})
}

// playPoison kills all processes of the system once a part of a prompt is known to crash servers.
func playPoison(ctx context.Context, s *site) (bool, error) {
	e := &engines{s: s}
	zones := []string{"bagmati-thamel", "bagmati-patan", "gandaki-lakeside"}
	for _, z := range zones {
		if _, err := s.addDaemon(z); err != nil {
			return false, err
		}
		for i := range 3 {
			if err := s.addBackend(&backend{id: fmt.Sprintf("i-%s-%d", z, i), service: "drafting-models", zone: z, slots: 48, answer: e.answer}); err != nil {
				return false, err
			}
		}
	}
	s.configure(7, route("guest-reply", "/reply/", "streaming", "drafting-models", map[string]any{
		"timeoutMs": 20000, "targetLatencyMs": 2000, "priority": 0, "maxAttempts": 3, "sticky": true, "resumable": true, "targetGapMs": 1000,
	}))
	if err := s.startAll(ctx); err != nil {
		return false, err
	}
	starts := []time.Time{time.Now()}
	callers, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	go s.sendSound(callers)
	bads := 0
	sendBad := func() {
		bads++
		id, d := fmt.Sprintf("bad%03d", bads), s.daemons[bads%len(s.daemons)]
		s.printf("sent %s to %s", id, d.name)
		go func() {
			status, body := send(callers, d, http.MethodPost, "/reply/x", id, prompt("5c1e07a2:119,"+badPart+":79", id))
			s.printf("answered %s status=%d %.120s", id, status, strings.ReplaceAll(body, "\n", " "))
		}()
	}
	for i := range phases {
		if i > 0 && s.trouble {
			if err := s.killAll(ctx); err != nil {
				return false, err
			}
			starts = append(starts, time.Now())
		}
		for range badPerPhase {
			pause(ctx, badEvery)
			sendBad()
		}
		pause(ctx, 2*time.Second)
	}
	return e.judge(starts), nil
}

// killAll kills all processes of the system and starts them again.
func (s *site) killAll(ctx context.Context) error {
	for _, d := range s.daemons {
		d.signal(syscall.SIGKILL)
	}
	pause(ctx, downFor)
	return s.startAll(ctx)
}

// sendSound sends requests of the same caller with the same first part.
func (s *site) sendSound(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		go func() {
			id, d := fmt.Sprintf("r%06d", i), s.daemons[i%len(s.daemons)]
			status, _ := send(ctx, d, http.MethodPost, "/reply/x", id, prompt(fmt.Sprintf("5c1e07a2:119,a%d:79", i%5), id))
			s.printf("answered %s status=%d", id, status)
		}()
		pause(ctx, 100*time.Millisecond)
	}
}

func prompt(shared, own string) map[string]string {
	return map[string]string{"X-Model": "daka510000", "X-Token-Usage": "628,40", "X-Prompt-Prefix": fmt.Sprintf("%s,%x:430", shared, own)}
}

// judge counts the requests with the part that reached servers contactMs after the fifth crash, from machines in touch;
// starts are the times when the machines started.
func (e *engines) judge(starts []time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.crashes) < 5 {
		e.s.printf("%d crashes", len(e.crashes))
		return false
	}
	counted := map[string]bool{}
	from := e.crashes[4].Add(contact)
	e.s.printf("the fifth crash was %.3f s after the start", e.crashes[4].Sub(e.s.start).Seconds())
	for _, a := range e.arrivals {
		inTouch := true
		for _, t := range starts {
			inTouch = inTouch && (a.at.Before(t) || a.at.After(t.Add(contact)))
		}
		if a.at.After(from) && inTouch && !counted[a.id] {
			counted[a.id] = true
			e.s.printf("counted: %s reached a server at %.3f", a.id, a.at.Sub(e.s.start).Seconds())
		}
	}
	e.s.printf("%d crashes; %d requests with the part reached servers from contactMs after the fifth crash on, from machines in touch; %d are allowed", len(e.crashes), len(counted), maxBadRequests)
	return len(counted) > maxBadRequests
}
