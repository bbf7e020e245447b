package entry

import (
	"strings"
	"time"

	"github.com/pollencourse/pollencourse/internal/back/registry"
	"github.com/pollencourse/pollencourse/internal/config/routing"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/decide/warmup"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
)

// coldServers limits the requests to servers that have started a moment ago, where the configuration states what such a
// server tolerates.
type coldServers struct {
	tables  *routing.Holder
	limiter *warmup.Limiter
	log     *event.Log
}

// buildColdServers connects the limiter with the entries of the servers, the known daemons and the zones that were reopened.
func (d *Daemon) buildColdServers(tables *routing.Holder, servers *registry.Registry, members *member.Service, listed <-chan struct{}, reopenedAt func(zone string) time.Time) *coldServers {
	c := &coldServers{tables: tables, log: d.log}
	c.limiter = warmup.New(warmup.Options{
		Self: vmOf(d.processID), Started: time.Now(), ZoneRegion: d.cfg.ZoneRegion, Policy: c.policy, ReopenedAt: reopenedAt,
		Daemons: func() []warmup.Daemon { return knownDaemons(members.Members()) },
		Synced:  func() bool { return isClosed(members.Synced()) },
		Listed:  func() bool { return isClosed(listed) },
	})
	servers.OnEntry(c.handleEntry)
	d.kernel.Add("coldServers", c)
	return c
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// vmOf returns the name of the VM on which a process runs.
func vmOf(processID string) string {
	vm, _, _ := strings.Cut(processID, "#")
	return vm
}

// knownDaemons returns the VMs of the members. One that restarted may have two processes among them.
func knownDaemons(members []member.Member) []warmup.Daemon {
	out := make([]warmup.Daemon, 0, len(members))
	known := make(map[string]bool, len(members))
	for _, m := range members {
		vm := vmOf(m.ID)
		if !known[vm] {
			known[vm] = true
			out = append(out, warmup.Daemon{ID: vm, AvailabilityZone: m.AvailabilityZone})
		}
	}
	return out
}

// policy returns the policy of a service by the configuration in force.
func (c *coldServers) policy(service string) warmup.Policy {
	table := c.tables.Current()
	if table == nil {
		return warmup.Policy{}
	}
	s, ok := table.Service(service)
	if !ok {
		return warmup.Policy{}
	}
	return warmup.Policy{Warmup: s.Warmup, PerSecond: s.ColdPerSecond}
}

func (c *coldServers) handleEntry(s registry.Server, gone bool) {
	if gone {
		c.limiter.Remove(s.ID)
		return
	}
	why := c.limiter.Update(warmup.Server{
		ID: s.ID, Service: s.Service, AvailabilityZone: s.AvailabilityZone, Born: s.Born, ColdRemaining: s.ColdRemaining,
	}, time.Now())
	if why != "" {
		c.log.Emit(event.ServerCold, "server", s.ID, "service", s.Service, "why", string(why), "remainingMs", s.ColdRemaining.Milliseconds())
	}
}

// Limits reports whether the servers of a service can be cold.
func (c *coldServers) Limits(service string) bool { return c.policy(service).Enabled() }

// Wait returns the time until a request may be sent to a server.
func (c *coldServers) Wait(server string, now time.Time) time.Duration {
	return c.limiter.Wait(server, now)
}

// Take takes the allowance of a server.
func (c *coldServers) Take(server string, now time.Time) bool { return c.limiter.Take(server, now) }

// Failed records that this daemon did not reach a server.
func (c *coldServers) Failed(server string, now time.Time) {
	if c.limiter.Failed(server, now) {
		c.log.Emit(event.ServerCold, "server", server, "why", "failed")
	}
}

// Succeeded records a response of a server.
func (c *coldServers) Succeeded(server string, startedAt, now time.Time) {
	if c.limiter.Succeeded(server, startedAt, now) {
		c.log.Emit(event.ServerBack, "server", server)
	}
}

// Dump shows the limited servers.
func (c *coldServers) Dump() any { return c.limiter.State(time.Now()) }
