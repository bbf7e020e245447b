package place

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a server that may take an attempt.
type Candidate struct {
	ID string
	// Born tells the incarnations of a server that starts again under its ID.
	Born             int64
	AvailabilityZone string
	Region           string
	Slots            int
}

// Ask is what an attempt needs.
type Ask struct {
	Candidates []Candidate
	// Key groups requests that share the beginning of a prompt; empty for none.
	Key string
	// Work is how much of a server the attempt takes, in units of a usual request.
	Work float64
	// Avoid lists servers that already failed this request.
	Avoid []string
}

// Weights of a choice, in units of a server's share of taken slots.
const (
	// otherZone and otherRegion are how much emptier a server has to be to be taken from farther away.
	otherZone   = 0.5
	otherRegion = 1.2
	// secondChoice and noChoice are what a server costs that is not the first of its key.
	secondChoice = 0.15
	noChoice     = 0.3
	// failing is what a server costs whose attempts all fail.
	failing = 4.0
)

// Chooser knows this daemon's own attempts at each server.
type Chooser struct {
	region string
	zone   string

	mu      sync.Mutex
	servers map[string]*load
}

// New returns a chooser of a daemon in a region and availability zone.
func New(region, zone string) *Chooser {
	return &Chooser{region: region, zone: zone, servers: map[string]*load{}}
}

// Choose takes the best server and counts an attempt in flight there; ok is false if none may be used.
func (c *Chooser) Choose(ask Ask, now time.Time) (id string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, second := ranked(ask)
	best, lowest := -1, math.Inf(1)
	for i, cand := range ask.Candidates {
		if slices.Contains(ask.Avoid, cand.ID) {
			continue
		}
		s := c.load(cand)
		score := s.score(cand, now) + c.distance(cand)
		if ask.Key != "" {
			score += preference(i, first, second)
		}
		if score < lowest {
			best, lowest = i, score
		}
	}
	if best < 0 {
		return "", false
	}
	s := c.load(ask.Candidates[best])
	s.inFlight++
	s.work += ask.Work
	return ask.Candidates[best].ID, true
}

func (c *Chooser) load(cand Candidate) *load {
	s := c.servers[cand.ID]
	if s == nil || s.born != cand.Born {
		s = &load{born: cand.Born}
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

func preference(i, first, second int) float64 {
	switch i {
	case first:
		return 0
	case second:
		return secondChoice
	default:
		return noChoice
	}
}

// ranked returns the two candidates with the highest hashes together with the key.
func ranked(ask Ask) (first, second int) {
	first, second = -1, -1
	if ask.Key == "" {
		return first, second
	}
	key := xxhash.Sum64String(ask.Key)
	var h1, h2 uint64
	for i, cand := range ask.Candidates {
		switch h := mix(xxhash.Sum64String(cand.ID) ^ key); {
		case first < 0 || h > h1:
			second, h2 = first, h1
			first, h1 = i, h
		case second < 0 || h > h2:
			second, h2 = i, h
		}
	}
	return first, second
}

// mix spreads the bits of a combined hash.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}

// Release ends an attempt that Choose counted.
func (c *Chooser) Release(id string, work float64, o Outcome, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[id]
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	s.work = math.Max(0, s.work-work)
	s.settle(o, now)
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
type State struct {
	InFlight int       `json:"inFlight"`
	Work     float64   `json:"work"`
	Failing  float64   `json:"failingShare"`
	Aside    time.Time `json:"setAsideUntil"`
}

// Dump shows each server by ID.
func (c *Chooser) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]State{}
	for id, s := range c.servers {
		out[id] = State{s.inFlight, s.work, s.failed, s.until}
	}
	return out
}
