package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// prefixBytes is the length of a prompt's list of parts; the daemon ends a header at 64 KiB.
	prefixBytes = 56 << 10
	// prefixPerSecond is the number of requests a second that the hostile caller sends to each daemon.
	prefixPerSecond = 100
	// settleFor is how long after the first of them the ordinary requests begin to count.
	settleFor = 4 * time.Second
	playFor   = 20 * time.Second
)

// playPrefixes lets one caller send requests whose prompts have very many parts.
func playPrefixes(ctx context.Context, s *site) (bool, error) {
	for _, z := range []string{"bagmati-thamel", "bagmati-patan"} {
		if _, err := s.addDaemon(z); err != nil {
			return false, err
		}
		if err := s.addBackend(&backend{id: "i-" + z, service: "channel-core", zone: z, slots: 6}); err != nil {
			return false, err
		}
	}
	s.configure(7, route("availability-read", "/read/", "safe", "channel-core", nil))
	if err := s.startAll(ctx); err != nil {
		return false, err
	}
	callers, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	pause(ctx, 2*time.Second)
	var hostile, hostileServed, asked, answered atomic.Int64
	if s.trouble {
		s.printf("a hostile caller sends %d requests a second to each daemon, each with %d bytes of prompt parts", prefixPerSecond, prefixBytes)
		for _, d := range s.daemons {
			go sendPrefixes(callers, d, &hostile, &hostileServed)
		}
	}
	from := time.Now()
	for i := 0; time.Since(from) < playFor && ctx.Err() == nil; pause(ctx, 100*time.Millisecond) {
		i++
		counts := time.Since(from) > settleFor && time.Since(from) < playFor-7*time.Second
		go func() {
			id := fmt.Sprintf("r%06d", i)
			ok := s.sendOrdinary(callers, id, i)
			if counts {
				asked.Add(1)
				if ok {
					answered.Add(1)
				}
			}
		}()
		if i%10 == 0 {
			s.printf("hostile requests sent %d, answered %d; memory of %s: %d MiB", hostile.Load(), hostileServed.Load(), s.daemons[0].name, residentBytes(s.daemons[0].cmd.Process.Pid)>>20)
		}
	}
	s.printf("hostile requests sent %d, answered %d", hostile.Load(), hostileServed.Load())
	s.printf("of %d ordinary requests %d got an answer of a server, at the first attempt or at the client's retry", asked.Load(), answered.Load())
	return 2*answered.Load() < asked.Load(), nil
}

// sendOrdinary sends a request as the pages say: one retry, at the other daemon, after the time that the first one states.
func (s *site) sendOrdinary(ctx context.Context, id string, i int) bool {
	for try := range 2 {
		d := s.daemons[(i+try)%len(s.daemons)]
		attempt := fmt.Sprintf("%s.%d", id, try)
		at := time.Now()
		status, _ := send(ctx, d, http.MethodGet, "/read/x", attempt, nil)
		s.printf("answered %s by %s status=%d after %d ms", attempt, d.name, status, time.Since(at).Milliseconds())
		if status == http.StatusOK {
			return true
		}
		pause(ctx, 300*time.Millisecond)
	}
	return false
}

func sendPrefixes(ctx context.Context, d *daemon, sent, served *atomic.Int64) {
	for n := 0; ctx.Err() == nil; pause(ctx, time.Second/prefixPerSecond) {
		n++
		var b strings.Builder
		for i := 0; b.Len() < prefixBytes; i++ {
			if i > 0 {
				b.WriteByte(',')
			}
			_, _ = fmt.Fprintf(&b, "%x:1", n<<14+i)
		}
		go func() {
			sent.Add(1)
			more := map[string]string{"X-Prompt-Prefix": b.String()[:prefixBytes], "Api-Key": otherKey}
			if status, _ := send(ctx, d, http.MethodGet, "/read/x", fmt.Sprintf("h%06d", n), more); status == http.StatusOK {
				served.Add(1)
			}
		}()
	}
}
