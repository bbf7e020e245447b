package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/decide/poison"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

const (
	// quarantinePrefix is the key prefix of the verdicts.
	quarantinePrefix = "quarantine/"
	// minSpanDivisor sets the least time from the first end to a verdict: Options.Contact divided by minSpanDivisor.
	minSpanDivisor = 2
	// objectionDivisor sets how long evidence has to suffice before it convicts a part, so that daemons that know better can
	// object: Options.Contact divided by objectionDivisor.
	objectionDivisor = 16
	// takeoverDivisor sets how long a daemon leaves the verdict to each of those of lower rank, at most maxTakeovers of them:
	// Options.Contact divided by takeoverDivisor.
	takeoverDivisor = 32
	maxTakeovers    = 8
	// tryTimeout is how long a try may take before another one may follow.
	tryTimeout = 15 * time.Second
	// tryTurn is how long the daemons leave a try to the first one; within tryTurns after it each has its turn.
	tryTurn  = 3 * time.Second
	tryTurns = 10 * time.Second
	// maxQuarantined bounds the quarantined parts, and the quarantined contents of requests; a further one lifts the
	// quarantine of the oldest of its kind.
	maxQuarantined = 128
	// liftedRecordLifetime is how long the record of a lifted quarantine is kept, for daemons that still have an older one.
	liftedRecordLifetime = 10 * time.Minute
	// minRemaining is the least time that a caller is told to wait.
	minRemaining = time.Second
)

// quarantinedPart is a part with which requests are kept from servers.
type quarantinedPart struct {
	// since is when this daemon learned of the verdict, decidedAt the deciding daemon's time of day.
	since     time.Time
	decidedAt time.Time
	decidedBy string
	reason    string
	tries     int
	ends      int
	servers   []string
	// tryRequest is the ID of the request that this daemon has let through; until tryEnds no daemon lets another one through.
	tryRequest string
	tryEnds    time.Time
}

// dueVerdicts returns the verdicts that this daemon should publish now.
func (s *Service) dueVerdicts(now time.Time) []poison.Verdict {
	rank := min(s.rank(), maxTakeovers)
	wait := s.opts.Contact/objectionDivisor + time.Duration(rank)*s.opts.Contact/takeoverDivisor
	c := poison.Case{Now: now, Servers: s.opts.Servers(), MinSpan: s.opts.Contact / minSpanDivisor, Convicted: s.isQuarantined}
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []poison.Verdict
	since := map[string]time.Time{}
	for _, v := range s.evidence.Evaluate(c) {
		since[v.Part] = s.verdictSince[v.Part]
		if since[v.Part].IsZero() {
			since[v.Part] = now
		}
		if now.Sub(since[v.Part]) >= wait {
			due = append(due, v)
		}
	}
	s.verdictSince = since
	return due
}

// convict publishes a verdict.
func (s *Service) convict(v poison.Verdict) {
	s.liftOldest(poison.IsContent(v.Part))
	s.publish(quarantinePrefix+v.Part, &peerpb.QuarantineRecord{
		Part: v.Part, Ends: int32(v.Ends), Rounds: int32(v.Rounds), Servers: v.Servers, Daemon: s.opts.VM,
		Reason:      fmt.Sprintf("%d servers ended under requests with the part, %d of them one after the other, and none of its requests was answered", v.Ends, v.Rounds),
		SinceUnixMs: time.Now().UnixMilli(),
	})
}

// failTry publishes that a server ended under a request that was let through.
func (s *Service) failTry(part, server string) {
	s.mu.Lock()
	q := s.quarantined[part]
	if q == nil {
		s.mu.Unlock()
		return
	}
	rec := q.record(part)
	rec.Tries++
	rec.Ends++
	rec.Servers = append(slices.Clone(q.servers), server)
	rec.Daemon, rec.Reason, rec.SinceUnixMs = s.opts.VM, "a server ended under the request that was let through", time.Now().UnixMilli()
	s.mu.Unlock()
	s.publish(quarantinePrefix+part, rec)
}

// liftOldest makes room for a further part or content.
func (s *Service) liftOldest(content bool) {
	s.mu.Lock()
	var kind []string
	for part := range s.quarantined {
		if poison.IsContent(part) == content {
			kind = append(kind, part)
		}
	}
	if len(kind) < maxQuarantined {
		s.mu.Unlock()
		return
	}
	oldest := slices.MinFunc(kind, func(a, b string) int { return s.quarantined[a].since.Compare(s.quarantined[b].since) })
	s.mu.Unlock()
	s.lift(oldest, "too many parts are quarantined")
}

// Lift ends the quarantine of a part in the whole fleet, and the time for which this daemon keeps it from servers by itself.
// It reports whether there was one.
func (s *Service) Lift(part, reason string) bool {
	held := s.liftHeldContent(part, reason)
	if !s.Quarantined(part) {
		return held
	}
	s.lift(part, reason)
	return true
}

func (s *Service) lift(part, reason string) {
	s.publish(quarantinePrefix+part, &peerpb.QuarantineRecord{
		Part: part, Lifted: true, Daemon: s.opts.VM, Reason: reason, SinceUnixMs: time.Now().UnixMilli(),
	})
}

// Quarantined reports whether requests with a part are kept from servers.
func (s *Service) Quarantined(part string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isQuarantined(part)
}

// handleQuarantine adopts a verdict or its end, whichever daemon published it.
func (s *Service) handleQuarantine(r relay.Record) {
	var rec peerpb.QuarantineRecord
	part := strings.TrimPrefix(r.Key, quarantinePrefix)
	if err := proto.Unmarshal(r.Body, &rec); err != nil || rec.GetPart() != part {
		s.log.Emit(event.PeerMessageWrong, "key", r.Key)
		return
	}
	if rec.GetLifted() {
		s.adoptLift(&rec)
		return
	}
	for _, fn := range s.adoptVerdict(&rec) {
		fn(part)
	}
}

func (s *Service) adoptLift(rec *peerpb.QuarantineRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.lifted[rec.GetPart()] = now
	s.evidence.Forget(rec.GetPart(), now)
	s.noteChange()
	if !s.isQuarantined(rec.GetPart()) {
		return
	}
	delete(s.quarantined, rec.GetPart())
	s.quarantinedCount.Store(int64(len(s.quarantined)))
	s.log.Emit(event.PartReleased, "part", rec.GetPart(), "by", rec.GetDaemon(), "reason", rec.GetReason())
}

// adoptVerdict returns the functions to call with the part.
func (s *Service) adoptVerdict(rec *peerpb.QuarantineRecord) []func(part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := rec.GetPart()
	old := s.quarantined[part]
	if old != nil && rec.GetTrying() && old.tries == int(rec.GetTries()) {
		old.tryEnds = time.Now().Add(tryTimeout)
	}
	if old != nil && old.tries >= int(rec.GetTries()) {
		return nil // another daemon came to the same verdict
	}
	delete(s.lifted, part)
	s.quarantined[part] = &quarantinedPart{
		since: time.Now(), decidedAt: time.UnixMilli(rec.GetSinceUnixMs()), decidedBy: rec.GetDaemon(), reason: rec.GetReason(),
		tries: int(rec.GetTries()), ends: int(rec.GetEnds()), servers: rec.GetServers(),
	}
	s.quarantinedCount.Store(int64(len(s.quarantined)))
	s.noteChange()
	s.log.Emit(event.PartQuarantined, "part", part, "ends", rec.GetEnds(), "rounds", rec.GetRounds(), "servers", rec.GetServers(),
		"tries", rec.GetTries(), "by", rec.GetDaemon(), "reason", rec.GetReason())
	return slices.Clone(s.onConvicted)
}

// Admit reports whether a request with the given shared prompt parts may be sent to a server; if not, the block says why.
func (s *Service) Admit(request string, parts []string) (block poison.Block, ok bool) {
	now := time.Now()
	if block, ok := s.admitContents(parts, now); !ok {
		return block, false
	}
	if s.quarantinedCount.Load() == 0 || len(parts) == 0 {
		return poison.Block{}, true
	}
	claims, block, ok := s.admit(request, parts, s.members.Live(), now)
	for _, rec := range claims {
		s.publish(quarantinePrefix+rec.GetPart(), rec)
	}
	return block, ok
}

// admit also returns the records that tell the other daemons that a request is let through.
func (s *Service) admit(request string, parts []string, live []member.Member, now time.Time) (claims []*peerpb.QuarantineRecord, block poison.Block, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string]*quarantinedPart{}
	for _, part := range parts {
		if q := s.quarantined[part]; q != nil {
			found[part] = q
		}
	}
	mayTry := true
	for part, q := range found {
		held := now.Sub(q.since) - s.tryDelay(part, live)
		mayTry = mayTry && poison.TryDue(part, held, q.tries, len(found) == 1) && now.After(q.tryEnds)
		if remaining := max(minRemaining, poison.Hold(part, q.tries)-now.Sub(q.since)); remaining > block.Remaining {
			block = poison.Block{Part: part, Ends: q.ends, Remaining: remaining}
		}
	}
	if !mayTry {
		s.blockedCount.Add(1)
		return nil, block, false
	}
	for part, q := range found {
		q.tryRequest, q.tryEnds = request, now.Add(tryTimeout)
		s.log.Emit(event.PartTried, "part", part, "request", request, "tries", q.tries)
		rec := q.record(part)
		rec.Trying = true
		claims = append(claims, rec)
	}
	return claims, poison.Block{}, true
}

// tryDelay returns how much longer than the others' choice this daemon waits before it tries a part. One daemon, by the hash
// of the part, does not wait. The others follow one by one, since only few requests with the part may reach that one.
func (s *Service) tryDelay(part string, live []member.Member) time.Duration {
	if len(live) == 0 || live[xxhash.Sum64String(part)%uint64(len(live))].ID == s.self {
		return 0
	}
	return tryTurn + time.Duration(xxhash.Sum64String(part+s.self)%uint64(tryTurns))
}

// record returns the record of the verdict. Callers hold s.mu.
func (q *quarantinedPart) record(part string) *peerpb.QuarantineRecord {
	return &peerpb.QuarantineRecord{
		Part: part, Tries: int32(q.tries), Ends: int32(q.ends), Servers: q.servers, Daemon: q.decidedBy, Reason: q.reason,
		SinceUnixMs: q.decidedAt.UnixMilli(),
	}
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.SortedFunc(maps.Keys(m), cmp.Compare[string])
}
