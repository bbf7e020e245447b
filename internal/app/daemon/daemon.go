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
	"github.com/pollencourse/pollencourse/internal/core/metrics"
	"github.com/pollencourse/pollencourse/internal/core/settings"
	"github.com/pollencourse/pollencourse/internal/decide/balance"
	"github.com/pollencourse/pollencourse/internal/edge/caller"
	"github.com/pollencourse/pollencourse/internal/edge/operator"
	"github.com/pollencourse/pollencourse/internal/edge/session"
	"github.com/pollencourse/pollencourse/internal/external/rater"
	"github.com/pollencourse/pollencourse/internal/external/store"
	"github.com/pollencourse/pollencourse/internal/external/vmlist"
	"github.com/pollencourse/pollencourse/internal/fleet/charge"
	"github.com/pollencourse/pollencourse/internal/fleet/evidence"
	"github.com/pollencourse/pollencourse/internal/fleet/intent"
	"github.com/pollencourse/pollencourse/internal/fleet/lease"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/placement"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
	"github.com/pollencourse/pollencourse/internal/route/chat"
	"github.com/pollencourse/pollencourse/internal/route/pool"
	"github.com/pollencourse/pollencourse/internal/route/service"
)

// Listeners holds the sockets of a daemon, which are opened before it starts.
type Listeners struct {
	Caller   net.Listener
	Peer     net.Listener
	Operator net.Listener
}

// Listen opens the sockets that the settings name.
func Listen(s *settings.Settings) (Listeners, error) {
	var out Listeners
	for _, l := range []struct {
		listener *net.Listener
		address  string
		key      string
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
		*l.listener = opened
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

// Daemon is the process of one entry VM.
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

// evidenceInterval is the time between publications of evidence and demand.
const evidenceInterval = 2 * time.Second

// maxStoreContactAge is the time since the last contact with the store after which rolling-in versions are not used.
const maxStoreContactAge = 10 * time.Second

// New builds a daemon from its settings and sockets.
func New(cfg *settings.Settings, ls Listeners, log *event.Log) *Daemon {
	ctx, stop := context.WithCancel(context.Background())
	d := &Daemon{cfg: cfg, log: log, kernel: kernel.New(log), ctx: ctx, stop: stop}
	d.build(ls)
	return d
}

// Names under which services are registered and looked up.
const (
	storeName    = "store"
	peersName    = "peers"
	relayName    = "relay"
	membersName  = "members"
	inForceName  = "configuration"
	watcherName  = "watcher"
	acksName     = "acknowledgements"
	chargesName  = "charges"
	intentsName  = "intents"
	evidenceName = "evidence"
	serversName  = "servers"
	ratingsName  = "ratings"
	chatName     = "chat"
	servicesName = "services"
	enginesName  = "engines"
)

// mustLookup returns the service registered under a name. It panics if there is none, which means that build
// registers the services in the wrong order.
func mustLookup[T any](d *Daemon, name string) T {
	t, err := kernel.Lookup[T](d.kernel, name)
	if err != nil {
		panic(err)
	}
	return t
}

// build registers each service after the services that it depends on.
func (d *Daemon) build(ls Listeners) {
	d.buildFleet(ls)
	d.buildConfig()
	d.buildState()
	d.buildRoutes()
	d.buildEdges(ls)
}

func (d *Daemon) buildFleet(ls Listeners) {
	c := d.cfg
	self := peer.Node{
		ID: c.Daemon.ID, Incarnation: time.Now().UnixNano(), Region: c.Daemon.Region,
		AvailabilityZone: c.Daemon.AvailabilityZone, PeerAddress: cmp.Or(c.Daemon.PeerAdvertised, ls.Peer.Addr().String()),
	}
	hub := peer.New(self, c.Session.Keys, ls.Peer, dialFrom(ls.Peer.Addr()), d.log, d.supersede)
	gossip := relay.New(hub, c.Fleet.HeartbeatInterval)
	list := vmlist.New(c.Platform.VMList, c.Platform.StoreTimeout)
	members := member.New(self, gossip, hub, list, member.Options{
		CallerAddress: cmp.Or(c.Daemon.CallerAdvertised, ls.Caller.Addr().String()),
		SuspectAfter:  c.Fleet.SuspectAfter, ListInterval: c.Platform.VMListInterval,
		WatchersPerAZ: c.Platform.WatchersPerAZ, Seeds: c.Fleet.Seeds, OnSuperseded: d.supersede,
	}, d.log)
	hub.OnReplacement(members.MeetNewcomer)
	gossip.SetOverlay(members)
	d.kernel.Add(storeName, store.New(c.Platform.Store, c.Platform.StoreTimeout, c.Platform.StoreCallRate, d.log))
	d.kernel.Add(peersName, hub)
	d.kernel.Add(relayName, gossip)
	d.kernel.Add(membersName, members)
}

func (d *Daemon) buildConfig() {
	gossip := mustLookup[distribute.Gossip](d, relayName)
	members := mustLookup[*member.Service](d, membersName)
	inForce := distribute.NewInForce(gossip.Fleet(), d.log)
	d.kernel.Add(inForceName, inForce)
	d.kernel.Add(watcherName, distribute.NewWatcher(mustLookup[distribute.Objects](d, storeName), gossip, members.IsWatcher, d.log))
	d.kernel.Add(acksName, distribute.NewAcks(d.cfg.Daemon.ID, d.cfg.Daemon.AvailabilityZone, inForce, gossip, members))
}

func (d *Daemon) buildState() {
	hub := mustLookup[*peer.Hub](d, peersName)
	d.kernel.Add(chargesName, charge.New(mustLookup[charge.Objects](d, storeName), hub, mustLookup[charge.Members](d, membersName), charge.Options{
		FlushInterval: d.cfg.Fleet.ChargeFlush, MaxHeldCharges: d.cfg.Limits.MaxHeldCharges, HoldTimeout: chargeHoldTimeout,
	}, d.log))
	d.kernel.Add(intentsName, intent.New(mustLookup[intent.Objects](d, storeName), hub, mustLookup[intent.Members](d, membersName), d.log))
	d.kernel.Add(evidenceName, evidence.New(hub.Self(), mustLookup[evidence.Gossip](d, relayName), mustLookup[evidence.Members](d, membersName),
		mustLookup[evidence.Policies](d, inForceName), evidenceInterval, d.log))
}

// chargeHoldTimeout bounds the call that asks a standby to hold a charge.
const chargeHoldTimeout = 500 * time.Millisecond

func (d *Daemon) buildRoutes() {
	c := d.cfg
	serverPool := pool.New(mustLookup[pool.Backends](d, membersName), balance.New(c.Daemon.Region, c.Daemon.AvailabilityZone, nil),
		c.Daemon.Region, c.Fleet.SpilloverBytesPerSecond)
	var ratingService chat.RatingService
	if c.Platform.Rater != "" {
		ratingService = rater.New(c.Platform.Rater, c.Platform.StoreTimeout)
	}
	ratings := chat.NewRatingQueue(ratingService, d.log)
	engines := engine.New(engine.DefaultDial(), c.Limits.MaxResponseBytes, c.Limits.StreamStall)
	watcher := mustLookup[*distribute.Watcher](d, watcherName)
	d.kernel.Add(serversName, serverPool)
	d.kernel.Add(enginesName, engines)
	d.kernel.Add("placement", d.newPlacement())
	d.kernel.Add(ratingsName, ratings)
	d.kernel.Add(chatName, chat.New(chat.Deps{
		Engines: engines, Pool: serverPool, Evidence: mustLookup[chat.Evidence](d, evidenceName), Policies: mustLookup[chat.Policies](d, inForceName),
		Charges: mustLookup[chat.Charges](d, chargesName), Ratings: ratings, Learner: chat.NewLearner(),
		Stale: func() bool { return watcher.SinceStoreContact() > maxStoreContactAge }, Log: d.log,
	}))
	d.kernel.Add(servicesName, service.New(backend.New(engine.DefaultDial(), c.Limits.MaxResponseBytes), serverPool,
		mustLookup[service.Intents](d, intentsName), mustLookup[service.Charges](d, chargesName), d.log))
}

func (d *Daemon) newPlacement() *placement.Service {
	c := d.cfg.Platform
	placementLease := lease.New(mustLookup[lease.Objects](d, storeName), "placement-"+d.cfg.Daemon.Region, d.cfg.Daemon.ID,
		lease.Options{Duration: c.LeaseDuration, SafetyMargin: c.LeaseDuration / leaseMarginDivisor}, d.log)
	return placement.New(placementLease, mustLookup[placement.Engines](d, enginesName), mustLookup[placement.Backends](d, membersName),
		mustLookup[placement.Policies](d, inForceName), placement.Options{
			Region: d.cfg.Daemon.Region, Interval: c.LeaseDuration / renewalsPerLease,
			OrderTimeout: c.OrderFlight, MaxConcurrentLoads: c.LoadsAtOnce,
		}, d.log)
}

const (
	leaseMarginDivisor = 10
	renewalsPerLease   = 4
)

func (d *Daemon) buildEdges(ls Listeners) {
	inForce := mustLookup[*distribute.InForce](d, inForceName)
	members := mustLookup[*member.Service](d, membersName)
	objects := mustLookup[*store.Client](d, storeName)
	m := metrics.New(d.cfg.Daemon.ID)
	ready := func() bool { return len(inForce.Templates()) > 0 }
	d.kernel.Add("ready", &readiness{ready: ready, inForce: inForce, members: members, log: d.log})
	d.kernel.Add("operator", operator.New(operator.Config{
		Listener: ls.Operator, Key: d.cfg.Daemon.OperatorKey, Editor: distribute.NewEditor(objects, mustLookup[distribute.Gossip](d, relayName)),
		InForce: inForce, Acks: mustLookup[operator.Acks](d, acksName), Members: members, Intents: mustLookup[operator.Intents](d, intentsName),
		Bill: func(ctx context.Context) (charge.Bill, error) { return charge.Read(ctx, objects) },
		Dump: d.kernel.Dump, Metrics: m.Handler, Ready: ready, Version: Version,
	}))
	d.kernel.Add("caller", caller.New(caller.Config{
		Region: d.cfg.Daemon.Region, Zone: d.cfg.Daemon.AvailabilityZone, Listener: ls.Caller,
		Limits: d.cfg.Limits, EntriesLifetime: d.cfg.Fleet.EntriesLifetime, Policies: inForce.Policies,
		Chat: mustLookup[caller.ChatRouter](d, chatName), Services: mustLookup[caller.ServiceRouter](d, servicesName),
		Sessions: session.New(d.cfg.Session.Keys, d.cfg.Session.Lifetime), Demand: mustLookup[caller.Demand](d, evidenceName),
		Entries: members, Membership: members, Accepts: mustLookup[*charge.Ledger](d, chargesName).Accepts,
		Ready: ready, Metrics: m.Scope, Log: d.log,
	}))
}

// dialFrom returns a dialer whose connections come from the IP address that this daemon listens on.
func dialFrom(listen net.Addr) peer.Dialer {
	var nd net.Dialer
	if tcp, ok := listen.(*net.TCPAddr); ok && !tcp.IP.IsUnspecified() {
		nd.LocalAddr = &net.TCPAddr{IP: tcp.IP}
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return nd.DialContext(ctx, "tcp", address)
	}
}

// supersede stops this daemon because a newer process has its ID.
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
