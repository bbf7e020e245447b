package member

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencourse/pollencourse/internal/fleet/peer"
)

// viewOfZones returns the view of a fleet with the given number of daemons in each zone.
func viewOfZones(sizes []int) *view {
	v := &view{}
	for zone, size := range sizes {
		for i := range size {
			n := peer.Node{ID: fmt.Sprintf("entry-%d-%d", zone, i), AvailabilityZone: fmt.Sprintf("zone-%d", zone)}
			v.members = append(v.members, Member{Node: n})
		}
	}
	return v
}

// propagate forwards a record by the rules of package relay and returns how often each daemon sent it and how many
// daemons have it.
func propagate(v *view, from peer.Node, links func(overlay) []peer.Node) (sent map[string]int, reached int) {
	sent = map[string]int{}
	has := map[string]bool{from.ID: true}
	type hop struct{ node, from peer.Node }
	queue := []hop{{from, from}}
	for len(queue) > 0 {
		h := queue[0]
		queue = queue[1:]
		for _, n := range links(buildOverlay(v, h.node)) {
			fromOther := h.from.AvailabilityZone != h.node.AvailabilityZone
			if n.ID == h.from.ID || fromOther && n.AvailabilityZone != h.node.AvailabilityZone {
				continue
			}
			sent[h.node.ID]++
			if !has[n.ID] {
				has[n.ID] = true
				queue = append(queue, hop{n, h.node})
			}
		}
	}
	return sent, len(has)
}

func drawZoneSizes(t *rapid.T) []int {
	return rapid.SliceOfN(rapid.IntRange(1, 45), 1, 14).Draw(t, "zone sizes")
}

// For some zone sizes the links might leave a part of the fleet unconnected.
func TestOverlayReachesEveryDaemon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := viewOfZones(drawZoneSizes(t))
		from := rapid.SampledFrom(v.members).Draw(t, "from").Node
		_, reached := propagate(v, from, func(o overlay) []peer.Node { return o.neighbours })
		require.Equal(t, len(v.members), reached, "rare records")
		_, reached = propagate(v, from, func(o overlay) []peer.Node { return o.treeNeighbours })
		require.Equal(t, len(v.members), reached, "frequent records")
	})
}

// Each daemon publishes frequently changing records, so the sends of one record must not grow faster than the fleet.
func TestFrequentRecordHasBoundedFanOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := drawZoneSizes(t)
		v := viewOfZones(sizes)
		from := rapid.SampledFrom(v.members).Draw(t, "from").Node
		sent, _ := propagate(v, from, func(o overlay) []peer.Node { return o.treeNeighbours })
		total := 0
		for id, n := range sent {
			total += n
			require.LessOrEqual(t, n, 3+len(sizes)-1, id)
		}
		require.LessOrEqual(t, total, len(v.members)+len(sizes))
	})
}

// Each neighbour costs a connection and heartbeats: at most 6 fingers in the zone and 12 links of a gateway.
func TestNeighbourCountWith13ZonesOf39Daemons(t *testing.T) {
	sizes := make([]int, 13)
	for i := range sizes {
		sizes[i] = 39
	}
	v := viewOfZones(sizes)
	most := 0
	for _, m := range v.members {
		most = max(most, len(buildOverlay(v, m.Node).neighbours))
	}
	require.Equal(t, 6+12, most)
}
