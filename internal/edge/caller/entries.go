package caller

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/pollencourse/pollencourse/internal/fleet/member"
)

// Entries lists the live daemons of the fleet.
type Entries interface {
	Live() []member.Member
}

// handleEntries lists the ready entry VMs: first those in the caller's availability zone, then those in its region, then
// the rest, in random order within each group. A caller that names no zone or region gets those of this daemon.
func (s *Server) handleEntries(w http.ResponseWriter, r *http.Request) {
	zone, region := r.FormValue("availabilityZone"), r.FormValue("region")
	if zone == "" {
		zone = s.cfg.Zone
	}
	if region == "" {
		region = s.cfg.Region
	}
	usable := slices.DeleteFunc(s.cfg.Entries.Live(), func(m member.Member) bool {
		return m.Leaving || !m.Ready || m.CallerAddress == ""
	})
	rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	slices.SortStableFunc(usable, func(a, b member.Member) int { return distance(a, zone, region) - distance(b, zone, region) })
	type entry struct {
		Address          string `json:"address"`
		Region           string `json:"region"`
		AvailabilityZone string `json:"availabilityZone"`
	}
	out := struct {
		Entries         []entry `json:"entries"`
		LifetimeSeconds float64 `json:"lifetimeSeconds"`
	}{Entries: []entry{}, LifetimeSeconds: s.cfg.EntriesLifetime.Seconds()}
	for _, m := range usable[:min(len(usable), maxEntries)] {
		out.Entries = append(out.Entries, entry{m.CallerAddress, m.Region, m.AvailabilityZone})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// maxEntries bounds the list, since in a large fleet a caller needs only the nearest entry VMs.
const maxEntries = 16

// distance ranks a daemon as 0 in the same availability zone, 1 in the same region and 2 elsewhere.
func distance(m member.Member, zone, region string) int {
	switch {
	case m.AvailabilityZone == zone:
		return 0
	case m.Region == region:
		return 1
	default:
		return 2
	}
}
