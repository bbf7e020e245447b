package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/decide/poison"
)

const (
	// heldAfterEnds is how many servers a daemon sees end under the content of a request before it sends it on no more,
	// whatever the other daemons have seen.
	heldAfterEnds = 3
	// maxContentHold bounds the time for which it does so. The time is Options.Contact, in which the fleet can convict the
	// content, and doubles with each further end. A daemon without live peers has no other daemon's evidence to wait for and
	// holds the content for maxContentHold at once.
	maxContentHold = time.Minute
	// maxHeldContents bounds the contents that a daemon keeps from servers by itself.
	maxHeldContents = 256
)

// holdContents keeps the contents under which this daemon has seen enough servers end from further servers for a time.
// Callers hold s.mu.
func (s *Service) holdContents(last poison.End, alone bool) {
	for _, sus := range last.Suspects {
		if !poison.IsContent(sus.Part) || len(s.heldContents) >= maxHeldContents {
			continue
		}
		if ends := s.ownEndsUnder(sus.Part); ends >= heldAfterEnds {
			hold := contentHold(s.opts.Contact, ends)
			if alone {
				hold = maxContentHold
			}
			s.heldContents[sus.Part] = time.Now().Add(hold)
			s.log.Emit(event.ContentHeld, "content", sus.Part, "ends", ends, "holdMs", hold.Milliseconds())
		}
	}
	s.heldCount.Store(int64(len(s.heldContents)))
}

// contentHold returns how long a daemon keeps a content from servers by itself after a number of ends.
func contentHold(contact time.Duration, ends int) time.Duration {
	d := contact
	for range ends - heldAfterEnds {
		if d *= 2; d >= maxContentHold {
			return maxContentHold
		}
	}
	return d
}

// ownEndsUnder returns the number of ends that this daemon reports of which a part is a suspect. Callers hold s.mu.
func (s *Service) ownEndsUnder(part string) int {
	n := 0
	for _, end := range s.ownEnds {
		if slices.ContainsFunc(end.Suspects, func(sus poison.Suspect) bool { return sus.Part == part }) {
			n++
		}
	}
	return n
}

// admitContents reports whether this daemon does not keep the content of a request from servers by itself.
func (s *Service) admitContents(parts []string, now time.Time) (poison.Block, bool) {
	if s.heldCount.Load() == 0 {
		return poison.Block{}, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		if remaining := s.heldContents[part].Sub(now); remaining > 0 {
			s.blockedCount.Add(1)
			return poison.Block{Part: part, Ends: s.ownEndsUnder(part), Remaining: max(minRemaining, remaining)}, false
		}
	}
	return poison.Block{}, true
}

// liftHeldContent ends the time for which this daemon keeps a content from servers by itself, and reports whether it did.
func (s *Service) liftHeldContent(part, reason string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.heldContents[part]; !ok {
		return false
	}
	delete(s.heldContents, part)
	s.heldCount.Store(int64(len(s.heldContents)))
	s.log.Emit(event.PartReleased, "part", part, "by", s.opts.VM, "reason", reason)
	return true
}

// expireHeldContents forgets the contents whose time is over. Callers hold s.mu.
func (s *Service) expireHeldContents(now time.Time) {
	maps.DeleteFunc(s.heldContents, func(_ string, until time.Time) bool { return !now.Before(until) })
	s.heldCount.Store(int64(len(s.heldContents)))
}
