package trial

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// Key prefixes of the records that a daemon publishes.
const (
	// countsPrefix is that of the counts, which change in most rounds.
	countsPrefix = "trial/"
	// timesPrefix is that of the chunk times of old versions. They are larger and published at most every timesInterval.
	timesPrefix = "trialTimes/"
	// departurePrefix is that of the sessions of daemons that leave.
	departurePrefix = "departure/"
)

// timesInterval is the shortest time between two records of chunk times.
const timesInterval = time.Second

// publishCounts publishes this daemon's counts of the unfinished roll-outs; it returns false if there are none.
func (s *Service) publishCounts() bool {
	s.mu.Lock()
	now := time.Now()
	rec := &peerpb.TrialRecord{}
	for _, r := range s.rollouts {
		if !r.order.finished() {
			r.holdSessions(s.sessions, now, s.firstHalfShare)
			r.countSpeeds()
			rec.Services = append(rec.Services, r.countsToProto(now))
		}
	}
	s.mu.Unlock()
	if len(rec.GetServices()) == 0 {
		return false
	}
	s.publishCountsIfChanged(rec)
	return true
}

// publishCountsIfChanged publishes the record unless it differs from the last one only in elapsed times.
func (s *Service) publishCountsIfChanged(rec *peerpb.TrialRecord) {
	withoutElapsed := proto.Clone(rec).(*peerpb.TrialRecord)
	for _, t := range withoutElapsed.GetServices() {
		t.ElapsedMs = 0
	}
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(withoutElapsed)
	if err != nil || slices.Equal(body, s.lastCounts) {
		return
	}
	s.lastCounts = body
	s.publishRecord(countsPrefix+s.self, rec)
}

// publishTimes publishes the chunk times that this daemon observed in the unfinished roll-outs, if they have changed.
func (s *Service) publishTimes() {
	if time.Since(s.lastTimesAt) < timesInterval {
		return
	}
	s.mu.Lock()
	rec, changed := &peerpb.TrialRecord{}, false
	for _, r := range s.rollouts {
		if !r.order.finished() {
			rec.Services = append(rec.Services, r.timesToProto())
			changed = r.times.takeChanged() || changed
		}
	}
	s.mu.Unlock()
	if !changed {
		return
	}
	s.lastTimesAt = time.Now()
	s.publishRecord(timesPrefix+s.self, rec)
}

func (s *Service) publishRecord(key string, rec proto.Message) {
	if err := s.gossip.PublishOwn(key, rec); err != nil {
		s.log.Emit(event.PeerMessageWrong, "key", key, "error", err.Error())
	}
}

// othersRecords returns what the other daemons published under a key prefix, by service.
func (s *Service) othersRecords(prefix string) map[string][]*peerpb.ServiceTrial {
	out := map[string][]*peerpb.ServiceTrial{}
	for _, r := range s.gossip.Fleet().Prefix(prefix) {
		var rec peerpb.TrialRecord
		if r.Key == prefix+s.self || proto.Unmarshal(r.Body, &rec) != nil {
			continue
		}
		for _, t := range rec.GetServices() {
			out[t.GetService()] = append(out[t.GetService()], t)
		}
	}
	return out
}
