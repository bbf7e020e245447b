package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pollencourse/pollencourse/internal/decide/rendezvous"
)

// Target is a server that offers the requested model or service.
type Target struct {
	ID               string
	Region           string
	AvailabilityZone string
	Address          string
	// Leaving is true if the list of VMs marks the server as leaving.
	Leaving bool
}

// Balancer chooses servers by their load, which it estimates from this daemon's attempts and the servers' reports.
type Balancer struct {
	region string
	zone   string
	random func() float64

	mu      sync.Mutex
	servers map[string]*server
	// released is closed and replaced whenever a slot may have become free.
	released chan struct{}
}

// New returns a balancer for a daemon in the given region and availability zone. The random function returns uniform
// numbers in [0, 1); nil stands for rand.Float64.
func New(region, zone string, random func() float64) *Balancer {
	if random == nil {
		random = rand.Float64
	}
	return &Balancer{region: region, zone: zone, random: random, servers: map[string]*server{}, released: make(chan struct{})}
}

// Query describes an attempt and the servers that may take it.
type Query struct {
	Targets []Target
	// PromptPrefix is the text that an engine's prefix cache may hold; empty for none.
	PromptPrefix string
	// Avoid lists servers on which the request already failed.
	Avoid []string
	// SpilloverAllowed permits servers of other regions.
	SpilloverAllowed bool
}

// maxAffinityLoadRatio bounds the load of the server that a prompt prefix prefers, as a multiple of the mean load.
const maxAffinityLoadRatio = 1.25

// Acquire chooses an available server and counts an attempt in flight there; it returns false if none is available.
func (b *Balancer) Acquire(query Query, now time.Time) (Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, tier := range b.tiers(query) {
		free := slices.DeleteFunc(slices.Clone(tier), func(t Target) bool {
			return slices.Contains(query.Avoid, t.ID) || !b.server(t).available(now)
		})
		if len(free) == 0 {
			continue
		}
		t := b.choose(free, query.PromptPrefix, now)
		b.server(t).inFlight++
		return t, true
	}
	return Target{}, false
}

// tiers groups the targets that are not leaving by distance: the daemon's region, then other regions if spillover is
// allowed.
func (b *Balancer) tiers(query Query) [][]Target {
	var local, remote []Target
	for _, t := range query.Targets {
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
	tiers := [][]Target{local}
	if query.SpilloverAllowed {
		tiers = append(tiers, remote)
	}
	return tiers
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
		// The 0.05 keeps the preferred server usable while the mean load is near 0.
		if b.server(t).load(now) <= maxAffinityLoadRatio*b.meanLoad(free, now)+0.05 {
			return t
		}
	}
	i := int(b.random() * float64(len(free)))
	j := int(b.random() * float64(len(free)))
	if b.lessLoaded(free[j], free[i], now) {
		return free[j]
	}
	return free[i]
}

// crossZoneLoadPenalty is added to the load of a server of another availability zone, as a share of its slots.
const crossZoneLoadPenalty = 0.1

func (b *Balancer) lessLoaded(x, y Target, now time.Time) bool {
	return b.penalizedLoad(x, now) < b.penalizedLoad(y, now)
}

func (b *Balancer) penalizedLoad(t Target, now time.Time) float64 {
	load := b.server(t).load(now)
	if t.AvailabilityZone != b.zone {
		load += crossZoneLoadPenalty
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

// preferred returns the target with the highest rendezvous score for the prefix.
func preferred(ts []Target, prefix string) Target {
	best, top := ts[0], uint64(0)
	key := rendezvous.HashKey(prefix)
	for _, t := range ts {
		if score := key.Score(t.ID); score >= top {
			best, top = t, score
		}
	}
	return best
}

// Release ends an attempt that Acquire counted, which took the given time.
func (b *Balancer) Release(t Target, o Outcome, rep LoadReport, took time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.server(t)
	s.inFlight--
	s.recordOutcome(o, rep, took, now)
	b.signal()
}

// RecordLoad records the load that a server reported in the headers of a response.
func (b *Balancer) RecordLoad(t Target, rep LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.server(t).recordReport(rep)
	b.signal()
}

// signal wakes the requests that wait for a slot; b.mu is held.
func (b *Balancer) signal() {
	close(b.released)
	b.released = make(chan struct{})
}

// MarkLeaving ejects a server that reported in a response that it accepts no more work.
func (b *Balancer) MarkLeaving(t Target, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.server(t).ejectedUntil = now.Add(leavingEjection)
}

// Released returns a channel that is closed when the next slot may have become free.
func (b *Balancer) Released() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.released
}

// MeanLatency returns the mean of the targets' smoothed latencies; 0 if there are none yet.
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

// Capacity returns the sum of the limits of the targets that are neither leaving nor ejected, and the attempts in
// flight at all targets.
func (b *Balancer) Capacity(ts []Target, now time.Time) (limit float64, inFlight int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range ts {
		s := b.server(t)
		inFlight += s.inFlight
		if !t.Leaving && !now.Before(s.ejectedUntil) {
			limit += s.limit
		}
	}
	return limit, inFlight
}

// Retain drops the idle servers for which keep returns false.
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
	Latency         time.Duration `json:"latencyNs"`
	EjectedUntil    time.Time     `json:"setAsideUntil"`
}

// Dump returns the state of each server, ordered by ID, for display.
func (b *Balancer) Dump() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []ServerState
	for _, s := range b.servers {
		out = append(out, ServerState{s.id, s.inFlight, s.limit, s.report.Waiting, s.latency, s.ejectedUntil})
	}
	slices.SortFunc(out, func(x, y ServerState) int {
		if x.ID < y.ID {
			return -1
		}
		return 1
	})
	return out
}
