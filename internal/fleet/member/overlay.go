package member

import (
	"slices"

	"github.com/pollencourse/pollencourse/internal/fleet/peer"
)

// crossLinks is how many daemons of an availability zone hold links to each other one.
const crossLinks = 2

// overlay is whom a daemon sends to.
type overlay struct {
	near        []peer.Node
	tree        []peer.Node
	aggregators []peer.Node
}

// buildOverlay chooses the links of a daemon from its place on the ring of hashes.
func buildOverlay(v *view, self peer.Node) overlay {
	zones := v.byZone(self.ID)
	own := zones[self.AvailabilityZone]
	at := slices.IndexFunc(own, func(m Member) bool { return m.ID == self.ID })
	if at < 0 {
		return overlay{}
	}
	var o overlay
	o.near = append(fingers(own, at), crossing(zones, self.AvailabilityZone, at)...)
	o.tree = treeEdges(own, at)
	if at == len(own)-1 {
		o.tree = append(o.tree, lastOfOthers(zones, self.AvailabilityZone)...)
	}
	for _, m := range own[:min(crossLinks, len(own))] {
		o.aggregators = append(o.aggregators, m.Node)
	}
	return o
}

// fingers are the members at distances 1, 2, 4, ... on the ring of an availability zone,
// so that a record crosses it in a logarithm of steps.
func fingers(own []Member, at int) []peer.Node {
	var out []peer.Node
	for step := 1; step < len(own); step *= 2 {
		out = append(out, own[(at+step)%len(own)].Node)
	}
	return out
}

// treeEdges are the parent and the children in a binary tree over the availability zone.
func treeEdges(own []Member, at int) []peer.Node {
	var out []peer.Node
	if at > 0 {
		out = append(out, own[(at-1)/2].Node)
	}
	for child := 2*at + 1; child <= 2*at+2 && child < len(own); child++ {
		out = append(out, own[child].Node)
	}
	return out
}

// lastOfOthers are the links between the trees of zones. The last member, a leaf, holds them:
// the first ones have most to send already.
func lastOfOthers(zones map[string][]Member, zone string) []peer.Node {
	var out []peer.Node
	for other, members := range zones {
		if other != zone {
			out = append(out, members[len(members)-1].Node)
		}
	}
	return out
}

// crossing are the links of the first members of a zone to one member of each other zone.
func crossing(zones map[string][]Member, zone string, at int) []peer.Node {
	if at >= crossLinks {
		return nil
	}
	var out []peer.Node
	for other, members := range zones {
		if other != zone {
			out = append(out, members[at%len(members)].Node)
		}
	}
	return out
}

// byZone groups the members that are not suspected, and self, by availability zone.
func (v *view) byZone(self string) map[string][]Member {
	zones := map[string][]Member{}
	for _, m := range v.members {
		if !m.Suspected || m.ID == self {
			zones[m.AvailabilityZone] = append(zones[m.AvailabilityZone], m)
		}
	}
	return zones
}
