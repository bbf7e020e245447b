package member

import (
	"slices"

	"github.com/pollencourse/pollencourse/internal/fleet/peer"
)

// gatewaysPerZone is the number of daemons of an availability zone that keep a link to each other zone. They also
// aggregate the reports of their zone.
const gatewaysPerZone = 2

// overlay holds the daemons that one daemon sends to, by purpose; see [relay.Overlay].
type overlay struct {
	neighbours     []peer.Node
	treeNeighbours []peer.Node
	aggregators    []peer.Node
}

// buildOverlay derives the links of a daemon from its rank in its availability zone, the index in the order of ID hashes.
func buildOverlay(v *view, self peer.Node) overlay {
	zones := v.liveByZone(self.ID)
	own := zones[self.AvailabilityZone]
	rank := slices.IndexFunc(own, func(m Member) bool { return m.ID == self.ID })
	if rank < 0 {
		return overlay{}
	}
	var o overlay
	o.neighbours = append(fingers(own, rank), crossZoneNeighbours(zones, self.AvailabilityZone, rank)...)
	o.treeNeighbours = treeEdges(own, rank)
	if rank == len(own)-1 {
		o.treeNeighbours = append(o.treeNeighbours, crossZoneTreeEdges(zones, self.AvailabilityZone)...)
	}
	for _, m := range own[:min(gatewaysPerZone, len(own))] {
		o.aggregators = append(o.aggregators, m.Node)
	}
	return o
}

// fingers returns the members at distances 1, 2, 4, ... on the ring of an availability zone, as in Chord, so that a
// record reaches all n members in O(log n) hops.
func fingers(own []Member, rank int) []peer.Node {
	var out []peer.Node
	for step := 1; step < len(own); step *= 2 {
		out = append(out, own[(rank+step)%len(own)].Node)
	}
	return out
}

// treeEdges returns the parent and the children in a binary tree over the availability zone.
func treeEdges(own []Member, rank int) []peer.Node {
	var out []peer.Node
	if rank > 0 {
		out = append(out, own[(rank-1)/2].Node)
	}
	for child := 2*rank + 1; child <= 2*rank+2 && child < len(own); child++ {
		out = append(out, own[child].Node)
	}
	return out
}

// crossZoneTreeEdges returns the edges between the trees of the zones. They join the last members, which are
// leaves, since the first ones already send the most.
func crossZoneTreeEdges(zones map[string][]Member, zone string) []peer.Node {
	var out []peer.Node
	for other, members := range zones {
		if other != zone {
			out = append(out, members[len(members)-1].Node)
		}
	}
	return out
}

// crossZoneNeighbours returns one member of each other zone if rank is that of a gateway.
func crossZoneNeighbours(zones map[string][]Member, zone string, rank int) []peer.Node {
	if rank >= gatewaysPerZone {
		return nil
	}
	var out []peer.Node
	for other, members := range zones {
		if other != zone {
			out = append(out, members[rank%len(members)].Node)
		}
	}
	return out
}

// liveByZone groups the members that are not suspected, and self, by availability zone.
func (v *view) liveByZone(self string) map[string][]Member {
	zones := map[string][]Member{}
	for _, m := range v.members {
		if !m.Suspected || m.ID == self {
			zones[m.AvailabilityZone] = append(zones[m.AvailabilityZone], m)
		}
	}
	return zones
}
