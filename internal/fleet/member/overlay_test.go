package member

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencourse/pollencourse/internal/fleet/peer"
)

// fleetOf is the view of a fleet with the given zone sizes.
func fleetOf(sizes []int) *view {
	v := &view{}
	for zone, size := range sizes {
		for i := range size {
			n := peer.Node{ID: fmt.Sprintf("entry-%d-%d", zone, i), AvailabilityZone: fmt.Sprintf("zone-%d", zone)}
			v.members = append(v.members, Member{Node: n})
		}
	}
	return v
}

// spread passes a record on as the relay does and returns how often each daemon sent it.
func spread(v *view, from peer.Node, links func(overlay) []peer.Node) (sent map[string]int, reached int) {
	sent = map[string]int{}
	has := map[string]bool{from.ID: true}
	type hop struct{ at, from peer.Node }
	queue := []hop{{from, from}}
	for len(queue) > 0 {
		h := queue[0]
		queue = queue[1:]
		for _, n := range links(buildOverlay(v, h.at)) {
			fromOther := h.from.AvailabilityZone != h.at.AvailabilityZone
			if n.ID == h.from.ID || fromOther && n.AvailabilityZone != h.at.AvailabilityZone {
				continue
			}
			sent[h.at.ID]++
			if !has[n.ID] {
				has[n.ID] = true
				queue = append(queue, hop{n, h.at})
			}
		}
	}
	return sent, len(has)
}

func sizesOf(t *rapid.T) []int {
	return rapid.SliceOfN(rapid.IntRange(1, 45), 1, 14).Draw(t, "zone sizes")
}

func TestEveryRecordReachesEveryDaemon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := fleetOf(sizesOf(t))
		from := rapid.SampledFrom(v.members).Draw(t, "from").Node
		_, reached := spread(v, from, func(o overlay) []peer.Node { return o.near })
		require.Equal(t, len(v.members), reached, "rare records")
		_, reached = spread(v, from, func(o overlay) []peer.Node { return o.tree })
		require.Equal(t, len(v.members), reached, "frequent records")
	})
}

func TestADaemonSendsAFrequentRecordToFewOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := sizesOf(t)
		v := fleetOf(sizes)
		from := rapid.SampledFrom(v.members).Draw(t, "from").Node
		sent, _ := spread(v, from, func(o overlay) []peer.Node { return o.tree })
		total := 0
		for id, n := range sent {
			total += n
			require.LessOrEqual(t, n, 3+len(sizes)-1, id)
		}
		require.LessOrEqual(t, total, len(v.members)+len(sizes))
	})
}

func TestTheHeaviestDaemonOfTheLettersFleetHasFewLinks(t *testing.T) {
	sizes := make([]int, 13)
	for i := range sizes {
		sizes[i] = 39
	}
	v := fleetOf(sizes)
	heaviest := 0
	for _, m := range v.members {
		heaviest = max(heaviest, len(buildOverlay(v, m.Node).near))
	}
	require.Equal(t, 6+12, heaviest)
}
