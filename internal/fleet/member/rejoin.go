package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pollencourse/pollencourse/internal/fleet/peer"
)

const (
	// seedProbesPerRound is the mean number of daemons that try to join the missing seeds in a round, in a fleet of any size.
	// A seed may be missing for good.
	seedProbesPerRound = 2
	// newcomerLifetime is how long a newcomer that doesn't respond is kept. If it is there after all, it will be found again.
	newcomerLifetime = 30 * time.Second
)

// newcomer is a process that was found at the address of a former daemon.
type newcomer struct {
	node  peer.Node
	metAt time.Time
}

// MeetNewcomer records a process that was found at the address of a former daemon. Unless it has become a member by the next
// round, this daemon synchronises with it: both may know other daemons, so that neither would look for the other.
func (s *Service) MeetNewcomer(n peer.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newcomers[n.ID] = newcomer{n, time.Now()}
}

// unknownNewcomers returns the newcomers that are not members, and forgets the others and those that are long out of reach.
func (s *Service) unknownNewcomers(now time.Time) []peer.Node {
	known := map[string]bool{}
	for _, m := range s.Members() {
		known[m.ID] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.newcomers, func(id string, n newcomer) bool { return known[id] || now.Sub(n.metAt) > newcomerLifetime })
	var out []peer.Node
	for _, n := range s.newcomers {
		out = append(out, n.node)
	}
	return out
}

// seedsToJoin returns the seeds that this daemon tries to join in this round: all of them while it knows no other daemon,
// later, now and then, those at whose address no live member is.
func (s *Service) seedsToJoin() []string {
	live := s.Live()
	if len(live) < 2 {
		return slices.Clone(s.opts.Seeds)
	}
	missing := slices.DeleteFunc(slices.Clone(s.opts.Seeds), func(seed string) bool {
		return seed == s.self.PeerAddress || slices.ContainsFunc(live, func(m Member) bool { return m.PeerAddress == seed })
	})
	if len(missing) == 0 || rand.Float64() >= float64(seedProbesPerRound)/float64(len(live)) {
		return nil
	}
	return missing
}
