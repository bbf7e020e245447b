package standin3

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	evacuate = 5 * time.Second // evacuateMs
	contact  = 5 * time.Second // contactMs
)

// playEvacuation freezes one machine while the operator takes an evacuation back and orders it again.
func playEvacuation(ctx context.Context, s *site) (bool, error) {
	const firstZone, zone = "bagmati-patan", "bagmati-thamel"
	type arrival struct {
		id, daemon string
		sent       time.Time
	}
	var mu sync.Mutex
	sentBy := map[string]arrival{}
	var inZone []arrival
	arrived := func(b *backend, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		mu.Lock()
		a := sentBy[id]
		if b.zone == zone {
			inZone = append(inZone, a)
		}
		mu.Unlock()
		s.printf("ran %s at %s zone=%s", id, b.id, b.zone)
	}
	for _, z := range []string{"bagmati-thamel", "bagmati-patan", "gandaki-lakeside"} {
		if _, err := s.addDaemon(z); err != nil {
			return false, err
		}
		if err := s.addBackend(&backend{id: "i-" + z, service: "channel-core", zone: z, slots: 6, arrived: arrived}); err != nil {
			return false, err
		}
	}
	s.store.distance[s.daemons[2].name] = 60 * time.Millisecond // 30 ms one way between regions
	s.configure(7, route("availability-read", "/read/", "safe", "channel-core", nil))
	if err := s.startAll(ctx); err != nil {
		return false, err
	}
	var count atomic.Int64
	callers, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	for _, d := range s.daemons {
		go func() {
			for ; callers.Err() == nil; time.Sleep(100 * time.Millisecond) {
				go func() {
					id := fmt.Sprintf("r%06d", count.Add(1))
					mu.Lock()
					sentBy[id] = arrival{id, d.name, time.Now()}
					mu.Unlock()
					status, _ := send(callers, d, http.MethodGet, "/read/x", id, nil)
					s.printf("answered %s by %s status=%d", id, d.name, status)
				}()
			}
		}()
	}
	wait := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	order := func(zone string) time.Time {
		rev := s.store.put("evacuations", zone, struct{}{})
		s.printf("evacuation of %s acknowledged, revision %d", zone, rev)
		return time.Now()
	}
	takeBack := func(zone string) {
		s.store.remove("evacuations", zone)
		s.printf("evacuation of %s taken back", zone)
	}
	wait(4 * time.Second)
	order(firstZone)
	order(zone)
	wait(7 * time.Second)
	frozen := s.daemons[2]
	if s.trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	wait(100 * time.Millisecond)
	takeBack(firstZone)
	wait(150 * time.Millisecond)
	takeBack(zone)
	wait(350 * time.Millisecond)
	acknowledged := order(zone)
	wait(250 * time.Millisecond)
	if s.trouble {
		frozen.signal(syscall.SIGCONT)
	}
	thawed := time.Now()
	wait(15 * time.Second)
	stopCallers()
	late := 0
	mu.Lock()
	defer mu.Unlock()
	for _, a := range inZone {
		inTouch := a.daemon != frozen.name || a.sent.After(thawed.Add(contact))
		if a.sent.After(acknowledged.Add(evacuate)) && inTouch {
			late++
			s.printf("late: %s, sent %.3f s after the acknowledgement to %s", a.id, a.sent.Sub(acknowledged).Seconds(), a.daemon)
		}
	}
	s.printf("%d requests reached a server in %s later than evacuateMs after its evacuation was acknowledged, from machines in touch", late, zone)
	return late > 0, nil
}
