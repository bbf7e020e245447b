package entry

import (
	"github.com/pollencourse/pollencourse/internal/fleet/member"
)

// entryDirectory lists the caller addresses of the daemons that accept requests.
type entryDirectory struct {
	members interface{ Live() []member.Member }
	region  string
	zone    string
}

// addressesNear returns the caller addresses in an availability zone, else those in its region, else all.
func (e *entryDirectory) addressesNear(region, zone string) []string {
	var inZone, inRegion, all []string
	for _, m := range e.members.Live() {
		if !m.Ready || m.Leaving {
			continue
		}
		all = append(all, m.CallerAddress)
		if m.Region == region {
			inRegion = append(inRegion, m.CallerAddress)
		}
		if m.AvailabilityZone == zone {
			inZone = append(inZone, m.CallerAddress)
		}
	}
	switch {
	case len(inZone) > 0:
		return inZone
	case len(inRegion) > 0:
		return inRegion
	default:
		return all
	}
}
