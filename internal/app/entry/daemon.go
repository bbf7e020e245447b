package entry

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/pollencourse/pollencourse/internal/back/registry"
	"github.com/pollencourse/pollencourse/internal/back/zones"
	"github.com/pollencourse/pollencourse/internal/config/mirror"
	"github.com/pollencourse/pollencourse/internal/config/replica"
	"github.com/pollencourse/pollencourse/internal/config/routing"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/kernel"
	"github.com/pollencourse/pollencourse/internal/core/metrics"
	"github.com/pollencourse/pollencourse/internal/core/settings"
	"github.com/pollencourse/pollencourse/internal/decide/admission"
	"github.com/pollencourse/pollencourse/internal/decide/place"
	"github.com/pollencourse/pollencourse/internal/decide/retry"
	"github.com/pollencourse/pollencourse/internal/decide/sizing"
	"github.com/pollencourse/pollencourse/internal/edge/ingress"
	"github.com/pollencourse/pollencourse/internal/edge/intake"
	"github.com/pollencourse/pollencourse/internal/external/vmlist"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/quarantine"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
	"github.com/pollencourse/pollencourse/internal/fleet/trial"
	"github.com/pollencourse/pollencourse/internal/route/forward"
	"github.com/pollencourse/pollencourse/platform"
)

// Daemon is the process of one entry VM on the users' platform.
type Daemon struct {
	cfg    *settings.Entry
	log    *event.Log
	kernel *kernel.Kernel
	// processID identifies this process in the fleet. It is new after each restart; the VM's name, cfg.ID, stays the same.
	processID string
}

const (
	heartbeatInterval      = time.Second
	suspectAfter           = 2500 * time.Millisecond
	daemonListPollInterval = time.Second
	// entryListLifetime is how long callers may cache a list of entry addresses. It is short so that callers soon stop
	// using a daemon that shuts down.
	entryListLifetime = 900 * time.Millisecond
	// retryBudgetShare is the share of the fleet's retry budget that the daemons may use.
	retryBudgetShare = 0.9
)

// New builds a daemon from its settings.
func New(cfg *settings.Entry, log *event.Log) (*Daemon, error) {
	d := &Daemon{cfg: cfg, log: log, kernel: kernel.New(log), processID: cfg.ID + "#" + uuid.NewString()[:8]}
	ls, err := listen(cfg)
	if err != nil {
		return nil, err
	}
	d.build(ls)
	return d, nil
}

// listeners holds the sockets that a daemon serves on.
type listeners struct {
	caller, ready, directory, peer, metrics net.Listener
}

func listen(cfg *settings.Entry) (ls listeners, err error) {
	for _, l := range []struct {
		address  string
		listener *net.Listener
	}{
		{cfg.CallerAddress, &ls.caller},
		{cfg.ReadyAddress, &ls.ready},
		{cfg.DirectoryAddress, &ls.directory},
		{cfg.PeerAddress, &ls.peer},
		{cfg.MetricsAddress, &ls.metrics},
	} {
		if *l.listener, err = net.Listen("tcp4", l.address); err != nil {
			return ls, err
		}
	}
	return ls, nil
}

// build registers each service after the services that it depends on.
func (d *Daemon) build(ls listeners) {
	store := platform.NewStore(d.cfg.StoreAddress, d.log)
	d.kernel.Add("store", store)
	gossip, members, hub := d.buildFleet(ls.peer, store)
	tables := routing.NewHolder(d.log)
	d.kernel.Add("configuration", tables)
	tables.OnChange(d.logUnknownRegions)
	share := newConfigShare(tables, gossip, hub, d.cfg.ZoneRegion, func() int { return len(members.Live()) }, d.log)
	d.kernel.Add("configurationShare", share)
	servers := registry.New(platform.DecodeServer, d.log)
	d.kernel.Add("servers", servers)
	trials := trial.New(d.processID, gossip, members, store, platform.DecodeRollout, trial.Options{
		ExposureShare: d.cfg.Bounds.ExposureShare, SessionLifetime: d.cfg.Bounds.SessionLifetime,
	}, d.log)
	d.kernel.Add("trials", trials)
	health := mirror.NewHealth()
	isSeed := len(d.cfg.Seeds) == 0 || slices.Contains(d.cfg.Seeds, d.cfg.PeerAddress)
	storeReplica := replica.New(d.processID, gossip, replica.Options{
		IsReader: func() bool { return isReader(members) }, ConfigLagging: share.isLagging,
		LiveDaemons: func() int { return len(members.Live()) }, Seed: isSeed, LastContact: health.LastContact, ApplyWithin: d.cfg.Bounds.ConfigApply,
	}, d.log)
	tables.OnChange(func(t *routing.Table) { storeReplica.AddToDigest("configuration", t.Revision) })
	d.kernel.Add("replica", storeReplica)
	for _, m := range []struct {
		kind string
		sink mirror.Sink
	}{
		{platform.KindConfig, storeReplica.Track(platform.KindConfig, share)},
		{platform.KindServers, storeReplica.Follow(platform.KindServers, servers)},
		{platform.KindRollouts, storeReplica.Follow(platform.KindRollouts, trials)},
	} {
		d.kernel.Add("mirror of "+m.kind, mirror.New(store, m.kind, m.sink, storeReplica, health, mirrorOptions(m.kind, d.cfg.Bounds), d.log))
	}
	evacuations := d.buildZones(store, storeReplica, health)
	var reopenedAt func(zone string) time.Time
	if evacuations != nil {
		reopenedAt = evacuations.ReopenedAt
	}
	cold := d.buildColdServers(tables, servers, members, storeReplica.Loaded(), reopenedAt)
	parts := d.buildQuarantine(servers, gossip, members)
	loaded := allClosed(storeReplica.Loaded(), closedWithin(members.Synced(), peerSyncTimeout))
	m := metrics.New(d.cfg.ID)
	router := d.buildRouter(routerParts{
		servers: servers, trials: trials, members: members, chooser: d.buildChooser(servers, members, hub), quarantine: parts,
		evacuations: evacuations, cold: cold, metrics: m,
	})
	d.buildEdges(ls, &loadedTables{tables, loaded}, members, trials, parts, router, m)
}

const (
	// maxProbeBackoff bounds the delay between calls of the one mirror that probes an unavailable store, maxIdleBackoff
	// that of the other mirrors, which are woken when the probe succeeds.
	maxProbeBackoff = 400 * time.Millisecond
	maxIdleBackoff  = 3 * time.Second
	// watchTimeout is the longest time that one watch waits for a change; the platform allows 30 s.
	watchTimeout = 7 * time.Second
	// configWatchDivisor sets the longest time that a watch of the configuration waits: the time within which a
	// configuration has to be in force, divided by configWatchDivisor. It is short because the daemons rely on readers
	// only while a watch of the configuration has just ended (see [replica.Options.ApplyWithin]), and because a change
	// that a watch missed has to be shared after the watch.
	configWatchDivisor = 3
	// evacuationWatchDivisor sets the longest time that a watch of the evacuations waits: the time within which an
	// evacuation has to be in force, divided by evacuationWatchDivisor, since a watch may miss a change.
	evacuationWatchDivisor = 2
	// serverBatchWindow lets the entries of servers that start together arrive in one call. The delay is harmless
	// because a draining server may get new requests for seconds.
	serverBatchWindow = 350 * time.Millisecond
	// minReaders is the lowest number of daemons that read the store for the others; each availability zone has at
	// least one.
	minReaders = 2
)

// buildZones follows the evacuations of availability zones and returns the zones; nil if the settings bound no
// evacuations.
func (d *Daemon) buildZones(store *platform.Store, storeReplica *replica.Replica, health *mirror.Health) *zones.Zones {
	if d.cfg.Bounds.Evacuate == 0 {
		return nil
	}
	evacuations := zones.New(func(zone string) bool { _, ok := d.cfg.ZoneRegion[zone]; return ok }, d.log)
	d.kernel.Add("zones", evacuations)
	sink := storeReplica.Follow(platform.KindEvacuations, evacuations)
	d.kernel.Add("mirror of "+platform.KindEvacuations, mirror.New(store, platform.KindEvacuations, sink, storeReplica, health, mirror.Options{
		MaxBackoff: maxIdleBackoff, WatchTimeout: d.cfg.Bounds.Evacuate / evacuationWatchDivisor,
	}, d.log))
	return evacuations
}

// mirrorOptions returns how the objects of a kind are read. The mirror of the configuration is the one that probes.
func mirrorOptions(kind string, b settings.Bounds) mirror.Options {
	switch kind {
	case platform.KindConfig:
		return mirror.Options{MaxBackoff: maxProbeBackoff, WatchTimeout: b.ConfigApply / configWatchDivisor, Probes: true}
	case platform.KindServers:
		return mirror.Options{BatchWindow: serverBatchWindow, MaxBackoff: maxIdleBackoff, WatchTimeout: watchTimeout}
	default:
		return mirror.Options{MaxBackoff: maxIdleBackoff, WatchTimeout: watchTimeout}
	}
}

// isReader reports whether this daemon reads the store for the others. The readers are the first daemons of each
// availability zone: minReaders divided by the number of zones, rounded up.
func isReader(members *member.Service) bool {
	zones := map[string]bool{}
	for _, m := range members.Live() {
		zones[m.AvailabilityZone] = true
	}
	return members.Rank() < (minReaders+len(zones)-1)/max(1, len(zones))
}

// logUnknownRegions logs the regions of a configuration that have no availability zone.
func (d *Daemon) logUnknownRegions(t *routing.Table) {
	known := func(region string) bool {
		for _, r := range d.cfg.ZoneRegion {
			if r == region {
				return true
			}
		}
		return false
	}
	for _, region := range t.UnknownRegions(known) {
		d.log.Emit(event.RegionUnknown, "region", region, "revision", t.Revision)
	}
}

func (d *Daemon) buildFleet(listener net.Listener, store *platform.Store) (*relay.Gossip, *member.Service, *peer.Hub) {
	c := d.cfg
	self := peer.Node{
		ID: d.processID, Incarnation: 1, Region: c.Region, AvailabilityZone: c.AvailabilityZone, PeerAddress: c.PeerAddress,
	}
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: listener.Addr().(*net.TCPAddr).IP}}
	hub := peer.New(self, nil, listener, func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp4", address)
	}, d.log, func() {})
	gossip := relay.New(hub, heartbeatInterval)
	daemons := platform.NewDaemons(store)
	list := &daemonList{daemons: daemons, self: c.ID}
	members := member.New(self, gossip, hub, list, member.Options{
		CallerAddress: c.CallerAddress, SuspectAfter: suspectAfter, ListInterval: daemonListPollInterval,
		WatchersPerAZ: 1, Seeds: c.Seeds, OnSuperseded: func() {},
	}, d.log)
	list.live = members.Live
	hub.OnReplacement(members.MeetNewcomer)
	gossip.SetOverlay(members)
	d.kernel.Add("peers", hub)
	d.kernel.Add("relay", gossip)
	d.kernel.Add("members", members)
	d.kernel.Add("registration", &registration{
		daemons: daemons, vm: c.ID, log: d.log, isNeeded: func() bool { return isReader(members) },
		entry: vmlist.VM{ID: d.processID, Region: c.Region, AvailabilityZone: c.AvailabilityZone, PeerAddress: c.PeerAddress},
	})
	return gossip, members, hub
}

// peerSyncTimeout is how long a starting daemon waits for a peer to send what the fleet knows, such as the quarantined
// prompt parts, before it serves callers without.
const peerSyncTimeout = 1500 * time.Millisecond

func (d *Daemon) buildQuarantine(servers *registry.Registry, gossip *relay.Gossip, members *member.Service) *quarantine.Service {
	q := quarantine.New(d.processID, gossip, members, quarantine.Options{
		VM: d.cfg.ID, Contact: d.cfg.Bounds.Contact, Servers: func() int { return servers.View().Len() },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp4", address)
		},
	}, d.log)
	d.kernel.Add("quarantine", q)
	return q
}

// routerParts are the services that the router uses.
type routerParts struct {
	servers    *registry.Registry
	trials     *trial.Service
	members    *member.Service
	chooser    *place.Chooser
	quarantine *quarantine.Service
	// evacuations is nil if zones are not evacuated.
	evacuations *zones.Zones
	cold        *coldServers
	metrics     metrics.Metrics
}

func (d *Daemon) buildRouter(p routerParts) *forward.Router {
	b := d.cfg.Bounds
	opts := forward.Options{
		Retries:     retry.Limit{Ratio: retryBudgetShare * b.RetryRatio, Slack: retryBudgetShare * b.RetrySlack, Window: b.RetryWindow},
		LiveDaemons: func() int { return len(p.members.Live()) }, ZoneRegion: d.cfg.ZoneRegion, Cold: p.cold,
		Admission: admission.NewController(), Metrics: p.metrics.Scope, ServerEnded: p.quarantine.HasEnded,
	}
	if p.evacuations != nil {
		opts.Evacuated = p.evacuations.Evacuated
	}
	router := forward.New(platform.NewUpstream(), p.servers, p.trials, sizing.Policy{MinConfidence: minConfidence}, p.chooser, p.quarantine, opts, d.log)
	p.quarantine.OnConvicted(router.CancelAttempts)
	d.kernel.Add("router", router)
	return router
}

const (
	// minConfidence is the lowest confidence, from 0 to 100, at which the answer of a smaller model is kept.
	minConfidence = 50
)

func (d *Daemon) buildEdges(ls listeners, tables *loadedTables, members *member.Service, trials *trial.Service, parts *quarantine.Service, router *forward.Router, m metrics.Metrics) {
	account := intake.New(intake.LimitsFor(d.cfg.MemoryBytes, d.cfg.MaxFDs), m.Scope, d.log)
	d.kernel.Add("intake", account)
	directory := &entryDirectory{members: members, tables: tables}
	callerServer := ingress.New(ingress.Config{
		Listener: ls.caller, Codec: platform.Codec{}, Router: router, Tables: tables,
		Leave: func() { members.SetReady(false); members.Leave(); trials.Leave() }, ListLifetime: entryListLifetime, Grace: d.cfg.Bounds.Grace,
		Intake: account, Metrics: m.Scope, Log: d.log,
	})
	ready := func() bool { return tables.Current() != nil && !callerServer.Leaving() }
	tables.whenReady(func() { members.SetReady(true) })
	d.kernel.Add("callers", callerServer)
	d.kernel.Add("directory", newCallerHTTPServer(ls.directory, account, platform.Directory(directory.addressesNear, entryListLifetime)))
	d.kernel.Add("ready", newHTTPServer(ls.ready, platform.Ready(ready)))
	d.kernel.Add("metrics", newHTTPServer(ls.metrics, diagnosticsHandler(m, d.kernel, parts)))
}

// diagnosticsHandler serves the metrics, the state dump and the release of quarantined prompt parts.
func diagnosticsHandler(m metrics.Metrics, k *kernel.Kernel, parts *quarantine.Service) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler)
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, k.Dump()) })
	mux.HandleFunc("DELETE /quarantine/{part}", func(w http.ResponseWriter, r *http.Request) {
		if !parts.Lift(r.PathValue("part"), "an operator released it at "+r.Host) {
			http.Error(w, "no quarantined part has this name; GET /dump lists them under quarantine", http.StatusNotFound)
		}
	})
	return mux
}

// Run serves until ctx ends.
func (d *Daemon) Run(ctx context.Context) error {
	c := d.cfg
	d.log.Emit(event.DaemonStarted, "process", d.processID, "caller", c.CallerAddress, "peer", c.PeerAddress, "directory", c.DirectoryAddress, "store", c.StoreAddress)
	err := d.kernel.Run(ctx)
	d.log.Emit(event.DaemonStopped)
	return err
}
