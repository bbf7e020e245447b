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

// Names of the services that daemons offer to each other.
const (
	servicePush      = "relay.push"
	serviceHeartbeat = "relay.heartbeat"
	serviceSync      = "relay.sync"
	servicePull      = "relay.pull"
)

// Caller calls services of other daemons and registers the handlers of this daemon's services.
type Caller interface {
	Self() peer.Node
	Call(ctx context.Context, to peer.Node, service string, req, resp proto.Message) error
	Handle(service string, fn peer.Handler)
}

// Overlay chooses the daemons to send to and is told which of them answer heartbeats.
type Overlay interface {
	// Neighbours returns the daemons that receive heartbeats and rarely changing records.
	Neighbours() []peer.Node
	// SuspectsToProbe returns suspected daemons that receive a heartbeat in this round, but no records.
	SuspectsToProbe() []peer.Node
	// TreeNeighbours returns the daemons that receive frequently changing records. They are the ends of
	// a spanning tree's edges, so that a daemon receives each record over few links.
	TreeNeighbours() []peer.Node
	// Aggregators returns the daemons that aggregate the reports of this availability zone.
	Aggregators() []peer.Node
	// HeartbeatAnswered is called after each heartbeat that n answered.
	HeartbeatAnswered(n peer.Node)
	// HeartbeatMissed is called after each heartbeat that n did not answer in time.
	HeartbeatMissed(n peer.Node)
}

// Gossip replicates this daemon's tables with its neighbours.
type Gossip struct {
	calls    Caller
	interval time.Duration
	tables   map[string]*Table

	mu               sync.Mutex
	overlay          Overlay
	frequentPrefixes []string
	// reportKeys holds the zone table's keys that this daemon reports under.
	reportKeys map[string]bool
	outboxes   map[string]*outbox
	// rootMismatches counts, by neighbour ID, the heartbeats in a row whose digest differed.
	rootMismatches    map[string]int
	heartbeatInFlight map[string]bool
	syncs             int64
}

// New returns a Gossip with empty tables that sends heartbeats at the given interval.
func New(calls Caller, interval time.Duration) *Gossip {
	g := &Gossip{
		calls: calls, interval: interval,
		tables:   map[string]*Table{FleetTable: NewTable(FleetTable), ZoneTable: NewTable(ZoneTable)},
		outboxes: map[string]*outbox{}, reportKeys: map[string]bool{}, rootMismatches: map[string]int{}, heartbeatInFlight: map[string]bool{},
	}
	calls.Handle(servicePush, g.handlePush)
	calls.Handle(serviceHeartbeat, g.handleHeartbeat)
	calls.Handle(serviceSync, g.handleSync)
	calls.Handle(servicePull, g.handlePull)
	return g
}

// SetOverlay sets the source of neighbours; until then records are not forwarded and no heartbeats sent.
func (g *Gossip) SetOverlay(o Overlay) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.overlay = o
}

// Fleet returns the table that is replicated to every daemon.
func (g *Gossip) Fleet() *Table { return g.tables[FleetTable] }

// Zone returns the table of the reports within the availability zone.
func (g *Gossip) Zone() *Table { return g.tables[ZoneTable] }

// MarkFrequent sends fleet records with the given key prefix only along the tree and leaves them
// out of the digests.
func (g *Gossip) MarkFrequent(prefix string) {
	g.Fleet().excludeFromDigest(prefix)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frequentPrefixes = append(g.frequentPrefixes, prefix)
}

// Publish applies records to the fleet table and forwards those that are newer than the held ones.
func (g *Gossip) Publish(records ...Record) {
	g.forward(g.Fleet().Apply(records...), g.calls.Self())
}

// PublishOwn publishes m in the fleet table with a version above that of any record seen under the key.
func (g *Gossip) PublishOwn(key string, m proto.Message) error {
	r, err := g.newRecord(g.Fleet(), key, m)
	if err == nil {
		g.Publish(r)
	}
	return err
}

// Report sends m to the aggregators of this daemon's availability zone.
func (g *Gossip) Report(key string, m proto.Message) error {
	r, err := g.newRecord(g.Zone(), key, m)
	if err != nil {
		return err
	}
	g.Zone().Apply(r)
	g.mu.Lock()
	g.reportKeys[key] = true
	g.mu.Unlock()
	g.sendReports(r)
	return nil
}

// newRecord encodes m with the time as version, or the held record's version + 1 if that is higher.
func (g *Gossip) newRecord(t *Table, key string, m proto.Message) (Record, error) {
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
	o := g.currentOverlay()
	if o == nil || len(records) == 0 {
		return
	}
	for _, n := range o.Aggregators() {
		if n.ID != g.calls.Self().ID {
			g.outboxFor(n).enqueue(ZoneTable, records)
		}
	}
}

// resendReports sends all own reports again, for aggregators that are new or missed a report.
func (g *Gossip) resendReports() {
	g.mu.Lock()
	var records []Record
	for key := range g.reportKeys {
		if r, ok := g.Zone().Get(key); ok {
			records = append(records, r)
		}
	}
	g.mu.Unlock()
	g.sendReports(records...)
}

func (g *Gossip) currentOverlay() Overlay {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.overlay
}

// forward sends fleet records on to the neighbours except the one that they came from. Records from
// another availability zone are forwarded only within this one, since the sender's zone reaches the
// other zones itself.
func (g *Gossip) forward(records []Record, from peer.Node) {
	o := g.currentOverlay()
	if len(records) == 0 || o == nil {
		return
	}
	rare, frequent := g.splitByFrequency(records)
	g.enqueue(o.Neighbours(), rare, from)
	g.enqueue(o.TreeNeighbours(), frequent, from)
}

func (g *Gossip) enqueue(nodes []peer.Node, records []Record, from peer.Node) {
	if len(records) == 0 {
		return
	}
	zone := g.calls.Self().AvailabilityZone
	for _, n := range nodes {
		if n.ID == from.ID || from.AvailabilityZone != zone && n.AvailabilityZone != zone {
			continue
		}
		g.outboxFor(n).enqueue(FleetTable, records)
	}
}

func (g *Gossip) splitByFrequency(records []Record) (rare, frequent []Record) {
	g.mu.Lock()
	prefixes := g.frequentPrefixes
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

func (g *Gossip) outboxFor(n peer.Node) *outbox {
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
		if round%reportResendRounds == 0 {
			g.resendReports()
		}
		g.startHeartbeats(ctx, round)
	}
}

// crossZoneRounds is the interval, in rounds, between heartbeats to a neighbour in another availability zone.
const crossZoneRounds = 2

// startHeartbeats sends the heartbeats of one round. Neighbours in other zones get fewer, since two
// daemons of this zone send heartbeats to each other zone.
func (g *Gossip) startHeartbeats(ctx context.Context, round int) {
	o := g.currentOverlay()
	if o == nil {
		return
	}
	for _, n := range o.Neighbours() {
		if n.AvailabilityZone == g.calls.Self().AvailabilityZone || round%crossZoneRounds == 0 {
			g.startHeartbeat(ctx, n)
		}
	}
	for _, n := range o.SuspectsToProbe() {
		g.startHeartbeat(ctx, n)
	}
}

// reportResendRounds is the number of heartbeat rounds after which reports are sent again.
const reportResendRounds = 5

// startHeartbeat sends one heartbeat to n unless the previous one is still in flight.
func (g *Gossip) startHeartbeat(ctx context.Context, n peer.Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.heartbeatInFlight[n.ID] {
		return
	}
	g.heartbeatInFlight[n.ID] = true
	go func() {
		g.exchangeHeartbeats(ctx, n)
		g.mu.Lock()
		delete(g.heartbeatInFlight, n.ID)
		g.mu.Unlock()
	}()
}

func (g *Gossip) exchangeHeartbeats(ctx context.Context, n peer.Node) {
	callCtx, cancel := context.WithTimeout(ctx, max(g.interval, time.Second))
	defer cancel()
	var theirs peerpb.Heartbeat
	err := g.calls.Call(callCtx, n, serviceHeartbeat, g.newHeartbeat(), &theirs)
	o := g.currentOverlay()
	if err != nil {
		if ctx.Err() == nil {
			o.HeartbeatMissed(n)
		}
		return
	}
	o.HeartbeatAnswered(n)
	for _, d := range theirs.GetDigests() {
		g.syncIfDiverged(ctx, n, d)
	}
}

func (g *Gossip) newHeartbeat() *peerpb.Heartbeat {
	return &peerpb.Heartbeat{Digests: []*peerpb.TableDigest{{Table: FleetTable, Root: g.Fleet().Root()}}}
}

// syncIfDiverged synchronises the fleet table with n once its digest has differed twice in a row.
// A single difference is usually a record that is still being forwarded.
func (g *Gossip) syncIfDiverged(ctx context.Context, n peer.Node, d *peerpb.TableDigest) {
	if d.GetTable() != FleetTable {
		return
	}
	g.mu.Lock()
	if g.Fleet().Root() == d.GetRoot() {
		delete(g.rootMismatches, n.ID)
		g.mu.Unlock()
		return
	}
	g.rootMismatches[n.ID]++
	due := g.rootMismatches[n.ID] >= 2
	g.mu.Unlock()
	if due {
		_ = g.Sync(ctx, n)
	}
}

// Sync exchanges the records in which the fleet tables of this daemon and a peer differ.
func (g *Gossip) Sync(ctx context.Context, n peer.Node) error {
	g.mu.Lock()
	g.syncs++
	g.mu.Unlock()
	t := g.Fleet()
	var diff peerpb.SyncResponse
	if err := g.calls.Call(ctx, n, serviceSync, &peerpb.SyncRequest{Table: FleetTable, Buckets: t.Buckets()}, &diff); err != nil {
		return err
	}
	pull, push := t.planSync(&diff)
	if len(push) > 0 {
		g.outboxFor(n).enqueue(FleetTable, push)
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
	t, err := g.decodeWithTable(body, &p, p.GetTable)
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
	return g.newHeartbeat(), nil
}

func (g *Gossip) handleSync(_ context.Context, _ peer.Node, body []byte) (proto.Message, error) {
	var req peerpb.SyncRequest
	t, err := g.decodeWithTable(body, &req, req.GetTable)
	if err != nil {
		return nil, err
	}
	return t.diffBuckets(req.GetBuckets()), nil
}

func (g *Gossip) handlePull(_ context.Context, _ peer.Node, body []byte) (proto.Message, error) {
	var req peerpb.PullRequest
	t, err := g.decodeWithTable(body, &req, req.GetTable)
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

// decodeWithTable unmarshals body into m and returns the table that m then names.
func (g *Gossip) decodeWithTable(body []byte, m proto.Message, table func() string) (*Table, error) {
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, fault.New(fault.BadRequest, "run the same version on every daemon", "message can't be read").WithCause(err)
	}
	t, ok := g.tables[table()]
	if !ok {
		return nil, fault.New(fault.NotFound, "run the same version on every daemon", "no table %q", table())
	}
	return t, nil
}

// Dump shows the size and digest of each table and the number of syncs started.
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
