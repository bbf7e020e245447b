package entry

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/pollencourse/pollencourse/internal/back/registry"
	"github.com/pollencourse/pollencourse/internal/config/mirror"
	"github.com/pollencourse/pollencourse/internal/config/replica"
	"github.com/pollencourse/pollencourse/internal/config/routing"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/kernel"
	"github.com/pollencourse/pollencourse/internal/core/metrics"
	"github.com/pollencourse/pollencourse/internal/core/settings"
	"github.com/pollencourse/pollencourse/internal/decide/place"
	"github.com/pollencourse/pollencourse/internal/decide/retry"
	"github.com/pollencourse/pollencourse/internal/decide/sizing"
	"github.com/pollencourse/pollencourse/internal/edge/ingress"
	"github.com/pollencourse/pollencourse/internal/external/vmlist"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
	"github.com/pollencourse/pollencourse/internal/fleet/trial"
	"github.com/pollencourse/pollencourse/internal/route/forward"
	"github.com/pollencourse/pollencourse/platform"
)

// Daemon is one entry VM's process on the users' platform.
type Daemon struct {
	cfg    *settings.Entry
	log    *event.Log
	kernel *kernel.Kernel
	// id names this process; its VM's name stays the same over restarts.
	id string
}

const (
	heartbeat    = time.Second
	suspectAfter = 2500 * time.Millisecond
	joinInterval = time.Second
	// listLifetime is how long callers keep a list of entry addresses: short, so that they leave a stopping daemon soon.
	listLifetime = 900 * time.Millisecond
	// retryPart is the part of the fleet's retry budget that is planned for.
	retryPart = 0.9
)

// New builds a daemon from its settings.
func New(cfg *settings.Entry, log *event.Log) (*Daemon, error) {
	d := &Daemon{cfg: cfg, log: log, kernel: kernel.New(log), id: cfg.ID + "#" + uuid.NewString()[:8]}
	ls, err := listen(cfg)
	if err != nil {
		return nil, err
	}
	d.build(ls)
	return d, nil
}

// listeners are the sockets that a daemon serves on.
type listeners struct {
	caller, ready, directory, peer, metrics net.Listener
}

func listen(cfg *settings.Entry) (ls listeners, err error) {
	for _, l := range []struct {
		address string
		into    *net.Listener
	}{
		{cfg.CallerAddress, &ls.caller},
		{cfg.ReadyAddress, &ls.ready},
		{cfg.DirectoryAddress, &ls.directory},
		{cfg.PeerAddress, &ls.peer},
		{cfg.MetricsAddress, &ls.metrics},
	} {
		if *l.into, err = net.Listen("tcp4", l.address); err != nil {
			return ls, err
		}
	}
	return ls, nil
}

// build registers the services, each after those that it relies on.
func (d *Daemon) build(ls listeners) {
	store := platform.NewStore(d.cfg.StoreAddress)
	d.kernel.Add("store", store)
	gossip, members, hub := d.buildFleet(ls.peer, store)
	tables := routing.NewHolder(d.log)
	d.kernel.Add("configuration", tables)
	share := newConfigShare(tables, gossip, hub, d.log)
	d.kernel.Add("configurationShare", share)
	servers := registry.New(platform.DecodeServer, d.log)
	d.kernel.Add("servers", servers)
	trials := trial.New(d.id, gossip, members, store, platform.DecodeRollout, d.cfg.Bounds.ExposureShare, d.log)
	d.kernel.Add("trials", trials)
	first := len(d.cfg.Seeds) == 0 || slices.Contains(d.cfg.Seeds, d.cfg.PeerAddress)
	shared := replica.New(d.id, gossip, replica.Options{
		IsReader: func() bool { return reads(members) }, ConfigLagging: share.lagging,
		LiveDaemons: func() int { return len(members.Live()) }, Seed: first,
	}, d.log)
	tables.OnChange(func(t *routing.Table) { shared.AddToDigest("configuration", t.Revision) })
	d.kernel.Add("replica", shared)
	health := mirror.NewHealth()
	follow := func(kind string, sink mirror.Sink, opts mirror.Options) {
		d.kernel.Add("mirror of "+kind, mirror.New(store, kind, sink, shared, health, opts, d.log))
	}
	follow(platform.KindConfig, share, mirror.Options{MaxBackoff: probePause, WatchTimeout: configWait, Probes: true})
	follow(platform.KindServers, shared.Follow(platform.KindServers, servers), mirror.Options{BatchWindow: gatherServers, MaxBackoff: idlePause, WatchTimeout: watchWait})
	follow(platform.KindRollouts, shared.Follow(platform.KindRollouts, trials), mirror.Options{MaxBackoff: idlePause, WatchTimeout: watchWait})
	d.buildEdges(ls, &started{tables, shared.Loaded()}, members, d.buildRouter(servers, trials, members))
}

const (
	// probePause is the longest time between calls of the one mirror that looks for the store's return, idlePause
	// that of the others, which it wakes.
	probePause = 400 * time.Millisecond
	idlePause  = 3 * time.Second
	// watchWait is how long a watch takes; the platform allows 30 s. configWait leaves a second and a half to share what
	// a watch missed: a configuration counts everywhere four seconds after the store is sound again.
	watchWait  = 7 * time.Second
	configWait = 2500 * time.Millisecond
	// gatherServers collects the entries of servers that start together; a leaving one may get work for seconds.
	gatherServers = 350 * time.Millisecond
	// leastReaders is how many daemons of the fleet read the store for the others at least; each zone has one.
	leastReaders = 2
)

// reads reports whether this daemon reads the store for the others.
func reads(members *member.Service) bool {
	zones := map[string]bool{}
	for _, m := range members.Live() {
		zones[m.AvailabilityZone] = true
	}
	return members.Rank() < (leastReaders+len(zones)-1)/max(1, len(zones))
}

func (d *Daemon) buildFleet(listener net.Listener, store *platform.Store) (*relay.Gossip, *member.Service, *peer.Hub) {
	c := d.cfg
	self := peer.Node{
		ID: d.id, Incarnation: 1, Region: c.Region, AvailabilityZone: c.AvailabilityZone, PeerAddress: c.PeerAddress,
	}
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: listener.Addr().(*net.TCPAddr).IP}}
	hub := peer.New(self, nil, listener, func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp4", address)
	}, d.log, func() {})
	gossip := relay.New(hub, heartbeat)
	daemons := platform.NewDaemons(store)
	list := &loneList{daemons: daemons, self: c.ID}
	members := member.New(self, gossip, hub, list, member.Options{
		CallerAddress: c.CallerAddress, SuspectAfter: suspectAfter, ListInterval: joinInterval,
		WatchersPerAZ: 1, Seeds: c.Seeds, OnSuperseded: func() {},
	}, d.log)
	list.live = members.Live
	gossip.SetOverlay(members)
	d.kernel.Add("peers", hub)
	d.kernel.Add("relay", gossip)
	d.kernel.Add("members", members)
	d.kernel.Add("registration", &registration{
		daemons: daemons, vm: c.ID, log: d.log, needed: func() bool { return reads(members) },
		entry: vmlist.VM{ID: d.id, Region: c.Region, AvailabilityZone: c.AvailabilityZone, PeerAddress: c.PeerAddress},
	})
	return gossip, members, hub
}

func (d *Daemon) buildRouter(servers *registry.Registry, trials *trial.Service, members *member.Service) *forward.Router {
	b := d.cfg.Bounds
	chooser := place.New(d.cfg.Region, d.cfg.AvailabilityZone)
	servers.OnChange(func(v *registry.View) {
		chooser.Retain(func(id string) bool { _, ok := v.Get(id); return ok })
	})
	router := forward.New(platform.NewUpstream(), servers, trials, sizing.Policy{MinConfidence: confidenceKept}, chooser, forward.Options{
		Retries:     retry.Limit{Ratio: retryPart * b.RetryRatio, Slack: retryPart * b.RetrySlack, Window: b.RetryWindow},
		LiveDaemons: func() int { return len(members.Live()) }, ZoneRegion: d.cfg.ZoneRegion,
	}, d.log)
	d.kernel.Add("router", router)
	return router
}

const (
	// confidenceKept is the confidence from which the answer of a small model is kept.
	confidenceKept = 50
)

func (d *Daemon) buildEdges(ls listeners, tables *started, members *member.Service, router *forward.Router) {
	m := metrics.New(d.cfg.ID)
	entries := &entries{members: members, region: d.cfg.Region, zone: d.cfg.AvailabilityZone}
	front := ingress.New(ingress.Config{
		Listener: ls.caller, Codec: platform.Codec{}, Router: router, Tables: tables,
		Leave: func() { members.SetReady(false); members.Leave() }, ListLifetime: listLifetime, Grace: d.cfg.Bounds.Grace,
		Metrics: m.Scope, Log: d.log,
	})
	ready := func() bool { return tables.Current() != nil && !front.Leaving() }
	tables.whenReady(func() { members.SetReady(true) })
	d.kernel.Add("callers", front)
	d.kernel.Add("directory", newServer(ls.directory, platform.Directory(entries.near, listLifetime)))
	d.kernel.Add("ready", newServer(ls.ready, platform.Ready(ready)))
	d.kernel.Add("metrics", newServer(ls.metrics, inspect(m, d.kernel)))
}

// inspect serves the metrics and the state dump.
func inspect(m metrics.Metrics, k *kernel.Kernel) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler)
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, k.Dump()) })
	return mux
}

// Run serves until ctx ends.
func (d *Daemon) Run(ctx context.Context) error {
	c := d.cfg
	d.log.Emit(event.DaemonStarted, "process", d.id, "caller", c.CallerAddress, "peer", c.PeerAddress, "directory", c.DirectoryAddress, "store", c.StoreAddress)
	err := d.kernel.Run(ctx)
	d.log.Emit(event.DaemonStopped)
	return err
}
