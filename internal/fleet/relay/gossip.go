package relay

import (
	"context"
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

// Overlay chooses the neighbours and learns which of them answer.
type Overlay interface {
	// Neighbours returns whom to send records and heartbeats to.
	Neighbours() []peer.Node
	// Answered is called after each heartbeat that was answered.
	Answered(n peer.Node)
	// Silent is called after each heartbeat that was not answered.
	Silent(n peer.Node)
}

// Gossip keeps the tables of this daemon and its neighbours alike.
type Gossip struct {
	calls    Caller
	interval time.Duration
	tables   map[string]*Table

	mu       sync.Mutex
	overlay  Overlay
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
		outboxes: map[string]*outbox{}, differed: map[string]int{}, beating: map[string]bool{},
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

// Publish applies records and passes on those that are new.
func (g *Gossip) Publish(table string, records ...Record) {
	g.forward(table, g.tables[table].Apply(records...), "")
}

// PublishOwn publishes a record of this daemon under a version above any seen.
func (g *Gossip) PublishOwn(table, key string, m proto.Message) error {
	body, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	version := time.Now().UnixNano()
	if old, ok := g.tables[table].Get(key); ok && old.Version >= version {
		version = old.Version + 1
	}
	g.Publish(table, Record{Key: key, Version: version, Body: body})
	return nil
}

func (g *Gossip) forward(table string, records []Record, except string) {
	if len(records) == 0 {
		return
	}
	for _, n := range g.neighbours(table) {
		if n.ID != except {
			g.outbox(n).add(table, records)
		}
	}
}

func (g *Gossip) neighbours(table string) []peer.Node {
	g.mu.Lock()
	o := g.overlay
	g.mu.Unlock()
	if o == nil {
		return nil
	}
	var out []peer.Node
	for _, n := range o.Neighbours() {
		if table != ZoneTable || n.AvailabilityZone == g.calls.Self().AvailabilityZone {
			out = append(out, n)
		}
	}
	return out
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
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, n := range g.neighbours(FleetTable) {
			g.startBeat(ctx, n)
		}
	}
}

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
	err := g.calls.Call(callCtx, n, serviceHeartbeat, g.heartbeat(n), &theirs)
	g.mu.Lock()
	o := g.overlay
	g.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil {
			o.Silent(n)
		}
		return
	}
	o.Answered(n)
	for _, d := range theirs.GetDigests() {
		g.compareRoot(ctx, n, d)
	}
}

func (g *Gossip) heartbeat(n peer.Node) *peerpb.Heartbeat {
	hb := &peerpb.Heartbeat{Digests: []*peerpb.TableDigest{{Table: FleetTable, Root: g.Fleet().Root()}}}
	if n.AvailabilityZone == g.calls.Self().AvailabilityZone {
		hb.Digests = append(hb.Digests, &peerpb.TableDigest{Table: ZoneTable, Root: g.Zone().Root()})
	}
	return hb
}

// compareRoot synchronises a table once its digest has differed twice in a row.
func (g *Gossip) compareRoot(ctx context.Context, n peer.Node, d *peerpb.TableDigest) {
	t, ok := g.tables[d.GetTable()]
	if !ok {
		return
	}
	key := n.ID + "/" + d.GetTable()
	g.mu.Lock()
	if t.Root() == d.GetRoot() {
		delete(g.differed, key)
		g.mu.Unlock()
		return
	}
	g.differed[key]++
	due := g.differed[key] >= 2
	g.mu.Unlock()
	if due {
		_ = g.Sync(ctx, n, d.GetTable())
	}
}

// Sync makes one table of this daemon and a peer alike.
func (g *Gossip) Sync(ctx context.Context, n peer.Node, table string) error {
	t, ok := g.tables[table]
	if !ok {
		return fault.New(fault.NotFound, "name a table", "no table %q", table)
	}
	g.mu.Lock()
	g.syncs++
	g.mu.Unlock()
	var diff peerpb.SyncResponse
	if err := g.calls.Call(ctx, n, serviceSync, &peerpb.SyncRequest{Table: table, Buckets: t.Buckets()}, &diff); err != nil {
		return err
	}
	pull, push := t.split(&diff)
	if len(push) > 0 {
		g.outbox(n).add(table, push)
	}
	if len(pull) == 0 {
		return nil
	}
	var got peerpb.Push
	if err := g.calls.Call(ctx, n, servicePull, &peerpb.PullRequest{Table: table, Keys: pull}, &got); err != nil {
		return err
	}
	g.forward(table, t.Apply(recordsOf(&got)...), n.ID)
	return nil
}

func (g *Gossip) handlePush(_ context.Context, from peer.Node, body []byte) (proto.Message, error) {
	var p peerpb.Push
	t, err := g.decode(body, &p, p.GetTable)
	if err != nil {
		return nil, err
	}
	g.forward(p.GetTable(), t.Apply(recordsOf(&p)...), from.ID)
	return nil, nil
}

func (g *Gossip) handleHeartbeat(_ context.Context, from peer.Node, _ []byte) (proto.Message, error) {
	return g.heartbeat(from), nil
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
