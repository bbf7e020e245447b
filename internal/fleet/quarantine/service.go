package quarantine

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/decide/poison"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

const (
	// roundInterval is the time between two rounds while reports arrive, quietInterval while none do.
	roundInterval = 200 * time.Millisecond
	quietInterval = 2 * time.Second
	// activeTime is how long after the last change the rounds are frequent, and unchanged reports are published again
	// every repeatInterval in case they were lost.
	activeTime     = 10 * time.Second
	repeatInterval = time.Second
	// maxKnownParts bounds the parts of which a daemon remembers that they crash no server, and those that it has suspected.
	maxKnownParts = 8192
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

// Options configures a Service.
type Options struct {
	// VM is the ID of this daemon's VM, which stays the same over restarts.
	VM string
	// Contact is the time within which the daemons have to act on the ends of servers.
	Contact time.Duration
	// Servers returns the number of backend servers.
	Servers func() int
	// Dial connects to a server, to see whether its process still listens.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Service takes part in the fleet's quarantine for one daemon.
type Service struct {
	self    string
	gossip  Gossip
	members Members
	opts    Options
	log     *event.Log
	changed chan struct{}
	// cleared holds when this daemon last saw that a part crashes no server.
	cleared *lru.Cache[string, time.Time]
	// suspected holds the parts that this daemon has suspected.
	suspected *lru.Cache[string, struct{}]
	// quarantinedCount is len(quarantined), for requests to skip the lock.
	quarantinedCount atomic.Int64
	blockedCount     atomic.Int64
	// heldCount is len(heldContents), for requests to skip the lock.
	heldCount atomic.Int64

	mu          sync.Mutex
	breaks      map[incarnation]*serverBreaks
	evidence    *poison.Evidence
	quarantined map[string]*quarantinedPart
	lifted      map[string]time.Time
	// heldContents holds until when this daemon by itself keeps the contents of requests from servers.
	heldContents map[string]time.Time
	// ownEnds are the ends that this daemon reports, objections the parts that it clears for others.
	ownEnds    []poison.End
	objections map[string]time.Time
	// verdictSince holds since when the evidence has sufficed, by part.
	verdictSince map[string]time.Time
	lastChange   time.Time
	published    lastPublished
	onConvicted  []func(part string)
}

// New returns the Service of the daemon self.
func New(self string, gossip Gossip, members Members, opts Options, log *event.Log) *Service {
	cleared, err := lru.New[string, time.Time](maxKnownParts)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	suspected, err := lru.New[string, struct{}](maxKnownParts)
	if err != nil {
		panic(err)
	}
	s := &Service{
		self: self, gossip: gossip, members: members, opts: opts, log: log, changed: make(chan struct{}, 1), cleared: cleared, suspected: suspected,
		breaks: map[incarnation]*serverBreaks{}, evidence: poison.NewEvidence(), quarantined: map[string]*quarantinedPart{},
		lifted: map[string]time.Time{}, objections: map[string]time.Time{}, verdictSince: map[string]time.Time{},
		heldContents: map[string]time.Time{},
	}
	gossip.MarkFrequent(reportPrefix)
	gossip.Fleet().Subscribe(reportPrefix, s.handleReport)
	gossip.Fleet().Subscribe(quarantinePrefix, s.handleQuarantine)
	return s
}

// OnConvicted calls fn whenever requests with a part are no longer sent to servers.
func (s *Service) OnConvicted(fn func(part string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onConvicted = append(s.onConvicted, fn)
}

// noteChange makes the next rounds follow soon. Callers hold s.mu.
func (s *Service) noteChange() {
	s.lastChange = time.Now()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Run exchanges reports and verdicts until ctx ends. It sleeps while nothing is reported or quarantined.
func (s *Service) Run(ctx context.Context) error {
	for {
		var next <-chan time.Time
		if wait, ok := s.nextRound(); ok {
			next = time.After(wait)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-next:
			s.round()
		case <-s.changed:
		}
	}
}

// nextRound returns the time until the next round; ok is false if none is needed until something changes.
func (s *Service) nextRound() (wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case time.Since(s.lastChange) < activeTime:
		return roundInterval, true
	case s.evidence.Empty() && len(s.lifted) == 0 && len(s.objections) == 0 && len(s.heldContents) == 0:
		return 0, false
	default:
		return quietInterval, true
	}
}

func (s *Service) round() {
	now := time.Now()
	s.expire(now)
	s.object(now)
	s.publishReport(now)
	for _, v := range s.dueVerdicts(now) {
		s.convict(v)
	}
}

// expire forgets what no longer counts.
func (s *Service) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownEnds = slices.DeleteFunc(s.ownEnds, func(end poison.End) bool { return now.Sub(end.At) > poison.Window })
	s.evidence.Replace(s.opts.VM, s.ownEnds)
	s.evidence.Expire(now)
	for part, at := range s.objections {
		if now.Sub(at) > poison.ClearedFor {
			delete(s.objections, part)
		}
	}
	s.expireHeldContents(now)
	for part, at := range s.lifted {
		if now.Sub(at) > liftedRecordLifetime {
			delete(s.lifted, part)
			s.gossip.Fleet().Remove(quarantinePrefix + part)
		}
	}
}

// isQuarantined reports whether requests with a part are kept from servers. Callers hold s.mu.
func (s *Service) isQuarantined(part string) bool {
	_, ok := s.quarantined[part]
	return ok
}

// rank returns this daemon's index among the live ones, or 0 if it isn't among them.
func (s *Service) rank() int {
	return max(0, slices.IndexFunc(s.members.Live(), func(m member.Member) bool { return m.ID == s.self }))
}

// Dump shows the quarantined parts, how many requests were refused for them, and what is reported.
func (s *Service) Dump() any {
	type part struct {
		Part      string   `json:"part"`
		Since     string   `json:"since"`
		Ends      int      `json:"ends"`
		Servers   []string `json:"servers"`
		Reason    string   `json:"reason"`
		DecidedBy string   `json:"decidedBy"`
		Tries     int      `json:"tries"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := []part{}
	for id, q := range s.quarantined {
		parts = append(parts, part{id, q.decidedAt.UTC().Format(time.RFC3339), q.ends, q.servers, q.reason, q.decidedBy, q.tries})
	}
	slices.SortFunc(parts, func(a, b part) int { return cmp.Compare(a.Part, b.Part) })
	return struct {
		Parts    []part `json:"parts"`
		Blocked  int64  `json:"blocked"`
		OwnEnds  int    `json:"ownEnds"`
		Suspects int    `json:"suspects"`
		Cleared  int    `json:"cleared"`
	}{parts, s.blockedCount.Load(), len(s.ownEnds), len(s.evidence.Suspects()), s.cleared.Len()}
}
