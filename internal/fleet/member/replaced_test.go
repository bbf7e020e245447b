package member

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/external/vmlist"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

// tableGossip is a Gossip whose fleet table has no neighbours.
type tableGossip struct {
	fakeNetwork
	published []string
}

func (g *tableGossip) PublishOwn(key string, m proto.Message) error {
	old, _ := g.table.Get(key)
	g.published = append(g.published, key)
	g.table.Apply(recordOf(key, old.Version+1, m))
	return nil
}

func recordOf(key string, version int64, m proto.Message) relay.Record {
	body, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return relay.Record{Key: key, Version: version, Body: body}
}

func daemonRecord(id, address string) relay.Record {
	return recordOf(daemonPrefix+id, 1, &peerpb.DaemonRecord{DaemonId: id, PeerAddress: address, AvailabilityZone: "z"})
}

func newMember(id, address string) (*Service, *tableGossip) {
	g := &tableGossip{fakeNetwork: fakeNetwork{table: relay.NewTable(relay.FleetTable)}}
	s := New(peer.Node{ID: id, PeerAddress: address, AvailabilityZone: "z"}, g, g, g, Options{OnSuperseded: func() {}}, event.Discard())
	g.table.Apply(daemonRecord(id, address))
	return s, g
}

func memberIDs(s *Service) []string {
	var ids []string
	for _, m := range s.Members() {
		ids = append(ids, m.ID)
	}
	return ids
}

func TestAMemberLeavesTheViewOnceAnotherDaemonHasItsAddress(t *testing.T) {
	entry := func(id, address string) relay.Record {
		r, err := recordOfVM(vmlist.VM{ID: id, Kind: vmlist.Entry, PeerAddress: address, Revision: 1})
		require.NoError(t, err)
		return r
	}
	for _, tc := range []struct {
		name         string
		record       relay.Record
		wantMembers  []string
		wantUnjoined int
	}{
		{"former process of the VM", daemonRecord("vm#1", "10.0.0.1:1"), []string{"vm#2"}, 0},
		{"former process in the list", entry("vm#1", "10.0.0.1:1"), []string{"vm#2"}, 0},
		{"daemon of another VM", daemonRecord("vm#1", "10.0.0.2:1"), []string{"vm#1", "vm#2"}, 0},
		{"VM of another address in the list", entry("vm#1", "10.0.0.2:1"), []string{"vm#2"}, 1},
		{"daemon without an address", daemonRecord("vm#1", ""), []string{"vm#1", "vm#2"}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, g := newMember("vm#2", "10.0.0.1:1")
			g.table.Apply(tc.record)
			require.ElementsMatch(t, tc.wantMembers, memberIDs(s))
			require.Len(t, s.view().unjoined, tc.wantUnjoined)
		})
	}
}

func TestEachMemberLearnsWhichDaemonIsReplaced(t *testing.T) {
	_, g := newMember("vm#2", "10.0.0.1:1")
	g.table.Apply(daemonRecord("vm#1", "10.0.0.1:1"))
	require.Equal(t, []string{replacedPrefix + "vm#1"}, g.published)
	replaced, ok := g.table.Get(replacedPrefix + "vm#1")
	require.True(t, ok)
	other, og := newMember("other", "10.0.0.9:1")
	og.table.Apply(daemonRecord("vm#1", "10.0.0.1:1"), daemonRecord("vm#2", "10.0.0.1:1"))
	require.ElementsMatch(t, []string{"other", "vm#1", "vm#2"}, memberIDs(other))
	og.table.Apply(replaced)
	require.ElementsMatch(t, []string{"other", "vm#2"}, memberIDs(other))
	og.table.Apply(recordOf(daemonPrefix+"vm#1", 2, &peerpb.DaemonRecord{DaemonId: "vm#1", PeerAddress: "10.0.0.3:1"}))
	require.ElementsMatch(t, []string{"other", "vm#1", "vm#2"}, memberIDs(other), "it runs at a new address")
}

// An address may return to a daemon that had lost it to another.
func TestADaemonContestsItsReplacementUnlessItIsLeaving(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		s, g := newMember("a", "10.0.0.1:1")
		if leaving {
			s.Leave()
		}
		g.table.Apply(recordOf(replacedPrefix+"a", 1, &peerpb.DaemonRecord{DaemonId: "b", PeerAddress: "10.0.0.1:1"}))
		require.Equal(t, leaving, isReplaced(g.table, "a", "10.0.0.1:1"))
	}
}

// Guards against a fleet whose heartbeats to a suspect, or records sent to it, grow with the fleet: 95 daemons that sent
// each record to a daemon that had been restarted opened hundreds of connections a second to it.
func TestProbesOfASuspectDoNotGrowWithTheFleet(t *testing.T) {
	const rounds = 1000
	for _, tc := range []struct{ live, suspects int }{{1, 1}, {4, 1}, {20, 2}, {95, 1}, {95, 8}, {48, 47}} {
		t.Run(fmt.Sprintf("%d live, %d suspects", tc.live, tc.suspects), func(t *testing.T) {
			s, g := newMember("self", "10.0.0.1:1")
			for i := range tc.live + tc.suspects - 1 {
				id := fmt.Sprint("d", i)
				g.table.Apply(daemonRecord(id, "10.0.1.1:"+fmt.Sprint(i)))
				if i < tc.suspects {
					g.table.Apply(recordOf(suspectPrefix+id, 1, &peerpb.SuspectRecord{DaemonId: id, RecordVersion: 1}))
				}
			}
			probes := 0
			for range rounds {
				got := s.SuspectsToProbe()
				require.LessOrEqual(t, len(got), 1)
				probes += len(got)
				for _, n := range s.Neighbours() {
					require.NotContains(t, got, n, "suspects get no records")
				}
			}
			perRound := min(float64(tc.live), float64(probesPerSuspect*tc.suspects))
			require.InDelta(t, perRound/float64(tc.live)*rounds, probes, 110)
			require.Positive(t, probes, "a daemon that comes back is noticed")
		})
	}
}
