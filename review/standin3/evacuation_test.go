package standin3

import (
	"context"
	"syscall"
	"time"
)

// playEvacuation freezes one machine while the operator takes two evacuations back and orders one of them again.
func playEvacuation(ctx context.Context, s *site) (bool, error) {
	const firstZone, zone = "bagmati-patan", "bagmati-thamel"
	r, err := s.startReads(ctx)
	if err != nil {
		return false, err
	}
	defer r.stop()
	frozen := s.daemons[2]
	pause(ctx, 4*time.Second)
	s.orderEvacuation(firstZone)
	s.orderEvacuation(zone)
	pause(ctx, 7*time.Second)
	if s.trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	pause(ctx, 100*time.Millisecond)
	s.takeBackEvacuation(firstZone)
	pause(ctx, 150*time.Millisecond)
	s.takeBackEvacuation(zone)
	pause(ctx, 350*time.Millisecond)
	acknowledged := s.orderEvacuation(zone)
	pause(ctx, 250*time.Millisecond)
	if s.trouble {
		frozen.signal(syscall.SIGCONT)
	}
	thawed := time.Now()
	pause(ctx, 15*time.Second)
	r.stop()
	late := r.late("i-"+zone, acknowledged.Add(evacuate), func(a read) bool {
		return a.daemon != frozen.name || a.sent.After(thawed.Add(contact))
	})
	s.printf("%d requests reached a server in %s later than evacuateMs after its evacuation was acknowledged, from machines in touch", late, zone)
	return late > 0, nil
}

// orderEvacuation returns when the store acknowledged the order.
func (s *site) orderEvacuation(zone string) time.Time {
	rev := s.store.put("evacuations", zone, struct{}{})
	s.printf("evacuation of %s acknowledged, revision %d", zone, rev)
	return time.Now()
}

func (s *site) takeBackEvacuation(zone string) {
	s.store.remove("evacuations", zone)
	s.printf("evacuation of %s taken back", zone)
}
