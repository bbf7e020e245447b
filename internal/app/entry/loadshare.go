package entry

import (
	"maps"
	"time"

	"github.com/pollencourse/pollencourse/internal/back/registry"
	"github.com/pollencourse/pollencourse/internal/decide/place"
	fleetload "github.com/pollencourse/pollencourse/internal/fleet/load"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
)

// buildChooser returns a chooser that knows the load which the daemons of this availability zone have at its servers.
func (d *Daemon) buildChooser(servers *registry.Registry, members *member.Service, hub *peer.Hub) *place.Chooser {
	chooser := place.New(d.cfg.Region, d.cfg.AvailabilityZone)
	servers.OnChange(func(v *registry.View) {
		chooser.Retain(func(id string) bool { _, ok := v.Get(id); return ok })
	})
	ownZone := func() map[string]place.ServerLoad {
		loads, view := chooser.Load(time.Now()), servers.View()
		maps.DeleteFunc(loads, func(id string, _ place.ServerLoad) bool {
			s, ok := view.Get(id)
			return !ok || s.AvailabilityZone != d.cfg.AvailabilityZone
		})
		return loads
	}
	d.kernel.Add("load", fleetload.New(d.processID, hub, members, ownZone, chooser, d.log))
	return chooser
}
