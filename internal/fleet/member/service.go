package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/external/vmlist"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

// Gossip publishes to the replicated fleet table and reads it.
type Gossip interface {
	Fleet() *relay.Table
	Publish(records ...relay.Record)
	PublishOwn(key string, m proto.Message) error
	Sync(ctx context.Context, n peer.Node) error
}

// Joiner opens and closes connections to daemons; Join needs only the address.
type Joiner interface {
	Join(ctx context.Context, address string) (peer.Node, error)
	Disconnect(id string)
}

// List reads the platform's VM list; Fetch reports whether it changed after a revision.
type List interface {
	Fetch(ctx context.Context, after int64) (vmlist.Snapshot, bool, error)
}

// Options configures the membership.
type Options struct {
	CallerAddress string
	SuspectAfter  time.Duration
	ListInterval  time.Duration
	WatchersPerAZ int
	Seeds         []string
	// OnSuperseded is called when a newer process with this daemon's ID is found.
	OnSuperseded func()
}

// Service is the membership of one daemon.
type Service struct {
	self   peer.Node
	gossip Gossip
	joiner Joiner
	list   List
	opts   Options
	log    *event.Log

	mu           sync.Mutex
	cachedView   *view
	lastAnswered map[string]time.Time
	leaving      bool
	ready        bool
	listRevision int64
	listFailing  bool
	// newcomers holds the daemons that were found at the address of a former one, until they are members.
	newcomers map[string]newcomer
	// superseded is true once a newer process has this daemon's ID; this one then no longer publishes its own record.
	superseded bool
	onChange   []func()
	// synced is closed once this daemon has synchronised with a peer, or has none to synchronise with.
	synced     chan struct{}
	markSynced func()
}

// New returns the membership of the daemon self.
func New(self peer.Node, gossip Gossip, joiner Joiner, list List, opts Options, log *event.Log) *Service {
	s := &Service{
		self: self, gossip: gossip, joiner: joiner, list: list, opts: opts, log: log, lastAnswered: map[string]time.Time{},
		newcomers: map[string]newcomer{}, synced: make(chan struct{}),
	}
	s.markSynced = sync.OnceFunc(func() { close(s.synced) })
	if !slices.ContainsFunc(opts.Seeds, func(seed string) bool { return seed != self.PeerAddress }) {
		s.markSynced()
	}
	for _, prefix := range []string{vmPrefix, daemonPrefix, suspectPrefix, replacedPrefix} {
		gossip.Fleet().Subscribe(prefix, s.handleRecord)
	}
	return s
}

// OnChange registers fn to be called after each change of the view.
func (s *Service) OnChange(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, fn)
}

// handleRecord is called for each changed record about a VM, a daemon or a suspicion.
func (s *Service) handleRecord(r relay.Record) {
	s.mu.Lock()
	s.cachedView = nil
	fns := s.onChange
	s.mu.Unlock()
	switch r.Key {
	case suspectPrefix + s.self.ID:
		s.refute(r)
	case daemonPrefix + s.self.ID:
		s.checkOwnRecord(r)
	case replacedPrefix + s.self.ID:
		s.contestReplacement()
	default:
		s.replaceFormer(r)
	}
	for _, fn := range fns {
		fn()
	}
}

// checkOwnRecord handles a record under this daemon's ID. Another process with the same ID may have published it: a
// newer one supersedes this one, and the record of an older one is replaced.
func (s *Service) checkOwnRecord(r relay.Record) {
	m, ok := decodeMember(r)
	switch {
	case !ok || m.Incarnation == s.self.Incarnation:
	case m.Incarnation > s.self.Incarnation:
		s.mu.Lock()
		s.superseded = true
		s.mu.Unlock()
		s.opts.OnSuperseded()
	default:
		s.publishSelf()
	}
}

// refute publishes this daemon's record under a new version if the suspicion covers the current one.
func (s *Service) refute(r relay.Record) {
	var sus peerpb.SuspectRecord
	own, ok := s.gossip.Fleet().Get(daemonPrefix + s.self.ID)
	if proto.Unmarshal(r.Body, &sus) == nil && ok && sus.GetRecordVersion() >= own.Version {
		s.publishSelf()
	}
}

func (s *Service) publishSelf() {
	s.mu.Lock()
	if s.superseded {
		s.mu.Unlock()
		return
	}
	rec := &peerpb.DaemonRecord{
		DaemonId: s.self.ID, Incarnation: s.self.Incarnation, Region: s.self.Region,
		AvailabilityZone: s.self.AvailabilityZone, CallerAddress: s.opts.CallerAddress,
		PeerAddress: s.self.PeerAddress, Leaving: s.leaving, Ready: s.ready,
	}
	s.mu.Unlock()
	_ = s.gossip.PublishOwn(daemonPrefix+s.self.ID, rec)
}

// SetReady publishes whether this daemon accepts requests.
func (s *Service) SetReady(ready bool) {
	s.mu.Lock()
	same := s.ready == ready
	s.ready = ready
	s.mu.Unlock()
	if !same {
		s.publishSelf()
	}
}

// Leave publishes that this daemon is shutting down.
func (s *Service) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.publishSelf()
}

func (s *Service) view() *view {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cachedView == nil {
		s.cachedView = buildView(s.gossip.Fleet())
		s.cachedView.overlay = buildOverlay(s.cachedView, s.self)
	}
	return s.cachedView
}

// Members returns every daemon that is not gone, suspects included.
func (s *Service) Members() []Member { return s.view().members }

// Live returns the daemons that are not suspected, self among them.
func (s *Service) Live() []Member {
	return slices.DeleteFunc(slices.Clone(s.view().members), func(m Member) bool { return m.Suspected && m.ID != s.self.ID })
}

// Backends returns the backend servers that are not gone.
func (s *Service) Backends() []vmlist.VM { return s.view().backends }

// Neighbours returns the daemons that this one sends heartbeats and rarely changing records to.
func (s *Service) Neighbours() []peer.Node { return s.view().overlay.neighbours }

// SuspectsToProbe returns the suspects that this daemon sends a heartbeat to in this round, at most one.
func (s *Service) SuspectsToProbe() []peer.Node {
	suspects := s.view().suspects(s.self.ID)
	// Each daemon that isn't suspected draws with the same chance, so that a suspect gets probesPerSuspect heartbeats a
	// round on average in a fleet of any size.
	chance := float64(probesPerSuspect*len(suspects)) / float64(len(s.Live()))
	if len(suspects) == 0 || rand.Float64() >= chance {
		return nil
	}
	return suspects[rand.IntN(len(suspects)):][:1]
}

// probesPerSuspect is the mean number of heartbeats that the whole fleet sends to a suspect in a round.
const probesPerSuspect = 3

// TreeNeighbours returns the daemons that this one sends frequently changing records to.
func (s *Service) TreeNeighbours() []peer.Node { return s.view().overlay.treeNeighbours }

// Aggregators returns the daemons that aggregate the reports of this availability zone.
func (s *Service) Aggregators() []peer.Node { return s.view().overlay.aggregators }

// HeartbeatAnswered records that a neighbour is alive. It syncs with a suspect that answers, so that the suspect
// learns of the suspicion and refutes it.
func (s *Service) HeartbeatAnswered(n peer.Node) {
	s.mu.Lock()
	s.lastAnswered[n.ID] = time.Now()
	s.mu.Unlock()
	i := slices.IndexFunc(s.Members(), func(m Member) bool { return m.ID == n.ID })
	if i < 0 || !s.Members()[i].Suspected {
		return
	}
	s.log.Emit(event.PeerRejoined, "peer", n.ID)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), s.opts.SuspectAfter)
		defer cancel()
		_ = s.gossip.Sync(ctx, n)
	}()
}

// HeartbeatMissed suspects a neighbour once Options.SuspectAfter has passed since its last answer, or since the first
// missed heartbeat if it has never answered.
func (s *Service) HeartbeatMissed(n peer.Node) {
	s.mu.Lock()
	last, ok := s.lastAnswered[n.ID]
	if !ok {
		s.lastAnswered[n.ID] = time.Now()
	}
	s.mu.Unlock()
	if !ok || time.Since(last) < s.opts.SuspectAfter {
		return
	}
	s.suspect(n)
}

func (s *Service) suspect(n peer.Node) {
	for _, m := range s.Live() {
		if m.ID != n.ID {
			continue
		}
		s.log.Emit(event.PeerSuspected, "peer", n.ID)
		s.joiner.Disconnect(n.ID)
		rec := &peerpb.SuspectRecord{DaemonId: n.ID, RecordVersion: m.RecordVersion, Observer: s.self.ID}
		_ = s.gossip.PublishOwn(suspectPrefix+n.ID, rec)
	}
}

// Rank returns this daemon's index among the live ones of its availability zone, ordered by the hash of the ID.
func (s *Service) Rank() int {
	own := s.view().liveByZone(s.self.ID)[s.self.AvailabilityZone]
	return slices.IndexFunc(own, func(m Member) bool { return m.ID == s.self.ID })
}

// IsWatcher reports whether this daemon reads the platform's VM list for its availability zone.
func (s *Service) IsWatcher() bool {
	rank := s.Rank()
	return rank < s.opts.WatchersPerAZ
}

// Run publishes this daemon's record and reads the VM list once. Until ctx ends it then joins daemons that it doesn't
// know yet and, while it is a watcher, reads the VM list every Options.ListInterval.
func (s *Service) Run(ctx context.Context) error {
	s.publishSelf()
	s.readList(ctx)
	ticker := time.NewTicker(s.opts.ListInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		s.joinPeers(ctx, round)
		var seedRetry <-chan time.Time
		if len(s.opts.Seeds) > 0 && len(s.Live()) < 2 {
			seedRetry = time.After(seedRetryInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-seedRetry:
			continue
		case <-ticker.C:
		}
		if s.IsWatcher() {
			s.readList(ctx)
		}
	}
}

func (s *Service) readList(ctx context.Context) {
	s.mu.Lock()
	after := s.listRevision
	s.mu.Unlock()
	snap, changed, err := s.list.Fetch(ctx, after)
	s.recordListResult(ctx, err)
	if err != nil || !changed {
		return
	}
	var records []relay.Record
	for _, vm := range snap.VMs {
		if r, err := recordOfVM(vm); err == nil {
			records = append(records, r)
		}
	}
	s.gossip.Publish(records...)
	s.mu.Lock()
	s.listRevision = max(s.listRevision, snap.Revision)
	s.mu.Unlock()
}

// recordListResult logs the first of several failed reads in a row.
func (s *Service) recordListResult(ctx context.Context, err error) {
	s.mu.Lock()
	failing := s.listFailing
	s.listFailing = err != nil
	s.mu.Unlock()
	if err != nil && !failing && ctx.Err() == nil {
		s.log.Emit(event.VMListUnavailable, "error", err.Error())
	}
}

// joinPeers joins VMs of the list that have published no record, seeds that are not members, and newcomers. A fleet whose
// seeds were all restarted at once would otherwise stay in two parts: the restarted seeds know each other, and nobody else
// has a reason to look for them.
func (s *Service) joinPeers(ctx context.Context, round int) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, n := range s.unknownNewcomers(time.Now()) {
		wg.Go(func() { s.synchronise(ctx, n) })
	}
	var addresses []string
	for _, vm := range s.view().unjoined {
		if vm.ID != s.self.ID && !vm.Leaving {
			addresses = append(addresses, vm.PeerAddress)
		}
	}
	timeout := s.opts.SuspectAfter
	if seeds := s.seedsToJoin(); len(seeds) > 0 {
		addresses = append(addresses, seeds...)
		timeout = min(timeout, firstJoinTimeout<<(round%joinTimeoutSteps))
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, a := range addresses[:min(len(addresses), maxJoinsPerRound)] {
		wg.Go(func() { s.join(ctx, a, timeout) })
	}
}

const (
	// seedRetryInterval is the time between attempts to join a seed while no other daemon is known. It is short
	// because daemons that start at the same time may not listen yet.
	seedRetryInterval = 100 * time.Millisecond
	// firstJoinTimeout bounds the first join attempts of a daemon that knows no other. It allows three round trips
	// between regions and is short because a machine without power never answers. The timeout doubles in the following
	// rounds, for links that lose packets.
	firstJoinTimeout = 300 * time.Millisecond
	// joinTimeoutSteps is the number of rounds after which the doubled timeout starts at firstJoinTimeout again.
	joinTimeoutSteps = 4
	// maxJoinsPerRound bounds how many addresses are tried in one round, all at the same time.
	maxJoinsPerRound = 3
)

// join connects to the daemon at an address within a timeout and synchronises the fleet table with it.
func (s *Service) join(ctx context.Context, address string, timeout time.Duration) {
	if address == "" || address == s.self.PeerAddress {
		return
	}
	joinCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if n, err := s.joiner.Join(joinCtx, address); err == nil {
		s.synchronise(ctx, n)
	}
}

// synchronise exchanges the fleet table with a daemon.
func (s *Service) synchronise(ctx context.Context, n peer.Node) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.SuspectAfter)
	defer cancel()
	if s.gossip.Sync(ctx, n) == nil {
		s.markSynced()
	}
}

// Synced is closed once this daemon has synchronised the fleet table with a peer; at once if it was given no seed beside
// itself.
func (s *Service) Synced() <-chan struct{} { return s.synced }

// Dump shows the members, the neighbours and the backend servers.
func (s *Service) Dump() any {
	s.mu.Lock()
	rev := s.listRevision
	s.mu.Unlock()
	return struct {
		ListRevision int64       `json:"listRevision"`
		Rank         int         `json:"rank"`
		Watcher      bool        `json:"watcher"`
		Members      []Member    `json:"members"`
		Neighbours   []peer.Node `json:"neighbours"`
		Backends     []vmlist.VM `json:"backends"`
	}{rev, s.Rank(), s.IsWatcher(), s.Members(), s.Neighbours(), s.Backends()}
}
