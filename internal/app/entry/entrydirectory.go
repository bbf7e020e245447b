package entry

import (
	"slices"
	"strings"

	"github.com/pollencourse/pollencourse/internal/config/routing"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
)

// entryDirectory lists the caller addresses of the daemons that accept requests.
type entryDirectory struct {
	members interface{ Live() []member.Member }
	tables  interface{ Current() *routing.Table }
}

// addressesNear returns the caller addresses in an availability zone, else those in its region, else those in the regions
// that the host's routes allow, else all.
func (e *entryDirectory) addressesNear(host, region, zone string) []string {
	var allowedRegions []string
	if t := e.tables.Current(); t != nil {
		allowedRegions = t.RegionsOfHost(strings.ToLower(host))
	}
	var inZone, inRegion, inAllowed, all []string
	for _, m := range e.members.Live() {
		if !m.Ready || m.Leaving {
			continue
		}
		all = append(all, m.CallerAddress)
		if m.Region == region {
			inRegion = append(inRegion, m.CallerAddress)
		}
		if slices.Contains(allowedRegions, m.Region) {
			inAllowed = append(inAllowed, m.CallerAddress)
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
	case len(inAllowed) > 0:
		return inAllowed
	default:
		return all
	}
}
