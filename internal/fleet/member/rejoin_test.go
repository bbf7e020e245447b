package member

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/fleet/peer"
)

// Guards against a fleet whose restarted seeds nobody looks for, and against attempts at a seed that is gone for good
// which grow with the fleet.
func TestMissingSeedsAreJoinedAtARateThatDoesNotGrowWithTheFleet(t *testing.T) {
	const rounds = 2000
	for _, live := range []int{2, 3, 6, 95} {
		t.Run(fmt.Sprint(live, " live"), func(t *testing.T) {
			s, g := newMember("self", "10.0.0.1:1")
			s.opts.Seeds = []string{"10.0.0.1:1", "10.0.1.0:1", "10.0.2.0:1"}
			for i := range live - 1 {
				g.table.Apply(daemonRecord(fmt.Sprint("d", i), fmt.Sprintf("10.0.1.%d:1", i)))
			}
			attempts := 0
			for range rounds {
				seeds := s.seedsToJoin()
				if len(seeds) > 0 {
					require.Equal(t, []string{"10.0.2.0:1"}, seeds, "the other seeds are members")
					attempts++
				}
			}
			want := min(1, float64(seedProbesPerRound)/float64(live)) * rounds
			require.InDelta(t, want, attempts, 150)
			require.Positive(t, attempts)
			g.table.Apply(daemonRecord("last", "10.0.2.0:1"))
			require.Empty(t, s.seedsToJoin(), "each seed is a member")
		})
	}
}

// newcomerGossip counts the synchronisations by daemon; the first ones fail.
type newcomerGossip struct {
	*tableGossip
	mu       sync.Mutex
	failures int
	syncs    map[string]int
}

func (g *newcomerGossip) Sync(_ context.Context, n peer.Node) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncs[n.ID]++
	if g.syncs[n.ID] <= g.failures {
		return errors.New("no answer")
	}
	g.table.Apply(daemonRecord(n.ID, n.PeerAddress))
	return nil
}

// Guards against two parts of a fleet that meet and go on apart: a process found at the address of a former daemon has to be
// synchronised with, again if that fails, and no longer once it is a member or out of reach.
func TestANewcomerIsSynchronisedWithUntilItIsAMember(t *testing.T) {
	for _, tc := range []struct {
		name           string
		failures, want int
		member         bool
	}{
		{"unknown", 0, 1, false},
		{"fails at first", 3, 4, false},
		{"a member by then", 0, 0, true},
		{"never responds", math.MaxInt, int(newcomerLifetime / time.Second), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, tg := newMember("self", "10.0.0.1:1")
				g := &newcomerGossip{tableGossip: tg, failures: tc.failures, syncs: map[string]int{}}
				s.gossip, s.opts.ListInterval, s.opts.SuspectAfter = g, time.Second, time.Second
				g.table.Apply(daemonRecord("known", "10.0.0.2:1"))
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- s.Run(ctx) }()
				synctest.Wait()
				s.MeetNewcomer(peer.Node{ID: "new", PeerAddress: "10.0.0.3:1"})
				if tc.member {
					g.table.Apply(daemonRecord("new", "10.0.0.3:1"))
				}
				time.Sleep(2 * newcomerLifetime)
				cancel()
				require.NoError(t, <-done)
				require.Equal(t, tc.want, g.syncs["new"])
				require.Empty(t, s.newcomers)
			})
		})
	}
}
