package relay

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// Names of the services that daemons call on each other.
const (
	servicePush      = "relay.push"
	serviceHeartbeat = "relay.heartbeat"
	serviceSync      = "relay.sync"
	servicePull      = "relay.pull"
)

// Caller calls services of other daemons and registers handlers for theirs.
type Caller interface {
	Self() peer.Node
	Call(ctx context.Context, to peer.Node, service string, req, resp proto.Message) error
	Handle(service string, fn peer.Handler)
}

// Overlay chooses whom to send to and learns which of them answer.
type Overlay interface {
	// Neighbours returns whom to send heartbeats and rare records to.
	Neighbours() []peer.Node
	// TreeNeighbours returns whom to send frequent records to; each daemon is reached over few of these edges.
	TreeNeighbours() []peer.Node
	// Aggregators returns the daemons that sum up this availability zone.
	Aggregators() []peer.Node
	// HeartbeatAnswered is called after each heartbeat that was answered.
	HeartbeatAnswered(n peer.Node)
	// HeartbeatMissed is called after each heartbeat that was not answered.
	HeartbeatMissed(n peer.Node)
}

// Gossip keeps the tables of this daemon and its neighbours alike.
type Gossip struct {
	calls    Caller
	interval time.Duration
	tables   map[string]*Table

	mu       sync.Mutex
	overlay  Overlay
	frequent []string
	// reports holds the zone table's keys that this daemon publishes.
	reports  map[string]bool
	outboxes map[string]*outbox
	differed map[string]int
	beating  map[string]bool
	syncs    int64
}

// New returns a gossip over empty tables.
func New(calls Caller, interval time.Duration) *Gossip {
	g := &Gossip{
		calls: calls, interval: interval,
		tables:   map[string]*Table{FleetTable: NewTable(FleetTable), ZoneTable: NewTable(ZoneTable)},
		outboxes: map[string]*outbox{}, reports: map[string]bool{}, differed: map[string]int{}, beating: map[string]bool{},
	}
	calls.Handle(servicePush, g.handlePush)
	calls.Handle(serviceHeartbeat, g.handleHeartbeat)
	calls.Handle(serviceSync, g.handleSync)
	calls.Handle(servicePull, g.handlePull)
	return g
}

// SetOverlay gives the gossip its neighbours; without it nothing is passed on.
func (g *Gossip) SetOverlay(o Overlay) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.overlay = o
}

// Fleet returns the table that reaches every daemon.
func (g *Gossip) Fleet() *Table { return g.tables[FleetTable] }

// Zone returns the table that stays within the availability zone.
func (g *Gossip) Zone() *Table { return g.tables[ZoneTable] }

// MarkFrequent has fleet records under a prefix sent over the edges of the tree only and left
// out of the digests.
func (g *Gossip) MarkFrequent(prefix string) {
	g.Fleet().leaveOut(prefix)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frequent = append(g.frequent, prefix)
}

// Publish applies records of the fleet table and passes on those that are new.
func (g *Gossip) Publish(records ...Record) {
	g.forward(g.Fleet().Apply(records...), g.calls.Self())
}

// PublishOwn publishes a record of this daemon in the fleet table under a version above any seen.
func (g *Gossip) PublishOwn(key string, m proto.Message) error {
	r, err := g.ownRecord(g.Fleet(), key, m)
	if err == nil {
		g.Publish(r)
	}
	return err
}

// Report sends a record of this daemon to the daemons that sum up its availability zone.
func (g *Gossip) Report(key string, m proto.Message) error {
	r, err := g.ownRecord(g.Zone(), key, m)
	if err != nil {
		return err
	}
	g.Zone().Apply(r)
	g.mu.Lock()
	g.reports[key] = true
	g.mu.Unlock()
	g.sendReports(r)
	return nil
}

func (g *Gossip) ownRecord(t *Table, key string, m proto.Message) (Record, error) {
	body, err := proto.Marshal(m)
	if err != nil {
		return Record{}, err
	}
	version := time.Now().UnixNano()
	if old, ok := t.Get(key); ok && old.Version >= version {
		version = old.Version + 1
	}
	return Record{Key: key, Version: version, Body: body}, nil
}

func (g *Gossip) sendReports(records ...Record) {
	o := g.getOverlay()
	if o == nil || len(records) == 0 {
		return
	}
	for _, n := range o.Aggregators() {
		if n.ID != g.calls.Self().ID {
			g.outbox(n).add(ZoneTable, records)
		}
	}
}

// repeatReports sends all own reports again, for aggregators that are new or missed one.
func (g *Gossip) repeatReports() {
	g.mu.Lock()
	var records []Record
	for key := range g.reports {
		if r, ok := g.Zone().Get(key); ok {
			records = append(records, r)
		}
	}
	g.mu.Unlock()
	g.sendReports(records...)
}

func (g *Gossip) getOverlay() Overlay {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.overlay
}

// forward passes fleet records on. Those that came from another availability zone stay in
// this one, since their sender's zone serves the others itself.
func (g *Gossip) forward(records []Record, from peer.Node) {
	o := g.getOverlay()
	if len(records) == 0 || o == nil {
		return
	}
	rare, frequent := g.classify(records)
	g.sendTo(o.Neighbours(), rare, from)
	g.sendTo(o.TreeNeighbours(), frequent, from)
}

func (g *Gossip) sendTo(nodes []peer.Node, records []Record, from peer.Node) {
	if len(records) == 0 {
		return
	}
	zone := g.calls.Self().AvailabilityZone
	for _, n := range nodes {
		if n.ID == from.ID || from.AvailabilityZone != zone && n.AvailabilityZone != zone {
			continue
		}
		g.outbox(n).add(FleetTable, records)
	}
}

func (g *Gossip) classify(records []Record) (rare, frequent []Record) {
	g.mu.Lock()
	prefixes := g.frequent
	g.mu.Unlock()
	for _, r := range records {
		if slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(r.Key, p) }) {
			frequent = append(frequent, r)
		} else {
			rare = append(rare, r)
		}
	}
	return rare, frequent
}

func (g *Gossip) outbox(n peer.Node) *outbox {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := g.outboxes[n.ID]
	if o == nil || o.node != n {
		o = newOutbox(g, n)
		g.outboxes[n.ID] = o
	}
	return o
}

// Run sends heartbeats to the neighbours until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	ticker := time.NewTicker(g.interval)
	defer ticker.Stop()
	for round := 1; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if round%reportRounds == 0 {
			g.repeatReports()
		}
		g.beatAll(ctx, round)
	}
}

// crossRounds is the number of heartbeats in the zone for one to another zone.
const crossRounds = 2

// beatAll sends the heartbeats of one round; those to other zones are rarer, since each zone has two links.
func (g *Gossip) beatAll(ctx context.Context, round int) {
	o := g.getOverlay()
	if o == nil {
		return
	}
	for _, n := range o.Neighbours() {
		if n.AvailabilityZone == g.calls.Self().AvailabilityZone || round%crossRounds == 0 {
			g.startBeat(ctx, n)
		}
	}
}

// reportRounds is the number of heartbeats after which reports are sent again.
const reportRounds = 5

// startBeat sends one heartbeat unless the last one is still out.
func (g *Gossip) startBeat(ctx context.Context, n peer.Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.beating[n.ID] {
		return
	}
	g.beating[n.ID] = true
	go func() {
		g.beat(ctx, n)
		g.mu.Lock()
		delete(g.beating, n.ID)
		g.mu.Unlock()
	}()
}

func (g *Gossip) beat(ctx context.Context, n peer.Node) {
	callCtx, cancel := context.WithTimeout(ctx, max(g.interval, time.Second))
	defer cancel()
	var theirs peerpb.Heartbeat
	err := g.calls.Call(callCtx, n, serviceHeartbeat, g.heartbeat(), &theirs)
	o := g.getOverlay()
	if err != nil {
		if ctx.Err() == nil {
			o.HeartbeatMissed(n)
		}
		return
	}
	o.HeartbeatAnswered(n)
	for _, d := range theirs.GetDigests() {
		g.compareRoot(ctx, n, d)
	}
}

func (g *Gossip) heartbeat() *peerpb.Heartbeat {
	return &peerpb.Heartbeat{Digests: []*peerpb.TableDigest{{Table: FleetTable, Root: g.Fleet().Root()}}}
}

// compareRoot synchronises the fleet table once its digest has differed twice in a row.
func (g *Gossip) compareRoot(ctx context.Context, n peer.Node, d *peerpb.TableDigest) {
	if d.GetTable() != FleetTable {
		return
	}
	g.mu.Lock()
	if g.Fleet().Root() == d.GetRoot() {
		delete(g.differed, n.ID)
		g.mu.Unlock()
		return
	}
	g.differed[n.ID]++
	due := g.differed[n.ID] >= 2
	g.mu.Unlock()
	if due {
		_ = g.Sync(ctx, n)
	}
}

// Sync makes the fleet table of this daemon and a peer alike.
func (g *Gossip) Sync(ctx context.Context, n peer.Node) error {
	g.mu.Lock()
	g.syncs++
	g.mu.Unlock()
	t := g.Fleet()
	var diff peerpb.SyncResponse
	if err := g.calls.Call(ctx, n, serviceSync, &peerpb.SyncRequest{Table: FleetTable, Buckets: t.Buckets()}, &diff); err != nil {
		return err
	}
	pull, push := t.split(&diff)
	if len(push) > 0 {
		g.outbox(n).add(FleetTable, push)
	}
	if len(pull) == 0 {
		return nil
	}
	var got peerpb.Push
	if err := g.calls.Call(ctx, n, servicePull, &peerpb.PullRequest{Table: FleetTable, Keys: pull}, &got); err != nil {
		return err
	}
	g.forward(t.Apply(recordsOf(&got)...), n)
	return nil
}

func (g *Gossip) handlePush(_ context.Context, from peer.Node, body []byte) (proto.Message, error) {
	var p peerpb.Push
	t, err := g.decode(body, &p, p.GetTable)
	if err != nil {
		return nil, err
	}
	changed := t.Apply(recordsOf(&p)...)
	if p.GetTable() == FleetTable {
		g.forward(changed, from)
	}
	return nil, nil
}

func (g *Gossip) handleHeartbeat(_ context.Context, _ peer.Node, _ []byte) (proto.Message, error) {
	return g.heartbeat(), nil
}

func (g *Gossip) handleSync(_ context.Context, _ peer.Node, body []byte) (proto.Message, error) {
	var req peerpb.SyncRequest
	t, err := g.decode(body, &req, req.GetTable)
	if err != nil {
		return nil, err
	}
	return t.compare(req.GetBuckets()), nil
}

func (g *Gossip) handlePull(_ context.Context, _ peer.Node, body []byte) (proto.Message, error) {
	var req peerpb.PullRequest
	t, err := g.decode(body, &req, req.GetTable)
	if err != nil {
		return nil, err
	}
	var out []Record
	for _, k := range req.GetKeys() {
		if r, ok := t.Get(k); ok {
			out = append(out, r)
		}
	}
	return pushOf(req.GetTable(), out), nil
}

func (g *Gossip) decode(body []byte, m proto.Message, table func() string) (*Table, error) {
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, fault.New(fault.BadRequest, "run the same version on every daemon", "message can't be read").WithCause(err)
	}
	t, ok := g.tables[table()]
	if !ok {
		return nil, fault.New(fault.NotFound, "run the same version on every daemon", "no table %q", table())
	}
	return t, nil
}

// Dump shows the size of each table and how often digests differed.
func (g *Gossip) Dump() any {
	type size struct {
		Records int    `json:"records"`
		Bytes   int    `json:"bytes"`
		Root    uint64 `json:"root"`
	}
	g.mu.Lock()
	syncs := g.syncs
	g.mu.Unlock()
	sizes := map[string]size{}
	for name, t := range g.tables {
		n, b := t.Size()
		sizes[name] = size{n, b, t.Root()}
	}
	return struct {
		Tables map[string]size `json:"tables"`
		Syncs  int64           `json:"syncs"`
	}{sizes, syncs}
}
