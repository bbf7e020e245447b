package trial

import (
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

// Leave tells the other daemons, from now on, which sessions this daemon serves: if a roll-out starts, they would
// otherwise take them for new ones.
func (s *Service) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.publishDeparture()
}

// publishDeparture publishes the sessions that this daemon serves, but for those on the target of a roll-out.
func (s *Service) publishDeparture() {
	s.mu.Lock()
	now := time.Now()
	rec := &peerpb.DepartureRecord{}
	for service := range s.sessions.uses {
		target := ""
		if r := s.rollouts[service]; r != nil {
			target = r.order.Target
		}
		rec.Sessions = append(rec.Sessions, sortedHashes(maps.Keys(s.sessions.onOtherVersion(service, target, now)))...)
	}
	s.mu.Unlock()
	s.publishRecord(departurePrefix+s.self, rec)
}

// withdrawDeparture empties the record of publishDeparture, which the table keeps after this process has ended. The
// other daemons have copied its sessions.
func (s *Service) withdrawDeparture() {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if leaving {
		s.publishRecord(departurePrefix+s.self, &peerpb.DepartureRecord{})
	}
}

// handleDeparture holds the sessions that a leaving daemon serves in the roll-outs of now and of the next while.
func (s *Service) handleDeparture(r relay.Record) {
	if r.Key == departurePrefix+s.self {
		return
	}
	var rec peerpb.DepartureRecord
	if err := proto.Unmarshal(r.Body, &rec); err != nil {
		s.log.Emit(event.PeerMessageWrong, "key", r.Key, "error", err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.departed.add(rec.GetSessions(), time.Now(), s.sessions.lifetime)
	for _, ro := range s.rollouts {
		ro.held.addOthers(rec.GetSessions())
	}
}
