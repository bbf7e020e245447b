package place

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pollencourse/pollencourse/internal/decide/rendezvous"
)

const (
	// initialSecondsPerToken and initialSecondsPerCall estimate the work of a class without any response yet.
	initialSecondsPerToken = 30e-6
	initialSecondsPerCall  = 0.03
	// secondsPerUnitSmoothing is the weight of the newest response in a class's seconds per unit.
	secondsPerUnitSmoothing = 0.05
	// minOwnWorkShare is the share that an attempt's own work must have in its expected time to first chunk; with a smaller
	// one, the actual time says more about the attempts ahead and does not update the class's seconds per unit.
	minOwnWorkShare = 0.6
	// crossZonePenaltyRatio and crossRegionPenaltyRatio are multiples of the target latency, added to the score of
	// servers outside the daemon's availability zone or region.
	crossZonePenaltyRatio   = 0.05
	crossRegionPenaltyRatio = 0.25
	// failurePenaltyRatio is the multiple of the target latency that is added for a server whose attempts all fail.
	failurePenaltyRatio = 4.0
	// preferredCacheProbability is the assumed probability that the preferred server has the shared parts cached.
	preferredCacheProbability = 0.6
	// occupancyPenaltyRatio is the multiple of the target latency that is added for a server whose slots are all taken; a
	// server with more than half of its slots taken gets a proportional part of it.
	occupancyPenaltyRatio = 0.25
)

// Chooser chooses servers by what this daemon's own attempts have shown of them.
type Chooser struct {
	region string
	zone   string

	mu      sync.Mutex
	servers map[string]*server
	pauses  pauses
	// logSecondsPerUnit holds, by class, the natural logarithm of the seconds for a token or for a plain call.
	logSecondsPerUnit map[string]float64
}

// New returns a chooser for a daemon in the given region and availability zone.
func New(region, zone string) *Chooser {
	return &Chooser{region: region, zone: zone, servers: map[string]*server{}, pauses: pauses{}, logSecondsPerUnit: map[string]float64{}}
}

// Choose reserves the best server for an attempt; it returns nil if there is none, also if those left are paused.
func (c *Chooser) Choose(query Query, now time.Time) *Reservation {
	c.mu.Lock()
	defer c.mu.Unlock()
	preferred := c.preferredServer(query)
	best, lowest := -1, math.Inf(1)
	offset := 0
	if len(query.Candidates) > 0 {
		offset = rand.IntN(len(query.Candidates)) // spreads attempts over servers with equal scores
	}
	for n := range query.Candidates {
		i := (n + offset) % len(query.Candidates)
		if !c.usable(query, query.Candidates[i], now) {
			continue
		}
		if score := c.score(query, i, i == preferred, now); score < lowest {
			best, lowest = i, score
		}
	}
	if best < 0 {
		return nil
	}
	return c.reserve(query, best, best == preferred, now)
}

// ExpectedTimeToFirstChunk returns the least expected time to first chunk over the servers; ok is false if all are
// ejected, paused or to be avoided.
func (c *Chooser) ExpectedTimeToFirstChunk(query Query, now time.Time) (d time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	preferred := c.preferredServer(query)
	best := math.Inf(1)
	for i, cand := range query.Candidates {
		s := c.server(cand)
		if now.Before(s.ejectedUntil) || !c.usable(query, cand, now) {
			continue
		}
		_, work := c.estimateWork(query, s, cand, i == preferred, now)
		best = math.Min(best, (s.waitingSeconds+work)*s.slowdown())
	}
	if math.IsInf(best, 1) {
		return 0, false
	}
	return time.Duration(best * float64(time.Second)), true
}

// usable reports whether a request may be sent to a candidate at all.
func (c *Chooser) usable(query Query, cand Candidate, now time.Time) bool {
	return !query.avoids(cand) && c.pauses.remaining(cand.incarnation(), now) == 0
}

func (c *Chooser) reserve(query Query, i int, preferred bool, now time.Time) *Reservation {
	cand := query.Candidates[i]
	s := c.server(cand)
	r := &Reservation{ServerID: cand.ID, class: query.Class, aheadSeconds: s.waitingSeconds}
	r.units, r.workSeconds = c.estimateWork(query, s, cand, preferred, now)
	s.waitingSeconds += r.workSeconds
	s.inFlight++
	s.sent++
	r.sequence = s.sent
	s.awaitingFirstChunk[r] = struct{}{}
	s.recordParts(query.Class, query.PromptParts, now)
	return r
}

// score returns the expected time to first chunk in seconds, with penalties for distance, failures, occupancy and
// ejection.
func (c *Chooser) score(query Query, i int, preferred bool, now time.Time) float64 {
	cand := query.Candidates[i]
	s := c.server(cand)
	_, work := c.estimateWork(query, s, cand, preferred, now)
	target := query.TargetLatency.Seconds()
	score := (s.waitingSeconds+work)*s.slowdown() + target*(c.distancePenaltyRatio(cand)+failurePenaltyRatio*s.failureShare*s.failureShare)
	if occupancy := float64(s.inFlight) / float64(max(1, cand.Slots)); occupancy > 0.5 {
		score += target * occupancyPenaltyRatio * occupancy
	}
	if now.Before(s.ejectedUntil) {
		score += ejectedPenaltySeconds
	}
	return score
}

// estimateWork returns the size of an attempt at a server and the seconds that it should take there without a queue.
func (c *Chooser) estimateWork(query Query, s *server, cand Candidate, preferred bool, now time.Time) (units, seconds float64) {
	perUnit := c.secondsPerUnit(query)
	if query.PromptTokens == 0 {
		return 1, perUnit / float64(max(1, cand.Slots))
	}
	cached := float64(s.cachedTokens(query.Class, query.PromptParts, now))
	if preferred && cached == 0 {
		cached = preferredCacheProbability * float64(sharedTokens(query.PromptParts))
	}
	units = math.Max(1, float64(query.PromptTokens)-cached)
	return units, units * perUnit
}

func (c *Chooser) secondsPerUnit(query Query) float64 {
	if l, ok := c.logSecondsPerUnit[query.Class]; ok {
		return math.Exp(l)
	}
	if query.PromptTokens == 0 {
		return initialSecondsPerCall
	}
	return initialSecondsPerToken
}

// sharedTokens returns the length of the parts that other requests may share: all but the last one.
func sharedTokens(parts []PromptPart) int {
	n := 0
	for _, p := range parts[:max(0, len(parts)-1)] {
		n += p.Tokens
	}
	return n
}

func (c *Chooser) server(cand Candidate) *server {
	s := c.servers[cand.ID]
	if s == nil || s.incarnation != cand.Incarnation {
		s = newServer(cand.Incarnation)
		c.servers[cand.ID] = s
	}
	return s
}

func (c *Chooser) distancePenaltyRatio(cand Candidate) float64 {
	switch {
	case cand.AvailabilityZone == c.zone:
		return 0
	case cand.Region == c.region:
		return crossZonePenaltyRatio
	default:
		return crossRegionPenaltyRatio
	}
}

// preferredServer returns the index of the candidate with the highest rendezvous score for the last shared prompt part,
// among those of the daemon's availability zone if it has any; -1 without a shared part or candidates.
func (c *Chooser) preferredServer(query Query) int {
	if len(query.PromptParts) < 2 {
		return -1
	}
	key := rendezvous.HashKey(query.PromptParts[len(query.PromptParts)-2].ID)
	best, top, bestIsLocal := -1, uint64(0), false
	for i, cand := range query.Candidates {
		local := cand.AvailabilityZone == c.zone
		if bestIsLocal && !local {
			continue
		}
		if score := key.Score(cand.ID); best < 0 || local && !bestIsLocal || score > top {
			best, top, bestIsLocal = i, score, local
		}
	}
	return best
}

// RecordFirstChunk records that the first chunk of a response arrived after took. From then on the attempt does not
// count as queued work.
func (c *Chooser) RecordFirstChunk(r *Reservation, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[r.ServerID]
	if s == nil || r.dequeued {
		return
	}
	c.removeWaiting(s, r)
	for w := range s.awaitingFirstChunk {
		if w.sequence < r.sequence {
			w.overtaken++
		}
	}
	expected := r.aheadSeconds + r.workSeconds
	if expected <= 0 || took <= 0 {
		return
	}
	logRatio := math.Log(took.Seconds() / expected)
	s.updateSlowdown(logRatio)
	if r.workSeconds >= minOwnWorkShare*expected {
		c.updateSecondsPerUnit(r, took)
	}
}

func (c *Chooser) removeWaiting(s *server, r *Reservation) {
	if !r.dequeued {
		r.dequeued = true
		delete(s.awaitingFirstChunk, r)
		s.waitingSeconds = math.Max(0, s.waitingSeconds-r.workSeconds)
	}
}

func (c *Chooser) updateSecondsPerUnit(r *Reservation, took time.Duration) {
	observed := math.Log(took.Seconds() / r.units)
	old, ok := c.logSecondsPerUnit[r.class]
	if !ok {
		c.logSecondsPerUnit[r.class] = observed
		return
	}
	c.logSecondsPerUnit[r.class] = old + secondsPerUnitSmoothing*(observed-old)
}

// Release ends a reservation that Choose made.
func (c *Chooser) Release(r *Reservation, o Outcome, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[r.ServerID]
	if s == nil {
		return
	}
	c.removeWaiting(s, r)
	s.inFlight = max(0, s.inFlight-1)
	s.recordOutcome(o, now)
}

// Overtaken returns how many later attempts at the server got their first chunk before this one.
func (c *Chooser) Overtaken(r *Reservation) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.overtaken
}

// CountChunks adds n response chunks and returns how many have come from the attempt's server in total.
func (c *Chooser) CountChunks(r *Reservation, n int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[r.ServerID]
	if s == nil {
		return 0
	}
	s.chunks += n
	return s.chunks
}

// Retain drops the servers for which keep returns false.
func (c *Chooser) Retain(keep func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.servers {
		if !keep(id) {
			delete(c.servers, id)
		}
	}
}

// ServerState is one server in the dump.
type ServerState struct {
	InFlight       int       `json:"running"`
	WaitingSeconds float64   `json:"waitingSeconds"`
	Slowdown       float64   `json:"timeFactor"`
	FailureShare   float64   `json:"failedShare"`
	EjectedUntil   time.Time `json:"setAsideUntil"`
}

// Dump returns the state of each server by ID, for display.
func (c *Chooser) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]ServerState{}
	for id, s := range c.servers {
		out[id] = ServerState{s.inFlight, s.waitingSeconds, s.slowdown(), s.failureShare, s.ejectedUntil}
	}
	return out
}
