package place

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pollencourse/pollencourse/internal/decide/rendezvous"
)

const (
	// firstRate is the time for a token before anything is learned, firstCall that of a plain call; seconds.
	firstRate = 30e-6
	firstCall = 0.03
	// rateWeight is the weight of the newest answer in a class's rate.
	rateWeight = 0.05
	// ownPart is the least part of an answer's expected time that is its own work for the rate to learn from it.
	ownPart = 0.6
	// otherZone and otherRegion are what distance costs, in parts of the objective.
	otherZone   = 0.05
	otherRegion = 0.25
	// failing is what a server costs whose attempts all fail, in objectives.
	failing = 4.0
	// homeChance is the likelihood that the server that a prompt prefers has the shared parts cached.
	homeChance = 0.6
	// fullness is what a server costs whose slots are all taken, in objectives.
	fullness = 0.25
)

// Chooser knows this daemon's own attempts at each server.
type Chooser struct {
	region string
	zone   string

	mu      sync.Mutex
	servers map[string]*server
	// rates holds the logarithm of the time for a token, or for a plain call, by class.
	rates map[string]float64
}

// New returns a chooser of a daemon in a region and availability zone.
func New(region, zone string) *Chooser {
	return &Chooser{region: region, zone: zone, servers: map[string]*server{}, rates: map[string]float64{}}
}

// Choose takes the best server and counts an attempt in flight there; nil if none may be used.
func (c *Chooser) Choose(ask Query, now time.Time) *Reservation {
	c.mu.Lock()
	defer c.mu.Unlock()
	home := c.preferred(ask)
	best, lowest := -1, math.Inf(1)
	offset := 0
	if len(ask.Candidates) > 0 {
		offset = rand.IntN(len(ask.Candidates)) // equals are taken in turn
	}
	for n := range ask.Candidates {
		i := (n + offset) % len(ask.Candidates)
		if slices.Contains(ask.Avoid, ask.Candidates[i].ID) {
			continue
		}
		if score := c.score(ask, i, i == home, now); score < lowest {
			best, lowest = i, score
		}
	}
	if best < 0 {
		return nil
	}
	return c.take(ask, best, best == home, now)
}

// Expect returns the least expected time to the first piece; ok is false if no server may be used.
func (c *Chooser) ExpectedTimeToFirstChunk(ask Query, now time.Time) (d time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	home := c.preferred(ask)
	best := math.Inf(1)
	for i, cand := range ask.Candidates {
		s := c.server(cand)
		if now.Before(s.until) || slices.Contains(ask.Avoid, cand.ID) {
			continue
		}
		_, work := c.work(ask, s, cand, i == home, now)
		best = math.Min(best, (s.waiting+work)*s.factor())
	}
	if math.IsInf(best, 1) {
		return 0, false
	}
	return time.Duration(best * float64(time.Second)), true
}

func (c *Chooser) take(ask Query, i int, home bool, now time.Time) *Reservation {
	cand := ask.Candidates[i]
	s := c.server(cand)
	t := &Reservation{ServerID: cand.ID, class: ask.Class, ahead: s.waiting}
	t.units, t.work = c.work(ask, s, cand, home, now)
	s.waiting += t.work
	s.running++
	s.sent++
	t.order = s.sent
	s.unanswered[t] = struct{}{}
	s.remember(ask.Class, ask.PromptParts, now)
	return t
}

// score is the expected time to the first piece at a server, with what distance and failures cost; seconds.
func (c *Chooser) score(ask Query, i int, home bool, now time.Time) float64 {
	cand := ask.Candidates[i]
	s := c.server(cand)
	_, work := c.work(ask, s, cand, home, now)
	objective := ask.TargetLatency.Seconds()
	score := (s.waiting+work)*s.factor() + objective*(c.distance(cand)+failing*s.failed*s.failed)
	if full := float64(s.running) / float64(max(1, cand.Slots)); full > 0.5 {
		score += objective * fullness * full
	}
	if now.Before(s.until) {
		score += aside
	}
	return score
}

// work returns the size of an attempt at a server and the time that it is expected to take there.
func (c *Chooser) work(ask Query, s *server, cand Candidate, home bool, now time.Time) (units, seconds float64) {
	rate := c.rate(ask)
	if ask.PromptTokens == 0 {
		return 1, rate / float64(max(1, cand.Slots))
	}
	cached := float64(s.cached(ask.Class, ask.PromptParts, now))
	if home && cached == 0 {
		cached = homeChance * float64(shared(ask.PromptParts))
	}
	units = math.Max(1, float64(ask.PromptTokens)-cached)
	return units, units * rate
}

func (c *Chooser) rate(ask Query) float64 {
	if l, ok := c.rates[ask.Class]; ok {
		return math.Exp(l)
	}
	if ask.PromptTokens == 0 {
		return firstCall
	}
	return firstRate
}

// shared returns the tokens of the parts that other requests may share.
func shared(parts []PromptPart) int {
	n := 0
	for _, p := range parts[:max(0, len(parts)-1)] {
		n += p.Tokens
	}
	return n
}

func (c *Chooser) server(cand Candidate) *server {
	s := c.servers[cand.ID]
	if s == nil || s.born != cand.Incarnation {
		s = newServer(cand.Incarnation)
		c.servers[cand.ID] = s
	}
	return s
}

func (c *Chooser) distance(cand Candidate) float64 {
	switch {
	case cand.AvailabilityZone == c.zone:
		return 0
	case cand.Region == c.region:
		return otherZone
	default:
		return otherRegion
	}
}

// preferred returns the candidate of the own availability zone with the highest hash together with the last shared
// part, or of all candidates if the zone has none; -1 for none.
func (c *Chooser) preferred(ask Query) int {
	if len(ask.PromptParts) < 2 {
		return -1
	}
	key := rendezvous.KeyOf(ask.PromptParts[len(ask.PromptParts)-2].ID)
	best, top, near := -1, uint64(0), false
	for i, cand := range ask.Candidates {
		own := cand.AvailabilityZone == c.zone
		if near && !own {
			continue
		}
		if h := key.Rank(cand.ID); best < 0 || own && !near || h > top {
			best, top, near = i, h, own
		}
	}
	return best
}

// Answered notes that the first piece of an answer is here after took; the attempt's work no longer waits.
func (c *Chooser) RecordFirstChunk(t *Reservation, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[t.ServerID]
	if s == nil || t.answered {
		return
	}
	c.unwait(s, t)
	for w := range s.unanswered {
		if w.order < t.order {
			w.overtaken++
		}
	}
	expected := t.ahead + t.work
	if expected <= 0 || took <= 0 {
		return
	}
	ratio := math.Log(took.Seconds() / expected)
	s.learnSpeed(ratio)
	if t.work >= ownPart*expected {
		c.learnRate(t, took)
	}
}

func (c *Chooser) unwait(s *server, t *Reservation) {
	if !t.answered {
		t.answered = true
		delete(s.unanswered, t)
		s.waiting = math.Max(0, s.waiting-t.work)
	}
}

// learnRate moves a class's rate towards what an answer took.
func (c *Chooser) learnRate(t *Reservation, took time.Duration) {
	now := math.Log(took.Seconds() / t.units)
	old, ok := c.rates[t.class]
	if !ok {
		c.rates[t.class] = now
		return
	}
	c.rates[t.class] = old + rateWeight*(now-old)
}

// Release ends an attempt that Choose counted.
func (c *Chooser) Release(t *Reservation, o Outcome, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[t.ServerID]
	if s == nil {
		return
	}
	c.unwait(s, t)
	s.running = max(0, s.running-1)
	s.settle(o, now)
}

// Overtaken returns how many later attempts at the server were answered before this one.
func (c *Chooser) Overtaken(t *Reservation) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return t.overtaken
}

// Piece counts a piece of an answer and returns how many came from the attempt's server by now.
func (c *Chooser) CountChunks(t *Reservation, n int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[t.ServerID]
	if s == nil {
		return 0
	}
	s.pieces += n
	return s.pieces
}

// Retain forgets the servers that keep does not name.
func (c *Chooser) Retain(keep func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.servers {
		if !keep(id) {
			delete(c.servers, id)
		}
	}
}

// State is one server in the dump.
type ServerState struct {
	InFlight int       `json:"running"`
	WaitingSeconds float64   `json:"waitingSeconds"`
	Slowdown  float64   `json:"timeFactor"`
	FailureShare  float64   `json:"failedShare"`
	EjectedUntil   time.Time `json:"setAsideUntil"`
}

// Dump shows each server by ID.
func (c *Chooser) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]ServerState{}
	for id, s := range c.servers {
		out[id] = ServerState{s.running, s.waiting, s.factor(), s.failed, s.until}
	}
	return out
}
