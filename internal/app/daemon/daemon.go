package daemon

import (
	"cmp"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pollencourse/pollencourse/internal/back/engine"
	backend "github.com/pollencourse/pollencourse/internal/back/service"
	"github.com/pollencourse/pollencourse/internal/config/distribute"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/core/kernel"
	"github.com/pollencourse/pollencourse/internal/core/settings"
	"github.com/pollencourse/pollencourse/internal/decide/balance"
	"github.com/pollencourse/pollencourse/internal/edge/caller"
	"github.com/pollencourse/pollencourse/internal/edge/operator"
	"github.com/pollencourse/pollencourse/internal/edge/session"
	"github.com/pollencourse/pollencourse/internal/fleet/charge"
	"github.com/pollencourse/pollencourse/internal/fleet/evidence"
	"github.com/pollencourse/pollencourse/internal/fleet/intent"
	"github.com/pollencourse/pollencourse/internal/fleet/lease"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/placement"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
	"github.com/pollencourse/pollencourse/internal/platform/rater"
	"github.com/pollencourse/pollencourse/internal/platform/store"
	"github.com/pollencourse/pollencourse/internal/platform/vmlist"
	"github.com/pollencourse/pollencourse/internal/route/chat"
	"github.com/pollencourse/pollencourse/internal/route/pool"
	"github.com/pollencourse/pollencourse/internal/route/service"
)

// Listeners are the sockets of a daemon, opened before it starts.
type Listeners struct {
	Caller   net.Listener
	Peer     net.Listener
	Operator net.Listener
}

// Listen opens the sockets that the settings name.
func Listen(s *settings.Settings) (Listeners, error) {
	var out Listeners
	for _, l := range []struct {
		to      *net.Listener
		address string
		key     string
	}{
		{&out.Caller, s.Daemon.CallerAddress, "callerAddress"},
		{&out.Peer, s.Daemon.PeerAddress, "peerAddress"},
		{&out.Operator, s.Daemon.OperatorAddress, "operatorAddress"},
	} {
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			out.Close()
			return Listeners{}, fault.New(fault.Unavailable, "free the address or change "+l.key, "can't listen on %s", l.address).WithCause(err)
		}
		*l.to = opened
	}
	return out, nil
}

// Close closes the sockets that are open.
func (l Listeners) Close() {
	for _, x := range []net.Listener{l.Caller, l.Peer, l.Operator} {
		if x != nil {
			_ = x.Close()
		}
	}
}

// Daemon is one entry VM's process.
type Daemon struct {
	cfg    *settings.Settings
	log    *event.Log
	kernel *kernel.Kernel
	stop   context.CancelFunc
	ctx    context.Context

	superseded atomic.Bool
}

// Version is the product's version.
const Version = "0.1.0"

// evidenceInterval is how often evidence and demand are published.
const evidenceInterval = 2 * time.Second

// staleAfter is how old the last contact with the store may be before rolling-in versions are not used.
const staleAfter = 10 * time.Second

// New builds a daemon from its settings and sockets.
func New(cfg *settings.Settings, ls Listeners, log *event.Log) *Daemon {
	ctx, stop := context.WithCancel(context.Background())
	d := &Daemon{cfg: cfg, log: log, kernel: kernel.New(log), ctx: ctx, stop: stop}
	d.build(ls)
	return d
}

// parts are the services that others are built on.
type parts struct {
	store   *store.Client
	hub     *peer.Hub
	gossip  *relay.Gossip
	members *member.Service
	inForce *distribute.InForce
	watcher *distribute.Watcher
	acks    *distribute.Acks
	ledger  *charge.Ledger
	intents *intent.Service
	proof   *evidence.Service
}

func (d *Daemon) build(ls Listeners) {
	var p parts
	d.buildFleet(&p, ls)
	d.buildConfig(&p)
	d.buildState(&p)
	chatRouter, serviceRouter := d.buildRoutes(&p)
	metrics := newMetrics(d.cfg.Daemon.ID)
	ready := func() bool { return len(p.inForce.Templates()) > 0 }
	d.kernel.Add("ready", &readiness{ready: ready, inForce: p.inForce, members: p.members, log: d.log})
	d.kernel.Add("operator", operator.New(operator.Config{
		Listener: ls.Operator, Key: d.cfg.Daemon.OperatorKey, Editor: distribute.NewEditor(p.store, p.gossip),
		InForce: p.inForce, Acks: p.acks, Members: p.members, Intents: p.intents,
		Bill: func(ctx context.Context) (charge.Bill, error) { return charge.Read(ctx, p.store) },
		Dump: d.kernel.Dump, Metrics: metrics.handler, Ready: ready, Version: Version,
	}))
	d.kernel.Add("caller", caller.New(caller.Config{
		Region: d.cfg.Daemon.Region, Zone: d.cfg.Daemon.AvailabilityZone, Listener: ls.Caller,
		Limits: d.cfg.Limits, EntriesLifetime: d.cfg.Fleet.EntriesLifetime, Policies: p.inForce.Policies,
		Chat: chatRouter, Services: serviceRouter, Sessions: session.New(d.cfg.Session.Keys, d.cfg.Session.Lifetime),
		Demand: p.proof, Entries: p.members, Membership: p.members, Accepts: p.ledger.Accepts,
		Ready: ready, Metrics: metrics.scope, Log: d.log,
	}))
}

func (d *Daemon) buildFleet(p *parts, ls Listeners) {
	c := d.cfg
	self := peer.Node{
		ID: c.Daemon.ID, Incarnation: time.Now().UnixNano(), Region: c.Daemon.Region,
		AvailabilityZone: c.Daemon.AvailabilityZone, PeerAddress: cmp.Or(c.Daemon.PeerAdvertised, ls.Peer.Addr().String()),
	}
	p.store = store.New(c.Platform.Store, c.Platform.StoreTimeout, c.Platform.StoreCallRate, d.log)
	p.hub = peer.New(self, c.Session.Keys, ls.Peer, dialFrom(ls.Peer.Addr()), d.log, d.supersede)
	p.gossip = relay.New(p.hub, c.Fleet.HeartbeatInterval)
	list := vmlist.New(c.Platform.VMList, c.Platform.StoreTimeout)
	p.members = member.New(self, p.gossip, p.hub, list, member.Options{
		CallerAddress: cmp.Or(c.Daemon.CallerAdvertised, ls.Caller.Addr().String()), Interval: c.Fleet.HeartbeatInterval, SuspectAfter: c.Fleet.SuspectAfter,
		ListInterval: c.Platform.VMListInterval, WatchersPerAZ: c.Platform.WatchersPerAZ, Seeds: c.Fleet.Seeds,
	}, d.log)
	p.gossip.SetOverlay(p.members)
	d.kernel.Add("store", p.store)
	d.kernel.Add("peers", p.hub)
	d.kernel.Add("relay", p.gossip)
	d.kernel.Add("members", p.members)
}

func (d *Daemon) buildConfig(p *parts) {
	p.inForce = distribute.NewInForce(p.gossip.Fleet(), d.log)
	p.watcher = distribute.NewWatcher(p.store, p.gossip, p.members.IsWatcher, d.log)
	p.acks = distribute.NewAcks(d.cfg.Daemon.ID, d.cfg.Daemon.AvailabilityZone, p.inForce, p.gossip, p.members)
	d.kernel.Add("configuration", p.inForce)
	d.kernel.Add("watcher", p.watcher)
	d.kernel.Add("acknowledgements", p.acks)
}

func (d *Daemon) buildState(p *parts) {
	p.ledger = charge.New(p.store, p.hub, p.members, charge.Options{
		Flush: d.cfg.Fleet.ChargeFlush, MaxHeld: d.cfg.Limits.MaxHeldCharges, HoldTimeout: holdTimeout,
	}, d.log)
	p.intents = intent.New(p.store, p.hub, p.members, d.log)
	p.proof = evidence.New(p.hub.Self(), p.gossip, p.members, p.inForce, evidenceInterval, d.log)
	d.kernel.Add("charges", p.ledger)
	d.kernel.Add("intents", p.intents)
	d.kernel.Add("evidence", p.proof)
}

// holdTimeout is how long a stand-by may take to hold a charge.
const holdTimeout = 500 * time.Millisecond

func (d *Daemon) buildRoutes(p *parts) (*chat.Router, *service.Router) {
	c := d.cfg
	places := pool.New(p.members, balance.New(c.Daemon.Region, c.Daemon.AvailabilityZone, nil), c.Daemon.Region, c.Fleet.LinkBytesPerSec)
	var ratingService chat.RatingService
	if c.Platform.Rater != "" {
		ratingService = rater.New(c.Platform.Rater, c.Platform.StoreTimeout)
	}
	ratings := chat.NewRatingQueue(ratingService, d.log)
	engines := engine.New(engine.DefaultDial(), c.Limits.MaxAnswerBytes, c.Limits.StreamStall)
	chatRouter := chat.New(chat.Deps{
		Engines: engines, Pool: places, Evidence: p.proof, Policies: p.inForce, Charges: p.ledger, Ratings: ratings,
		Learner: chat.NewLearner(), Stale: func() bool { return p.watcher.SinceSeen() > staleAfter }, Log: d.log,
	})
	serviceRouter := service.New(backend.New(engine.DefaultDial(), c.Limits.MaxAnswerBytes), places, p.intents, p.ledger, d.log)
	d.kernel.Add("servers", places)
	d.kernel.Add("placement", d.buildPlacement(p, engines))
	d.kernel.Add("ratings", ratings)
	d.kernel.Add("chat", chatRouter)
	d.kernel.Add("services", serviceRouter)
	return chatRouter, serviceRouter
}

func (d *Daemon) buildPlacement(p *parts, engines *engine.Client) *placement.Service {
	c := d.cfg.Platform
	held := lease.New(p.store, "placement-"+d.cfg.Daemon.Region, d.cfg.Daemon.ID,
		lease.Options{Duration: c.LeaseDuration, Margin: c.LeaseDuration / leaseMarginPart}, d.log)
	return placement.New(held, engines, p.members, p.inForce, placement.Options{
		Region: d.cfg.Daemon.Region, Interval: c.LeaseDuration / renewalsPerLease,
		Flight: c.OrderFlight, AtOnce: c.LoadsAtOnce,
	}, d.log)
}

const (
	leaseMarginPart  = 10
	renewalsPerLease = 4
)

// dialFrom returns a dialer whose connections come from the IP number that this daemon listens on.
func dialFrom(listen net.Addr) peer.Dialer {
	var nd net.Dialer
	if tcp, ok := listen.(*net.TCPAddr); ok && !tcp.IP.IsUnspecified() {
		nd.LocalAddr = &net.TCPAddr{IP: tcp.IP}
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return nd.DialContext(ctx, "tcp", address)
	}
}

// supersede stops this daemon at once: a newer process has its ID.
func (d *Daemon) supersede() {
	if d.superseded.CompareAndSwap(false, true) {
		d.log.Emit(event.DaemonSuperseded)
		d.stop()
	}
}

// Run serves until ctx ends or a newer process takes this daemon's ID.
func (d *Daemon) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, d.stop)
	defer stop()
	d.log.Emit(event.DaemonStarted, "caller", d.cfg.Daemon.CallerAddress, "peer", d.cfg.Daemon.PeerAddress, "operator", d.cfg.Daemon.OperatorAddress)
	err := d.kernel.Run(d.ctx)
	d.log.Emit(event.DaemonStopped)
	if d.superseded.Load() {
		return fault.New(fault.Superseded, "stop the older process, or give each VM its own ID", "a newer process has the ID %s", d.cfg.Daemon.ID)
	}
	return err
}

// Dump returns the state of every service.
func (d *Daemon) Dump() map[string]any { return d.kernel.Dump() }
