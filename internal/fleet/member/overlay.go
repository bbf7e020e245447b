package member

import (
	"slices"

	"github.com/pollencourse/pollencourse/internal/fleet/peer"
)

// crossLinks is how many daemons of an availability zone hold links to each other one.
const crossLinks = 2

// neighbours chooses whom a daemon sends to: in its availability zone the members at
// distances 1, 2, 4, ... on the ring of hashes, so that a record crosses it in a
// logarithm of steps; the first members of a zone also one member of each other zone.
func neighbours(v *view, self peer.Node) []peer.Node {
	var out []peer.Node
	zones := v.byZone(self.ID)
	own := zones[self.AvailabilityZone]
	at := slices.IndexFunc(own, func(m Member) bool { return m.ID == self.ID })
	if at < 0 {
		return nil
	}
	for step := 1; step < len(own); step *= 2 {
		out = append(out, own[(at+step)%len(own)].Node)
	}
	if at >= crossLinks {
		return out
	}
	for zone, members := range zones {
		if zone != self.AvailabilityZone {
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
