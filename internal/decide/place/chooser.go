package place

import (
	"math"
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
	// othersAt is the mean time of the reports of the other daemons' load; see [Chooser.UpdateOthers].
	othersAt time.Time
	// found and scores are the servers and scores of the candidates of the query in progress, kept to be used again.
	found  []*server
	scores []float64
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
	load := c.estimateLoad(&query, now)
	preferred := c.preferredServer(&query)
	best := c.pick(&query, &load, preferred, now)
	if best < 0 {
		return nil
	}
	return c.reserve(&query, &load, best, best == preferred, now)
}

// ExpectedTimeToFirstChunk returns the least expected time to first chunk over the servers; ok is false if all are
// ejected, paused or to be avoided.
func (c *Chooser) ExpectedTimeToFirstChunk(query Query, now time.Time) (d time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	load := c.estimateLoad(&query, now)
	preferred := c.preferredServer(&query)
	best := math.Inf(1)
	for i := range query.Candidates {
		cand := &query.Candidates[i]
		s := c.found[i]
		if now.Before(s.ejectedUntil) || !c.usable(&query, cand, now) {
			continue
		}
		_, work := c.estimateWork(&query, &load, i, i == preferred, now)
		best = math.Min(best, (load.waiting(s, cand.AvailabilityZone == c.zone)+work)*s.slowdown())
	}
	if math.IsInf(best, 1) {
		return 0, false
	}
	return time.Duration(best * float64(time.Second)), true
}

// usable reports whether a request may be sent to a candidate at all.
func (c *Chooser) usable(query *Query, cand *Candidate, now time.Time) bool {
	return !query.avoids(*cand) && c.pauses.remaining(cand.incarnation(), now) == 0
}

func (c *Chooser) reserve(query *Query, load *estimate, i int, preferred bool, now time.Time) *Reservation {
	cand := &query.Candidates[i]
	s := c.found[i]
	r := &Reservation{ServerID: cand.ID, class: query.Class, aheadSeconds: load.waiting(s, cand.AvailabilityZone == c.zone)}
	r.units, r.workSeconds = c.estimateWork(query, load, i, preferred, now)
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
func (c *Chooser) score(query *Query, load *estimate, i int, preferred bool, now time.Time) float64 {
	cand := &query.Candidates[i]
	s := c.found[i]
	local := cand.AvailabilityZone == c.zone
	inFlight := load.inFlight(s, local)
	full := load.fullWork(query, i)
	work := full
	if load.cacheCounts(inFlight) {
		_, work = c.estimateWork(query, load, i, preferred, now)
	}
	target := query.TargetLatency.Seconds()
	score := (load.waiting(s, local)+work+load.loadPenalty(inFlight, full))*s.slowdown() + target*(c.distancePenaltyRatio(cand)+failurePenaltyRatio*s.failureShare*s.failureShare)
	if occupancy := inFlight / float64(max(1, cand.Slots)); occupancy > 0.5 {
		score += target * occupancyPenaltyRatio * occupancy
	}
	if now.Before(s.ejectedUntil) {
		score += ejectedPenaltySeconds
	}
	return score
}

// estimateWork returns the size of an attempt at a server and the seconds that it should take there without a queue.
func (c *Chooser) estimateWork(query *Query, load *estimate, i int, preferred bool, now time.Time) (units, seconds float64) {
	if query.PromptTokens == 0 {
		return 1, load.fullWork(query, i)
	}
	cached := float64(c.found[i].cachedTokens(query.Class, query.PromptParts, now))
	if preferred && cached == 0 {
		cached = preferredCacheProbability * float64(sharedTokens(query.PromptParts))
	}
	units = math.Max(1, float64(query.PromptTokens)-cached)
	return units, units * load.secondsPerUnit
}

func (c *Chooser) secondsPerUnit(query *Query) float64 {
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

func (c *Chooser) server(cand *Candidate) *server {
	s := c.servers[cand.ID]
	if s == nil || s.incarnation != cand.Incarnation {
		s = newServer(cand.Incarnation)
		c.servers[cand.ID] = s
	}
	return s
}

func (c *Chooser) distancePenaltyRatio(cand *Candidate) float64 {
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
func (c *Chooser) preferredServer(query *Query) int {
	if len(query.PromptParts) < 2 {
		return -1
	}
	key := rendezvous.HashKey(query.PromptParts[len(query.PromptParts)-2].ID)
	best, top, bestIsLocal := -1, uint64(0), false
	for i := range query.Candidates {
		cand := &query.Candidates[i]
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
	// OthersInFlight and OthersWaitingSeconds are what the other daemons of the zone last reported.
	OthersInFlight       float64 `json:"othersRunning"`
	OthersWaitingSeconds float64 `json:"othersWaitingSeconds"`
}

// Dump returns the state of each server by ID, for display.
func (c *Chooser) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]ServerState{}
	for id, s := range c.servers {
		out[id] = ServerState{s.inFlight, s.waitingSeconds, s.slowdown(), s.failureShare, s.ejectedUntil, s.othersInFlight, s.othersWaitingSeconds}
	}
	return out
}
