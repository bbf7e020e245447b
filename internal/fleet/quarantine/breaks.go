package quarantine

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/decide/poison"
)

const (
	// breakWindow is the time within which all connections to a server that has ended break.
	breakWindow = 100 * time.Millisecond
	// probeTimeout bounds the connection attempt that shows whether a server has ended.
	probeTimeout = 400 * time.Millisecond
	// maxSuspectsPerEnd and maxReportedEnds bound a report, whatever requests hold.
	maxSuspectsPerEnd = 32
	maxReportedEnds   = 48
	// maxContentsPerEnd bounds the contents of requests among the suspects of an end.
	maxContentsPerEnd = 8
	// maxLoggedRequests bounds the requests that a log line names.
	maxLoggedRequests = 8
)

// incarnation identifies a server process.
type incarnation struct {
	id   string
	born int64
}

func (i incarnation) String() string { return fmt.Sprintf("%s/%d", i.id, i.born) }

// serverBreaks holds the attempts at one server process whose connections broke at about the same time.
type serverBreaks struct {
	at       time.Time
	attempts []brokenAttempt
}

// brokenAttempt is an attempt whose connection ended.
type brokenAttempt struct {
	poison.Attempt
	// whole is true if the response was whole unless its server ended.
	whole bool
	// judge tells the router whether to count the attempt as a failure of the server's version.
	judge func(counts bool)
}

// answering reports whether the answer had begun less than poison.Probation before the server ended.
func (a *brokenAttempt) answering(endAt time.Time) bool {
	return !a.AnswerBegan.IsZero() && endAt.Sub(a.AnswerBegan) < poison.Probation
}

// Sound records that the answer to an attempt was whole, or went on for poison.Probation.
func (s *Service) Sound(a poison.Attempt) {
	now := time.Now()
	for _, part := range a.Parts {
		s.cleared.Add(part, now)
	}
	if s.quarantinedCount.Load() == 0 {
		return
	}
	for _, part := range a.Parts {
		if s.Quarantined(part) {
			s.lift(part, "a request with the part was answered")
		}
	}
}

// Broken records that the connection of an attempt broke. Once it is known whether the server has ended, judge is told
// whether the attempt counts as a failure of the server's version: of those that end with a server, one does.
func (s *Service) Broken(a poison.Attempt, judge func(counts bool)) {
	s.addBreak(brokenAttempt{Attempt: a, judge: judge})
}

// Closed records a response that is whole only if its server has not ended: nothing but the end of the connection
// marked its end.
func (s *Service) Closed(a poison.Attempt) {
	now := time.Now()
	if !slices.ContainsFunc(a.Parts, func(part string) bool {
		at, ok := s.cleared.Peek(part)
		return !ok || now.Sub(at) > poison.ClearedFor/2
	}) {
		return // nothing to learn
	}
	s.addBreak(brokenAttempt{Attempt: a, whole: true, judge: func(bool) {}})
}

func (s *Service) addBreak(a brokenAttempt) {
	key := incarnation{a.Server, a.Incarnation}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.breaks[key]
	if b == nil {
		b = &serverBreaks{at: time.Now()}
		s.breaks[key] = b
		go s.settleBreaks(key, b, a.Address)
	}
	b.attempts = append(b.attempts, a)
}

// settleBreaks finds out whether a server has ended and records the consequences.
func (s *Service) settleBreaks(key incarnation, b *serverBreaks, address string) {
	ended := s.HasEnded(address)
	time.Sleep(time.Until(b.at.Add(breakWindow)))
	// A process that ends may close its connections before its listener.
	ended = ended || s.HasEnded(address)
	s.mu.Lock()
	delete(s.breaks, key)
	s.mu.Unlock()
	if ended {
		s.recordEnd(key, b)
	}
	counted := false
	for i := range b.attempts {
		a := &b.attempts[i]
		if !ended && a.whole {
			s.Sound(a.Attempt)
		}
		a.judge(!ended || !counted)
		counted = counted || !a.whole
	}
}

// HasEnded reports whether nothing listens at a server's address. A server that is out of reach may still run.
func (s *Service) HasEnded(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := s.opts.Dial(ctx, address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// recordEnd adds the end of a server to this daemon's report.
func (s *Service) recordEnd(key incarnation, b *serverBreaks) {
	end := poison.End{Server: key.String(), At: b.at, Suspects: s.suspects(b)}
	var parts, requests []string
	for _, sus := range end.Suspects {
		if !slices.Contains(parts, sus.Part) {
			parts = append(parts, sus.Part)
		}
	}
	for i := range b.attempts {
		if a := &b.attempts[i]; len(requests) < maxLoggedRequests && a.answering(b.at) {
			requests = append(requests, a.Request)
		}
	}
	alone := len(s.members.Live()) <= 1
	s.log.Emit(event.ServerEnded, "server", key.id, "born", key.born, "attempts", len(b.attempts), "answering", requests, "suspects", parts)
	s.mu.Lock()
	var failedTries []string
	for part, q := range s.quarantined {
		if slices.ContainsFunc(b.attempts, func(a brokenAttempt) bool { return a.Request == q.tryRequest && slices.Contains(a.Parts, part) }) {
			failedTries = append(failedTries, part)
		}
	}
	s.ownEnds = append(s.ownEnds, end)
	if len(s.ownEnds) > maxReportedEnds {
		s.ownEnds = slices.Delete(s.ownEnds, 0, len(s.ownEnds)-maxReportedEnds)
	}
	s.evidence.Replace(s.opts.VM, s.ownEnds)
	s.holdContents(end, alone)
	s.noteChange()
	s.mu.Unlock()
	for _, part := range failedTries {
		s.failTry(part, key.String())
	}
}

// suspects returns the parts of the attempts that a server ended under, but for those that this daemon has seen cleared. If
// there are too many, those that were suspects before come first, then those of the answers that began last. At most
// maxContentsPerEnd of them are contents.
func (s *Service) suspects(b *serverBreaks) []poison.Suspect {
	byPart := map[string]poison.Suspect{}
	for i := range b.attempts {
		for _, sus := range s.suspectsOf(&b.attempts[i], b.at) {
			if known, ok := byPart[sus.Part]; ok {
				sus = known.Merge(sus)
			}
			byPart[sus.Part] = sus
		}
	}
	seen := map[string]int{}
	for part := range byPart {
		if s.suspected.Contains(part) {
			seen[part] = 1
		}
	}
	for part := range byPart {
		s.suspected.Add(part, struct{}{})
	}
	out := slices.SortedFunc(maps.Values(byPart), func(x, y poison.Suspect) int {
		return cmp.Or(cmp.Compare(seen[y.Part], seen[x.Part]), cmp.Compare(x.Exposure, y.Exposure), strings.Compare(x.Part, y.Part))
	})
	contents := 0
	out = slices.DeleteFunc(out, func(sus poison.Suspect) bool {
		if poison.IsContent(sus.Part) {
			contents++
		}
		return poison.IsContent(sus.Part) && contents > maxContentsPerEnd
	})
	return out[:min(len(out), maxSuspectsPerEnd)]
}

// suspectsOf returns the suspects that one attempt brings to the end of its server. The content of a request that waits is
// none: it is no more likely than that of any other.
func (s *Service) suspectsOf(a *brokenAttempt, endAt time.Time) []poison.Suspect {
	answering, exposure := !a.AnswerBegan.IsZero(), endAt.Sub(a.SentAt)
	if answering {
		exposure = endAt.Sub(a.AnswerBegan)
	}
	if answering && exposure >= poison.Probation {
		return nil
	}
	var out []poison.Suspect
	for _, part := range a.Parts {
		at, cleared := s.cleared.Peek(part)
		if cleared && endAt.Sub(at) < poison.ClearedFor || poison.IsContent(part) && !answering {
			continue
		}
		out = append(out, poison.Suspect{Part: part, SentAt: a.SentAt, Answering: answering, Exposure: exposure})
	}
	return out
}
