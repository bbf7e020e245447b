package entry

import (
	"github.com/pollencourse/pollencourse/internal/fleet/member"
)

// entries knows the addresses that callers may use.
type entries struct {
	members interface{ Live() []member.Member }
	region  string
	zone    string
}

// near returns the caller addresses of the caller's availability zone, else of its region, else all.
func (e *entries) near(region, zone string) []string {
	var own, inRegion, all []string
	for _, m := range e.members.Live() {
		if !m.Ready || m.Leaving {
			continue
		}
		all = append(all, m.CallerAddress)
		if m.Region == region {
			inRegion = append(inRegion, m.CallerAddress)
		}
		if m.AvailabilityZone == zone {
			own = append(own, m.CallerAddress)
		}
	}
	switch {
	case len(own) > 0:
		return own
	case len(inRegion) > 0:
		return inRegion
	default:
		return all
	}
}
