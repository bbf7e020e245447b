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

// Gossip is what the membership needs of the replicated tables.
type Gossip interface {
	Fleet() *relay.Table
	Publish(records ...relay.Record)
	PublishOwn(key string, m proto.Message) error
	Sync(ctx context.Context, n peer.Node) error
}

// Joiner connects to a daemon of which only the address is known.
type Joiner interface {
	Join(ctx context.Context, address string) (peer.Node, error)
	Disconnect(id string)
}

// List is the platform's VM list.
type List interface {
	Fetch(ctx context.Context, after int64) (vmlist.Snapshot, bool, error)
}

// Options sets the timing of the membership.
type Options struct {
	CallerAddress string
	SuspectAfter  time.Duration
	ListInterval  time.Duration
	WatchersPerAZ int
	Seeds         []string
	// OnSuperseded is called once a newer process with this daemon's ID is known.
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

	mu          sync.Mutex
	cached      *view
	answered    map[string]time.Time
	leaving     bool
	ready       bool
	listRev     int64
	listFailing bool
	// superseded is true once a newer process has this daemon's ID; its record is then left alone.
	superseded bool
	onChange   []func()
}

// New returns the membership of the daemon self.
func New(self peer.Node, gossip Gossip, joiner Joiner, list List, opts Options, log *event.Log) *Service {
	s := &Service{self: self, gossip: gossip, joiner: joiner, list: list, opts: opts, log: log, answered: map[string]time.Time{}}
	for _, prefix := range []string{vmPrefix, daemonPrefix, suspectPrefix} {
		gossip.Fleet().Subscribe(prefix, s.changed)
	}
	return s
}

// OnChange calls fn after each change of the view.
func (s *Service) OnChange(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, fn)
}

func (s *Service) changed(r relay.Record) {
	s.mu.Lock()
	s.cached = nil
	fns := s.onChange
	s.mu.Unlock()
	switch r.Key {
	case suspectPrefix + s.self.ID:
		s.refute(r)
	case daemonPrefix + s.self.ID:
		s.checkOwn(r)
	}
	for _, fn := range fns {
		fn()
	}
}

// checkOwn looks at a record under this daemon's own ID, which another process may have published.
func (s *Service) checkOwn(r relay.Record) {
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

// refute publishes this daemon's record anew if the suspicion covers the current one.
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

// SetReady publishes whether this daemon takes requests.
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
	if s.cached == nil {
		s.cached = buildView(s.gossip.Fleet())
		s.cached.links = buildOverlay(s.cached, s.self)
	}
	return s.cached
}

// Members returns every daemon that is not gone.
func (s *Service) Members() []Member { return s.view().members }

// Live returns the daemons that are not suspected, self among them.
func (s *Service) Live() []Member {
	return slices.DeleteFunc(slices.Clone(s.view().members), func(m Member) bool { return m.Suspected && m.ID != s.self.ID })
}

// Backends returns the backend servers that are not gone.
func (s *Service) Backends() []vmlist.VM { return s.view().backends }

// Neighbours returns whom this daemon sends records and heartbeats to.
func (s *Service) Neighbours() []peer.Node {
	v := s.view()
	out := slices.Clone(v.links.near)
	if p, ok := probe(v, s.self.ID); ok {
		out = append(out, p)
	}
	return out
}

// TreeNeighbours returns whom this daemon sends frequent records to.
func (s *Service) TreeNeighbours() []peer.Node { return s.view().links.tree }

// Aggregators returns the daemons that sum up this availability zone.
func (s *Service) Aggregators() []peer.Node { return s.view().links.aggregators }

// probe picks one suspect at random, so that a daemon that comes back is noticed.
func probe(v *view, self string) (peer.Node, bool) {
	var suspects []peer.Node
	for _, m := range v.members {
		if m.Suspected && m.ID != self {
			suspects = append(suspects, m.Node)
		}
	}
	if len(suspects) == 0 {
		return peer.Node{}, false
	}
	return suspects[rand.IntN(len(suspects))], true
}

// HeartbeatAnswered notes that a neighbour is alive; a suspect is told, so that it can refute.
func (s *Service) HeartbeatAnswered(n peer.Node) {
	s.mu.Lock()
	s.answered[n.ID] = time.Now()
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

// HeartbeatMissed notes an unanswered heartbeat and suspects the neighbour after a while.
func (s *Service) HeartbeatMissed(n peer.Node) {
	s.mu.Lock()
	last, ok := s.answered[n.ID]
	if !ok {
		s.answered[n.ID] = time.Now()
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

// Rank returns this daemon's place among the live ones of its availability zone, from 0.
func (s *Service) Rank() int {
	own := s.view().byZone(s.self.ID)[s.self.AvailabilityZone]
	return slices.IndexFunc(own, func(m Member) bool { return m.ID == s.self.ID })
}

// IsWatcher reports whether this daemon reads the platform for its availability zone.
func (s *Service) IsWatcher() bool {
	rank := s.Rank()
	return rank < s.opts.WatchersPerAZ
}

// Run publishes this daemon, joins the others and reads the VM list until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	s.publishSelf()
	s.readList(ctx)
	ticker := time.NewTicker(s.opts.ListInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		s.joinUnmet(ctx, round)
		var alone <-chan time.Time
		if len(s.opts.Seeds) > 0 && len(s.Live()) < 2 {
			alone = time.After(seedInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-alone:
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
	after := s.listRev
	s.mu.Unlock()
	snap, changed, err := s.list.Fetch(ctx, after)
	s.noteList(ctx, err)
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
	s.listRev = max(s.listRev, snap.Revision)
	s.mu.Unlock()
}

func (s *Service) noteList(ctx context.Context, err error) {
	s.mu.Lock()
	failing := s.listFailing
	s.listFailing = err != nil
	s.mu.Unlock()
	if err != nil && !failing && ctx.Err() == nil {
		s.log.Emit(event.VMListUnavailable, "error", err.Error())
	}
}

// joinUnmet connects to daemons of which only the address is known and copies their table.
func (s *Service) joinUnmet(ctx context.Context, round int) {
	var addresses []string
	for _, vm := range s.view().unmet {
		if vm.ID != s.self.ID && !vm.Leaving {
			addresses = append(addresses, vm.PeerAddress)
		}
	}
	timeout := s.opts.SuspectAfter
	if len(s.Live()) < 2 {
		addresses = append(addresses, s.opts.Seeds...)
		timeout = min(timeout, joinTimeout<<(round%joinTurns))
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	var wg sync.WaitGroup
	for _, a := range addresses[:min(len(addresses), joinsAtOnce)] {
		wg.Go(func() { s.join(ctx, a, timeout) })
	}
	wg.Wait()
}

const (
	// seedInterval is the time between two tries at the seeds by a daemon that knows no other; seeds that start at
	// the same time listen a little later.
	seedInterval = 100 * time.Millisecond
	// joinTimeout bounds the first try of a daemon that knows no other, three round trips between regions; a machine
	// without power does not answer at all. Further tries may take longer, in turns, over links that lose packets.
	joinTimeout = 300 * time.Millisecond
	// joinTurns is the number of tries of which each may take twice as long as the one before.
	joinTurns = 4
	// joinsAtOnce bounds how many unknown daemons are tried in one round.
	joinsAtOnce = 3
)

// join connects to an address within a timeout and copies the table of the daemon there.
func (s *Service) join(ctx context.Context, address string, timeout time.Duration) {
	if address == "" || address == s.self.PeerAddress {
		return
	}
	joinCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	n, err := s.joiner.Join(joinCtx, address)
	if err != nil {
		return
	}
	syncCtx, cancel := context.WithTimeout(ctx, s.opts.SuspectAfter)
	defer cancel()
	_ = s.gossip.Sync(syncCtx, n)
}

// Dump shows the members, the neighbours and the backend servers.
func (s *Service) Dump() any {
	s.mu.Lock()
	rev := s.listRev
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
