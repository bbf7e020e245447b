package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/Shopify/toxiproxy/v2/toxics"
)

// faults plays a series of faults that overlap, until the end.
func (s *soak) faults(until time.Time, counts map[string]int) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for time.Now().Before(until) {
		d := s.daemons[s.rng.IntN(len(s.daemons))]
		lasts := time.Duration(300+s.rng.IntN(2500)) * time.Millisecond
		name, play := s.draw(d, lasts)
		counts[name]++
		wg.Add(1)
		go func() {
			defer wg.Done()
			play()
		}()
		time.Sleep(time.Duration(100+s.rng.IntN(900)) * time.Millisecond)
	}
}

func (s *soak) draw(d *soakDaemon, lasts time.Duration) (string, func()) {
	toxic := func(kind, stream string, attributes map[string]any) func() {
		return func() {
			data, _ := json.Marshal(map[string]any{"type": kind, "stream": stream, "name": kind + stream, "attributes": attributes})
			if _, err := d.store.Toxics.AddToxicJson(strings.NewReader(string(data))); err != nil {
				return // the same trouble is there already
			}
			time.Sleep(lasts)
			_ = d.store.Toxics.RemoveToxic(context.Background(), kind+stream)
		}
	}
	switch s.rng.IntN(10) {
	case 0:
		return "term", func() { s.restart(d, syscall.SIGTERM) }
	case 1:
		return "kill", func() { s.restart(d, syscall.SIGKILL) }
	case 2:
		return "pause", func() {
			d.signal(syscall.SIGSTOP)
			time.Sleep(lasts)
			d.signal(syscall.SIGCONT)
		}
	case 3:
		return "hangup", func() { d.signal(syscall.SIGHUP) }
	case 4:
		return "storeSilent", toxic("timeout", "downstream", map[string]any{"timeout": 0})
	case 5:
		return "storeDeaf", toxic("timeout", "upstream", map[string]any{"timeout": 0})
	case 6:
		return "storeReset", toxic("reset_peer", "downstream", map[string]any{"timeout": 50})
	case 7:
		return "storeSlow", toxic("latency", "downstream", map[string]any{"latency": 200, "jitter": 100})
	case 8:
		name := fmt.Sprint("x", s.rng.IntN(1000)) // drawn here: the plan is one goroutine's
		return "configuration", func() { s.configure(name) }
	default:
		return "servers", s.servers.change
	}
}

// restarting keeps two restarts of one daemon from meeting.
var restarting sync.Map

func (s *soak) restart(d *soakDaemon, sig syscall.Signal) {
	if _, busy := restarting.LoadOrStore(d, true); busy {
		return
	}
	defer restarting.Delete(d)
	if !d.stop(sig) {
		s.find("%s did not end within its grace", d.name)
	}
	d.start()
}

// keeps the toxics that are drawn by name linked.
var _ = []toxics.Toxic{new(toxics.TimeoutToxic), new(toxics.ResetToxic), new(toxics.LatencyToxic)}
