package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pollencourse/pollencourse/internal/decide/rendezvous"
)

// Target is a server that offers what is asked for.
type Target struct {
	ID               string
	Region           string
	AvailabilityZone string
	Address          string
	Leaving          bool
}

// Balancer holds what this daemon knows of each backend server.
type Balancer struct {
	region string
	zone   string
	float  func() float64

	mu      sync.Mutex
	servers map[string]*server
	// released is closed and replaced whenever a slot becomes free.
	released chan struct{}
}

// New returns a balancer of a daemon in a region and availability zone; float gives uniform random numbers in [0, 1).
func New(region, zone string, float func() float64) *Balancer {
	if float == nil {
		float = rand.Float64
	}
	return &Balancer{region: region, zone: zone, float: float, servers: map[string]*server{}, released: make(chan struct{})}
}

// Ask is what an attempt needs.
type Query struct {
	Targets []Target
	// Prefix is the text that an engine's prefix cache may hold; empty for none.
	PromptPrefix string
	// Avoid lists servers that already failed this request.
	Avoid []string
	// RemoteAllowed permits servers of other regions.
	SpilloverAllowed bool
}

// affinitySlack is how far above the mean load the preferred server may be.
const affinitySlack = 1.25

// Acquire chooses a server and counts an attempt in flight there.
func (b *Balancer) Acquire(ask Query, now time.Time) (Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, near := range b.rings(ask) {
		free := slices.DeleteFunc(slices.Clone(near), func(t Target) bool {
			return slices.Contains(ask.Avoid, t.ID) || !b.server(t).free(now)
		})
		if len(free) == 0 {
			continue
		}
		t := b.choose(free, ask.PromptPrefix, now)
		b.server(t).inFlight++
		return t, true
	}
	return Target{}, false
}

// rings groups the targets by distance: own zone and region together, then other regions.
func (b *Balancer) rings(ask Query) [][]Target {
	var local, remote []Target
	for _, t := range ask.Targets {
		s := b.server(t)
		s.leaving = t.Leaving
		if t.Leaving {
			continue
		}
		if t.Region == b.region {
			local = append(local, t)
		} else {
			remote = append(remote, t)
		}
	}
	rings := [][]Target{local}
	if ask.SpilloverAllowed {
		rings = append(rings, remote)
	}
	return rings
}

func (b *Balancer) server(t Target) *server {
	s := b.servers[t.ID]
	if s == nil {
		s = newServer(t.ID, t.Region, t.AvailabilityZone)
		b.servers[t.ID] = s
	}
	return s
}

func (b *Balancer) choose(free []Target, prefix string, now time.Time) Target {
	if prefix != "" {
		t := preferred(free, prefix)
		if b.server(t).load(now) <= affinitySlack*b.meanLoad(free, now)+0.05 {
			return t
		}
	}
	i := int(b.float() * float64(len(free)))
	j := int(b.float() * float64(len(free)))
	if b.better(free[j], free[i], now) {
		return free[j]
	}
	return free[i]
}

// otherZone is the load that a server of another availability zone has to be better by.
const otherZone = 0.1

func (b *Balancer) better(x, y Target, now time.Time) bool {
	return b.weighed(x, now) < b.weighed(y, now)
}

func (b *Balancer) weighed(t Target, now time.Time) float64 {
	load := b.server(t).load(now)
	if t.AvailabilityZone != b.zone {
		load += otherZone
	}
	return load
}

func (b *Balancer) meanLoad(ts []Target, now time.Time) float64 {
	sum := 0.0
	for _, t := range ts {
		sum += b.server(t).load(now)
	}
	return sum / float64(len(ts))
}

// preferred is the target with the highest hash together with the prefix.
func preferred(ts []Target, prefix string) Target {
	best, top := ts[0], uint64(0)
	key := rendezvous.KeyOf(prefix)
	for _, t := range ts {
		if h := key.Rank(t.ID); h >= top {
			best, top = t, h
		}
	}
	return best
}

// Release ends an attempt that Acquire counted.
func (b *Balancer) Release(t Target, o Outcome, rep LoadReport, took time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.server(t)
	s.inFlight--
	s.settle(o, rep, took, now)
	b.signal()
}

// Report takes the load that a server showed at the head of an answer.
func (b *Balancer) RecordLoad(t Target, rep LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.server(t).learn(rep)
	b.signal()
}

// signal wakes whoever waits for a place; b.mu is held.
func (b *Balancer) signal() {
	close(b.released)
	b.released = make(chan struct{})
}

// Leaving notes that a server itself said that it takes no more work.
func (b *Balancer) MarkLeaving(t Target, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.server(t).until = now.Add(leavingAside)
}

// Released returns a channel that is closed when the next slot becomes free.
func (b *Balancer) Released() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.released
}

// Latency returns the mean smoothed latency of the targets, 0 if nothing is known.
func (b *Balancer) MeanLatency(ts []Target) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sum time.Duration
	n := 0
	for _, t := range ts {
		if s := b.servers[t.ID]; s != nil && s.latency > 0 {
			sum += s.latency
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// Capacity returns the limits of the targets that can be used now, summed, and what is in flight there.
func (b *Balancer) Capacity(ts []Target, now time.Time) (limit float64, inFlight int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range ts {
		s := b.server(t)
		inFlight += s.inFlight
		if !t.Leaving && !now.Before(s.until) {
			limit += s.limit
		}
	}
	return limit, inFlight
}

// Forget drops servers that are gone and idle.
func (b *Balancer) Retain(keep func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.servers {
		if s.inFlight == 0 && !keep(id) {
			delete(b.servers, id)
		}
	}
}

// ServerState is one server in the dump.
type ServerState struct {
	ID              string        `json:"id"`
	InFlight        int           `json:"inFlight"`
	Limit           float64       `json:"limit"`
	ReportedWaiting int           `json:"reportedWaiting"`
	MeanLatency     time.Duration `json:"latencyNs"`
	EjectedUntil    time.Time     `json:"setAsideUntil"`
}

// Dump shows each server's attempts in flight, limit and last report.
func (b *Balancer) Dump() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []ServerState
	for _, s := range b.servers {
		out = append(out, ServerState{s.id, s.inFlight, s.limit, s.report.Waiting, s.latency, s.until})
	}
	slices.SortFunc(out, func(x, y ServerState) int {
		if x.ID < y.ID {
			return -1
		}
		return 1
	})
	return out
}
