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
	// demandSmoothing is the weight of the latest interval in the moving average of the demand.
	demandSmoothing = 0.3
	// zoneSumIntervals is the number of intervals between publications of an availability zone's sum,
	// which go to the whole fleet.
	zoneSumIntervals = 2
	// minDemandPerSecond is the rate below which the demand of an idle account is dropped.
	minDemandPerSecond = 0.05
)

// Gossip is the part of the replicated tables that Service uses.
type Gossip interface {
	Fleet() *relay.Table
	Zone() *relay.Table
	MarkFrequent(prefix string)
	PublishOwn(key string, m proto.Message) error
	Report(key string, m proto.Message) error
}

// Members is the part of the membership that Service uses.
type Members interface {
	Live() []member.Member
	Members() []member.Member
	Rank() int
}

// Policies is the configuration in force.
type Policies interface {
	Templates() []*template.Template
}

// Service counts the evidence of one daemon, publishes it and evaluates that of the fleet.
type Service struct {
	self     peer.Node
	gossip   Gossip
	members  Members
	policies Policies
	interval time.Duration
	log      *event.Log

	mu       sync.Mutex
	own      map[Key]Counts
	arrivals map[string]int64
	demand   map[string]float64
	// fleetTotals is the sum over all availability zones as of the last interval.
	fleetTotals *totals
	// ownHistory holds this daemon's counts as of its last reports, oldest first; includedInFleet
	// are the counts that have had the time to reach fleetTotals.
	ownHistory      []map[Key]Counts
	includedInFleet map[Key]Counts
	detectors       map[detectorKey]*detectorState
	lastOwn         lastPublished
	lastZoneSum     lastPublished
}

// detectorKey identifies a detector, which takes either this daemon's own ratings or the sums over the fleet.
type detectorKey struct {
	key Key
	own bool
}

// detectorState is the detector of a serving version with the counts that it has seen.
type detectorState struct {
	detector *rollout.ChangeDetector
	good     int64
	poor     int64
}

// New returns a Service that publishes once per interval.
func New(self peer.Node, gossip Gossip, members Members, policies Policies, interval time.Duration, log *event.Log) *Service {
	gossip.MarkFrequent(zonePrefix)
	return &Service{
		self: self, gossip: gossip, members: members, policies: policies, interval: interval, log: log,
		own: map[Key]Counts{}, arrivals: map[string]int64{}, demand: map[string]float64{},
		ownHistory: make([]map[Key]Counts, zoneSumIntervals+1), fleetTotals: newTotals(), detectors: map[detectorKey]*detectorState{},
	}
}

// Start counts an answer of a version; rated means that the answer will be rated.
func (s *Service) Start(k Key, rated bool) {
	s.update(k, func(c *Counts) {
		c.Started++
		if rated {
			c.Unrated++
		}
	})
}

// Rated counts the rating of an answer that was passed to Start as one to be rated.
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
		s.evaluateTrial(k)
	}
}

// Unrated corrects the counts for an answer that was to be rated and will not be.
func (s *Service) Unrated(k Key) { s.update(k, func(c *Counts) { c.Unrated-- }) }

func (s *Service) update(k Key, fn func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.own[k]
	fn(&c)
	s.own[k] = c
}

// Arrive counts a request towards the demand of its account.
func (s *Service) Arrive(account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[account]++
}

// Allows reports whether this daemon may send out one more unrated answer of a rolling-in version.
func (s *Service) Allows(k Key, exposure int, weight float64) bool {
	daemons := s.members.Members()
	rank := slices.IndexFunc(daemons, func(m member.Member) bool { return m.ID == s.self.ID })
	s.mu.Lock()
	defer s.mu.Unlock()
	var known rollout.Evidence
	var taken int64
	for _, key := range k.firstAndEscalated() {
		e := s.knownEvidence(key)
		known.Good += e.Good
		known.Poor += e.Poor
		// A poorly rated answer counts as unrated until the sums of the fleet include its rating, which reduces the allowance.
		taken += s.own[key].Unrated + s.own[key].Poor - s.includedInFleet[key].Poor
	}
	allowance := rollout.Allowance(known, exposure, weight)
	return taken < int64(rollout.DaemonShare(allowance, len(daemons), rank))
}

// knownEvidence returns the evidence of the fleet, or this daemon's own while that has more
// ratings. The caller holds s.mu.
//
// The two are not added, since it is known only roughly which of this daemon's counts the sum
// contains, and ratings counted twice would stop good versions.
func (s *Service) knownEvidence(k Key) rollout.Evidence {
	c, own := s.fleetTotals.versions[k], s.own[k]
	if own.Good+own.Poor > c.Good+c.Poor {
		c = own
	}
	return rollout.Evidence{Started: float64(c.Started), Good: float64(c.Good), Poor: float64(c.Poor), Unrated: float64(c.Unrated)}
}

// Fleet returns the evidence of the fleet, or this daemon's own while that has more ratings.
func (s *Service) Fleet(k Key) rollout.Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.knownEvidence(k)
}

// Stopped reports whether a trial of a version, or a later one, was stopped.
func (s *Service) Stopped(k Key) bool {
	r, ok := s.gossip.Fleet().Get(stopKey(k))
	if !ok {
		return false
	}
	var rec peerpb.StopRecord
	return proto.Unmarshal(r.Body, &rec) == nil && rec.GetTrial() >= k.Trial
}

func stopKey(k Key) string { return stopPrefix + k.Template + "/" + k.Version }

// Limit returns this daemon's part of an account's rate limit, in requests per second.
func (s *Service) Limit(account string, limit float64) float64 {
	daemons, live := len(s.members.Members()), len(s.members.Live())
	s.mu.Lock()
	defer s.mu.Unlock()
	return share.Of(limit, share.Demand{
		Own: s.demand[account], Reachable: math.Max(s.fleetTotals.demand[account], s.demand[account]),
		Daemons: daemons, Live: live,
	})
}

// Run publishes and evaluates once per interval until ctx is done.
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
		if round%zoneSumIntervals == 0 {
			s.publishZone()
		}
		s.updateFleetTotals()
		s.evaluateAll()
	}
}

func (s *Service) measureDemand() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for account, n := range s.arrivals {
		rate := float64(n) / s.interval.Seconds()
		s.demand[account] += demandSmoothing * (rate - s.demand[account])
		s.arrivals[account] = 0
		if n == 0 && s.demand[account] < minDemandPerSecond {
			delete(s.demand, account)
			delete(s.arrivals, account)
		}
	}
}

func (s *Service) publishOwn() {
	s.mu.Lock()
	t := newTotals()
	t.daemons = 1
	s.includedInFleet = s.ownHistory[0]
	s.ownHistory = append(s.ownHistory[1:], maps.Clone(s.own))
	for k, c := range s.own {
		t.versions[k] = c
	}
	for a, r := range s.demand {
		t.demand[a] = math.Round(r*10) / 10
	}
	s.mu.Unlock()
	s.publishIfChanged(s.gossip.Report, s.ownKey(), t.record(), &s.lastOwn)
}

// ownKey returns the key of this incarnation's record; the next incarnation starts from zero under another key.
func (s *Service) ownKey() string {
	return fmt.Sprintf("%s%s/%d", ownPrefix, s.self.ID, s.self.Incarnation)
}

// lastPublished is the record that was last published under a key, and when.
type lastPublished struct {
	body []byte
	at   time.Time
}

// republishAfter is the time after which an unchanged record is published again, since the last one may have been lost.
const republishAfter = 30 * time.Second

func (s *Service) publishIfChanged(publish func(string, proto.Message) error, key string, rec *peerpb.EvidenceRecord, last *lastPublished) {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(rec)
	if err != nil || bytes.Equal(body, last.body) && time.Since(last.at) < republishAfter {
		return
	}
	*last = lastPublished{body: body, at: time.Now()}
	_ = publish(key, rec)
}

// publishZone publishes the sum over the availability zone if this daemon has rank 0 in it.
func (s *Service) publishZone() {
	if s.members.Rank() != 0 {
		s.lastZoneSum = lastPublished{}
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
	s.publishIfChanged(s.gossip.PublishOwn, zonePrefix+s.self.AvailabilityZone, t.record(), &s.lastZoneSum)
}

func (s *Service) updateFleetTotals() {
	t := newTotals()
	for _, r := range s.gossip.Fleet().Prefix(zonePrefix) {
		var rec peerpb.EvidenceRecord
		if proto.Unmarshal(r.Body, &rec) == nil {
			t.addRecord(&rec, true)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleetTotals = t
}

// Dump returns the fleet's counts, the stops and this daemon's demand, for inspection.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := map[string]Counts{}
	for k, c := range s.fleetTotals.versions {
		versions[fmt.Sprintf("%s/%s/%d/after=%t", k.Template, k.Version, k.Trial, k.Escalated)] = c
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
