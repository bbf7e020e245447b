package evidence

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/decide/rollout"
	"github.com/pollencourse/pollencourse/internal/decide/share"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

const (
	ownPrefix  = "evidence/"
	zonePrefix = "zoneEvidence/"
	stopPrefix = "stop/"
	// smooth is the weight of the newest interval in the demand.
	smooth = 0.3
	// sumRounds is the number of intervals between two sums of a zone, which go to the whole fleet.
	sumRounds = 2
	// negligibleDemand is a rate below which a demand is not published.
	negligibleDemand = 0.05
)

// Gossip is what the evidence needs of the replicated tables.
type Gossip interface {
	Fleet() *relay.Table
	Zone() *relay.Table
	MarkFrequent(prefix string)
	PublishOwn(key string, m proto.Message) error
	Report(key string, m proto.Message) error
}

// Members is what the evidence needs of the membership.
type Members interface {
	Live() []member.Member
	Members() []member.Member
	Rank() int
}

// Policies is the configuration in force.
type Policies interface {
	Templates() []*template.Template
}

// Service counts and publishes the evidence of one daemon.
type Service struct {
	self     peer.Node
	gossip   Gossip
	members  Members
	policies Policies
	interval time.Duration
	log      *event.Log

	mu      sync.Mutex
	own     map[Key]Counts
	arrived map[string]int64
	demand  map[string]float64
	// fleet is the sum over all availability zones at the last round.
	fleet *totals
	// published holds the own counts of the last reports, oldest first; included are those that
	// fleet contains.
	published []map[Key]Counts
	included  map[Key]Counts
	changes   map[watchKey]*watched
	sentOwn   lastSent
	sentSum   lastSent
}

// watchKey names a detector: of this daemon's own ratings or of the fleet's sums.
type watchKey struct {
	key Key
	own bool
}

// watched is a serving version's detector with the counts that it has taken.
type watched struct {
	detector *rollout.ChangeDetector
	good     int64
	poor     int64
}

// New returns an evidence service that publishes once an interval.
func New(self peer.Node, gossip Gossip, members Members, policies Policies, interval time.Duration, log *event.Log) *Service {
	gossip.MarkFrequent(zonePrefix)
	return &Service{
		self: self, gossip: gossip, members: members, policies: policies, interval: interval, log: log,
		own: map[Key]Counts{}, arrived: map[string]int64{}, demand: map[string]float64{},
		published: make([]map[Key]Counts, sumRounds+1), fleet: newTotals(), changes: map[watchKey]*watched{},
	}
}

// Start counts an answer of a version; rated says that it will be rated.
func (s *Service) Start(k Key, rated bool) {
	s.update(k, func(c *Counts) {
		c.Started++
		if rated {
			c.Unrated++
		}
	})
}

// Rated counts the rating of an answer that Start announced.
func (s *Service) Rated(k Key, good bool) {
	s.update(k, func(c *Counts) {
		c.Unrated--
		if good {
			c.Good++
		} else {
			c.Poor++
		}
	})
	if !good {
		s.judge(k)
	}
}

// Unrated counts an announced answer that will not be rated after all.
func (s *Service) Unrated(k Key) { s.update(k, func(c *Counts) { c.Unrated-- }) }

func (s *Service) update(k Key, fn func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.own[k]
	fn(&c)
	s.own[k] = c
}

// Arrive counts a request of an account for its demand.
func (s *Service) Arrive(account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived[account]++
}

// Allows reports whether one more unrated answer of a rolling-in version may go out here.
func (s *Service) Allows(k Key, exposure int, weight float64) bool {
	daemons := s.members.Members()
	rank := slices.IndexFunc(daemons, func(m member.Member) bool { return m.ID == s.self.ID })
	s.mu.Lock()
	defer s.mu.Unlock()
	var known rollout.Evidence
	var occupied int64
	for _, stage := range k.stages() {
		e := s.known(stage)
		known.Good += e.Good
		known.Poor += e.Poor
		// Poor ratings keep their place until the fleet's sum takes them into account.
		occupied += s.own[stage].Unrated + s.own[stage].Poor - s.included[stage].Poor
	}
	allowance := rollout.Allowance(known, exposure, weight)
	return occupied < int64(rollout.DaemonShare(allowance, len(daemons), rank))
}

// known is the fleet's evidence, or this daemon's own while that has more ratings; s.mu is held.
//
// The two are not added: how much of the own counts a sum contains is known only roughly, and
// ratings counted twice would stop good versions.
func (s *Service) known(k Key) rollout.Evidence {
	c, own := s.fleet.versions[k], s.own[k]
	if own.Good+own.Poor > c.Good+c.Poor {
		c = own
	}
	return rollout.Evidence{Started: float64(c.Started), Good: float64(c.Good), Poor: float64(c.Poor), Unrated: float64(c.Unrated)}
}

// Fleet returns the fleet's counts of a version.
func (s *Service) Fleet(k Key) rollout.Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known(k)
}

// Stopped reports whether a trial of a version was stopped.
func (s *Service) Stopped(k Key) bool {
	r, ok := s.gossip.Fleet().Get(stopKey(k))
	if !ok {
		return false
	}
	var rec peerpb.StopRecord
	return proto.Unmarshal(r.Body, &rec) == nil && rec.GetTrial() >= k.Trial
}

func stopKey(k Key) string { return stopPrefix + k.Template + "/" + k.Version }

// Limit returns this daemon's part of an account's limit, in requests a second.
func (s *Service) Limit(account string, limit float64) float64 {
	daemons, live := len(s.members.Members()), len(s.members.Live())
	s.mu.Lock()
	defer s.mu.Unlock()
	return share.Of(limit, share.Demand{
		Own: s.demand[account], Reachable: math.Max(s.fleet.demand[account], s.demand[account]),
		Daemons: daemons, Live: live,
	})
}

// Run publishes and judges once an interval until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			s.publishOwn()
			return nil
		case <-ticker.C:
		}
		s.measureDemand()
		s.publishOwn()
		if round%sumRounds == 0 {
			s.publishZone()
		}
		s.sumFleet()
		s.judgeAll()
	}
}

func (s *Service) measureDemand() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for account, n := range s.arrived {
		rate := float64(n) / s.interval.Seconds()
		s.demand[account] += smooth * (rate - s.demand[account])
		s.arrived[account] = 0
		if n == 0 && s.demand[account] < negligibleDemand {
			delete(s.demand, account)
			delete(s.arrived, account)
		}
	}
}

func (s *Service) publishOwn() {
	s.mu.Lock()
	t := newTotals()
	t.daemons = 1
	s.included = s.published[0]
	s.published = append(s.published[1:], maps.Clone(s.own))
	for k, c := range s.own {
		t.versions[k] = c
	}
	for a, r := range s.demand {
		t.demand[a] = math.Round(r*10) / 10
	}
	s.mu.Unlock()
	s.publishChanged(s.gossip.Report, s.ownKey(), t.record(), &s.sentOwn)
}

// ownKey names the record of this incarnation; a later one starts from zero under another key.
func (s *Service) ownKey() string {
	return fmt.Sprintf("%s%s/%d", ownPrefix, s.self.ID, s.self.Incarnation)
}

// lastSent is what was published last, and when.
type lastSent struct {
	body []byte
	at   time.Time
}

// repeatAfter is when an unchanged record is published again, in case one was lost on its way.
const repeatAfter = 30 * time.Second

func (s *Service) publishChanged(publish func(string, proto.Message) error, key string, rec *peerpb.EvidenceRecord, last *lastSent) {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(rec)
	if err != nil || bytes.Equal(body, last.body) && time.Since(last.at) < repeatAfter {
		return
	}
	*last = lastSent{body: body, at: time.Now()}
	_ = publish(key, rec)
}

// publishZone publishes the sum over the zone, if this daemon is its first.
func (s *Service) publishZone() {
	if s.members.Rank() != 0 {
		s.sentSum = lastSent{}
		return
	}
	live := map[string]bool{}
	for _, m := range s.members.Live() {
		live[fmt.Sprintf("%s/%d", m.ID, m.Incarnation)] = true
	}
	t := newTotals()
	for _, r := range s.gossip.Zone().Prefix(ownPrefix) {
		var rec peerpb.EvidenceRecord
		if proto.Unmarshal(r.Body, &rec) == nil {
			t.addRecord(&rec, live[strings.TrimPrefix(r.Key, ownPrefix)])
		}
	}
	s.publishChanged(s.gossip.PublishOwn, zonePrefix+s.self.AvailabilityZone, t.record(), &s.sentSum)
}

func (s *Service) sumFleet() {
	t := newTotals()
	for _, r := range s.gossip.Fleet().Prefix(zonePrefix) {
		var rec peerpb.EvidenceRecord
		if proto.Unmarshal(r.Body, &rec) == nil {
			t.addRecord(&rec, true)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet = t
}

// Dump shows the fleet's counts, the stops and the demand here.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := map[string]Counts{}
	for k, c := range s.fleet.versions {
		versions[fmt.Sprintf("%s/%s/%d/after=%t", k.Template, k.Version, k.Trial, k.After)] = c
	}
	var stops []string
	for _, r := range s.gossip.Fleet().Prefix(stopPrefix) {
		stops = append(stops, strings.TrimPrefix(r.Key, stopPrefix))
	}
	demand := map[string]float64{}
	for a, r := range s.demand {
		demand[a] = r
	}
	return struct {
		Fleet  map[string]Counts  `json:"fleet"`
		Stops  []string           `json:"stops"`
		Demand map[string]float64 `json:"demand"`
	}{versions, stops, demand}
}
