package trial

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/back/registry"
	"github.com/pollencourse/pollencourse/internal/config/mirror"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

const (
	// roundInterval is the time between two rounds; a bad version has to be stopped within seconds.
	roundInterval = 250 * time.Millisecond
	// takeoverDelay times its rank is how long a daemon waits for those of lower rank to write a state.
	takeoverDelay = 800 * time.Millisecond
	// minWriteInterval is the shortest time between two writes of one daemon for a roll-out.
	minWriteInterval = 700 * time.Millisecond
	// firstHalfExposureFraction is the fraction of the allowed exposure that the first half of a roll-out uses.
	firstHalfExposureFraction = 0.6
	// settleTime is how long after its start no session uses the target: until then the daemons tell each other which
	// sessions use the old version, in rounds that take roundInterval plus the time to reach all daemons.
	settleTime = 4 * roundInterval
)

// Gossip publishes to the replicated fleet table and reads it.
type Gossip interface {
	Fleet() *relay.Table
	MarkFrequent(prefix string)
	PublishOwn(key string, m proto.Message) error
}

// Members returns the daemons that are not suspected.
type Members interface {
	Live() []member.Member
}

// StateWriter writes the state of a roll-out to the store.
type StateWriter interface {
	SetState(ctx context.Context, o Order, s State) error
}

// Service takes part in the roll-outs of all services for one daemon.
type Service struct {
	self           string
	gossip         Gossip
	members        Members
	states         StateWriter
	decode         func(o mirror.Object) (Order, error)
	firstHalfShare float64
	log            *event.Log

	mu              sync.Mutex
	rollouts        map[string]*serviceRollout
	serviceByObject map[string]string
	past            pastRollouts
	// lastCounts is the last record of counts without elapsed times, encoded.
	lastCounts  []byte
	lastTimesAt time.Time
	writing     bool
	// sessions are those that this daemon serves, departed those of daemons that left a short while ago.
	sessions *recentSessions
	departed departedSessions
	// leaving is true once this daemon shuts down.
	leaving bool
}

// Options holds the bounds that the platform sets for roll-outs.
type Options struct {
	// ExposureShare is the share of requests that a bad version may get.
	ExposureShare float64
	// SessionLifetime is the longest pause between two requests of a session.
	SessionLifetime time.Duration
}

// New returns the Service of the daemon self.
func New(self string, gossip Gossip, members Members, states StateWriter, decode func(mirror.Object) (Order, error), opts Options, log *event.Log) *Service {
	gossip.MarkFrequent(countsPrefix)
	gossip.MarkFrequent(timesPrefix)
	s := &Service{
		self: self, gossip: gossip, members: members, states: states, decode: decode, firstHalfShare: firstHalfExposureFraction * opts.ExposureShare,
		log: log, rollouts: map[string]*serviceRollout{}, serviceByObject: map[string]string{}, past: pastRollouts{},
		sessions: newRecentSessions(opts.SessionLifetime), departed: departedSessions{},
	}
	gossip.Fleet().Subscribe(departurePrefix, s.handleDeparture)
	return s
}

// Apply applies a change of an order's object in the store.
func (s *Service) Apply(c mirror.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Deleted {
		s.remove(c)
		return
	}
	s.update(c)
}

// remove ends a roll-out whose order was deleted. One whose order is only missing from a restored store stays in force.
func (s *Service) remove(c mirror.Change) {
	service := s.serviceByObject[c.Object.Name]
	if r := s.rollouts[service]; r != nil {
		if c.MayReturn && c.Object.Era > r.order.Era {
			r.lost = true
			return
		}
		now := time.Now()
		s.past.recordRemoval(r.order, c.Object.Era, now)
		s.forgetPast(now)
	}
	delete(s.rollouts, service)
	delete(s.serviceByObject, c.Object.Name)
}

func (s *Service) update(c mirror.Change) {
	obj := c.Object
	o, err := s.decode(obj)
	if err != nil {
		s.log.Emit(event.RolloutUnreadable, "object", obj.Name, "revision", obj.Revision, "error", err.Error())
		return
	}
	if s.ignoresRestored(o, c.Restored) {
		return
	}
	s.serviceByObject[obj.Name] = o.Service
	now, stored := time.Now(), o.State
	o.State = s.past.effectiveState(o, c.Restored)
	s.past.record(o, stored, now)
	r := s.rollouts[o.Service]
	if r == nil || !r.order.sameRollout(o) {
		if r != nil && r.order.Target != o.Target {
			s.past.recordRemoval(r.order, o.Era, now)
			s.forgetPast(now)
		}
		r = newRollout(o, now)
		r.holdSessions(s.sessions, now, s.firstHalfShare)
		r.held.addOthers(s.departed.current(now))
		s.rollouts[o.Service] = r
	}
	if r.order.State != o.State || r.order.Revision == o.Revision || stored != o.State {
		s.log.Emit(event.RolloutState, "service", o.Service, "target", o.Target, "state", string(o.State), "stored", string(stored), "era", o.Era, "revision", o.Revision)
	}
	r.order, r.stored, r.lost = o, stored, false
}

// Eligible returns the servers that may take a request, and those that may if all of the preferred ones fail. A request
// without a session counts as a session of its own.
func (s *Service) Eligible(service, session, requestID string, servers []registry.Server) (preferred, fallback []registry.Server) {
	s.mu.Lock()
	r := s.rollouts[service]
	if r == nil {
		s.mu.Unlock()
		return servers, nil
	}
	now := time.Now()
	target, mayFallBack := r.useTarget(cmp.Or(session, requestID), s.firstHalfShare, now)
	target = target && !s.keepsVersion(r, session, now)
	ofTarget, ofOthers := splitByVersion(servers, r.order.Target)
	r.targetServers, r.otherServers = len(ofTarget), len(ofOthers)
	s.mu.Unlock()
	preferred, others := ofOthers, ofTarget
	if target {
		preferred, others = ofTarget, ofOthers
	}
	if mayFallBack {
		fallback = others
	}
	if len(preferred) == 0 {
		return fallback, nil
	}
	return preferred, fallback
}

// useTarget reports whether a request goes to the target version, and whether it may fall back to the other versions.
// Neither is true once the target is worse: a request then gets no server rather than one of the target version.
func (r *serviceRollout) useTarget(key string, firstHalfShare float64, now time.Time) (target, mayFallBack bool) {
	switch {
	case r.order.State == Completed:
		return true, true
	case r.worse || r.order.State == RolledBack:
		return false, false
	default:
		return sessionPosition(r.order, key) < r.ramp(firstHalfShare).Share(r.elapsed(now)), true
	}
}

// keepsVersion reports whether a session may not use the target yet, or no session may.
func (s *Service) keepsVersion(r *serviceRollout, session string, now time.Time) bool {
	switch {
	case r.order.finished() || r.sessionsMayMove(now, s.firstHalfShare):
		return false
	case r.elapsed(now) < settleTime:
		return true
	case session == "":
		return false
	default:
		h := hashSession(r.order.Service, session)
		return r.held.contains(h) || s.sessions.usesOther(r.order.Service, r.order.Target, h, now)
	}
}

// sessionPosition hashes a session to [0, 1), independently for each service and target.
func sessionPosition(o Order, key string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(o.Service+"\x00"+o.Target+"\x00"+key)>>(64-bits)) / (1 << bits)
}

// splitByVersion returns the servers of a version and those of all others.
func splitByVersion(servers []registry.Server, version string) (matching, others []registry.Server) {
	matching, others = make([]registry.Server, 0, len(servers)), make([]registry.Server, 0, len(servers))
	for _, srv := range servers {
		if srv.Version == version {
			matching = append(matching, srv)
		} else {
			others = append(others, srv)
		}
	}
	return matching, others
}

// Begin counts the start of an attempt of a session at a server; End must follow. The session is empty for none.
func (s *Service) Begin(srv registry.Server, session string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if session != "" {
		s.sessions.begin(srv.Service, session, srv.Version, time.Now())
	}
	s.addOldInFlight(srv, 1)
}

// End counts the end of an attempt, whatever its result.
func (s *Service) End(srv registry.Server, session string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if session != "" {
		s.sessions.end(srv.Service, session, time.Now())
	}
	s.addOldInFlight(srv, -1)
}

// addOldInFlight counts an attempt at a server of another version than the target. Callers hold s.mu.
func (s *Service) addOldInFlight(srv registry.Server, n int64) {
	if r := s.rollouts[srv.Service]; r != nil && srv.Version != r.order.Target {
		r.oldInFlight = max(0, r.oldInFlight+n)
	}
}

// Judge counts a response as good or bad. It is bad also if chunkTime, its mean time between chunks or its time to first
// chunk, is much longer than the old version's usual one for responses of the same class; a chunkTime of 0 is not compared.
func (s *Service) Judge(srv registry.Server, route, class string, bad bool, chunkTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.rollouts[srv.Service]; r != nil && !r.order.finished() {
		r.countResponse(srv.Version == r.order.Target, route, class, bad, chunkTime)
	}
}

// JudgeSpeed records the chunk time of a response, once for each: of a stream, its mean time between chunks before it
// ends, since slow streams end late and would show a slow version too late. A stream of the target counts as slow if a
// server with little load should be faster. firstChunk is true for a time to first chunk, which depends on the caches too.
func (s *Service) JudgeSpeed(srv registry.Server, route, class string, chunkTime time.Duration, firstChunk bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, now := s.rollouts[srv.Service], time.Now()
	switch {
	case r == nil || r.order.finished() || !r.bothServe(now, s.firstHalfShare):
	case srv.Version != r.order.Target:
		r.times.observe(class, chunkTime)
	case !firstChunk && r.targetHasLittleLoad(now, s.firstHalfShare):
		r.addTargetStream(targetStream{route, class, chunkTime})
	}
}

// Run publishes this daemon's counts and evaluates the fleet's until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.withdrawDeparture()
			return nil
		case <-ticker.C:
			s.round(ctx)
		}
	}
}

// round publishes this daemon's part, evaluates the fleet's and writes states that are due. Without an unfinished
// roll-out it sends nothing, unless this daemon leaves or a restored store has lost a final state.
func (s *Service) round(ctx context.Context) {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if leaving {
		s.publishDeparture()
	}
	if s.publishCounts() {
		s.publishTimes()
	} else if !s.hasUnwritten() {
		return
	}
	for _, due := range s.evaluate(s.othersRecords(countsPrefix), s.othersRecords(timesPrefix)) {
		s.writeState(ctx, due.order, due.state)
	}
}

// pendingWrite is a state that this daemon should write now.
type pendingWrite struct {
	order Order
	state State
}

// evaluate decides on each unfinished roll-out and returns the states that this daemon should write now.
func (s *Service) evaluate(others, othersTimes map[string][]*peerpb.ServiceTrial) []pendingWrite {
	rank := s.rank()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var out []pendingWrite
	for _, r := range s.rollouts {
		if !r.order.finished() {
			s.evaluateRollout(r, others[r.order.Service], othersTimes[r.order.Service], now)
		}
		if want := r.desiredState(now, s.firstHalfShare); r.writeIsDue(want, rank, now) {
			out = append(out, pendingWrite{r.order, want})
		}
	}
	return out
}

// evaluateRollout merges the other daemons' records of an unfinished roll-out and decides whether its target is worse.
func (s *Service) evaluateRollout(r *serviceRollout, others, othersTimes []*peerpb.ServiceTrial, now time.Time) {
	matching := r.order.matching(others)
	r.adoptEarliestStart(matching, now)
	for _, o := range matching {
		r.held.addOthers(o.GetHeldSessions())
	}
	r.times.replaceOthers(r.order.matching(othersTimes))
	before := r.worse
	r.evaluateFleet(matching)
	if r.worse && !before {
		s.log.Emit(event.RolloutStopped, "service", r.order.Service, "target", r.order.Target, "elapsedMs", r.elapsed(now).Milliseconds(), "answers", r.fleetCounts)
	}
}

// adoptEarliestStart sets the start to the earliest that any daemon knows of, for a daemon that started during the
// roll-out.
func (r *serviceRollout) adoptEarliestStart(others []*peerpb.ServiceTrial, now time.Time) {
	for _, o := range others {
		if startedAt := now.Add(-time.Duration(o.GetElapsedMs()) * time.Millisecond); startedAt.Before(r.startedAt) {
			r.startedAt = startedAt
		}
	}
}

// rank returns this daemon's index among the live ones, or 0 if it isn't among them.
func (s *Service) rank() int {
	return max(0, slices.IndexFunc(s.members.Live(), func(m member.Member) bool { return m.ID == s.self }))
}

// writeState writes a state to the store, unless a write is in flight. After a conflict or a lost response the mirror
// shows the stored state, and a later round writes again if need be.
func (s *Service) writeState(ctx context.Context, o Order, state State) {
	s.mu.Lock()
	busy := s.writing
	s.writing = true
	s.mu.Unlock()
	if busy {
		return
	}
	go func() {
		err := s.states.SetState(ctx, o, state)
		s.log.Emit(event.RolloutWritten, "service", o.Service, "target", o.Target, "state", string(state), "revision", o.Revision, "error", err)
		s.mu.Lock()
		s.writing = false
		s.mu.Unlock()
	}()
}

// Dump shows each roll-out by service.
func (s *Service) Dump() any {
	type state struct {
		Order     Order   `json:"order"`
		ElapsedMs int64   `json:"elapsedMs"`
		Share     float64 `json:"share"`
		Worse     bool    `json:"worse"`
		Stored    State   `json:"stored"`
		Lost      bool    `json:"lost"`
		Fleet     any     `json:"fleet"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]state{}
	now := time.Now()
	for name, r := range s.rollouts {
		out[name] = state{r.order, r.elapsed(now).Milliseconds(), r.ramp(s.firstHalfShare).Share(r.elapsed(now)), r.worse, r.stored, r.lost, r.fleetCounts}
	}
	return out
}
