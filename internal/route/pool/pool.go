package pool

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/decide/admission"
	"github.com/pollencourse/pollencourse/internal/decide/balance"
	"github.com/pollencourse/pollencourse/internal/external/vmlist"
)

// Backends is what the pool needs of the membership.
type Backends interface {
	Backends() []vmlist.VM
	OnChange(fn func())
}

// Need is what an attempt asks for.
type Need struct {
	// Offer is the version or the service.
	Offer string
	// Prefix is the text that an engine's prefix cache may hold.
	Prefix string
	// Avoid lists servers that already failed this request.
	Avoid []string
	// Bytes is the expected traffic, for the link between regions.
	Bytes int
	Claim admission.Request
}

// Pool finds servers for attempts.
type Pool struct {
	backends Backends
	balancer *balance.Balancer
	link     *rate.Limiter
	region   string

	mu     sync.Mutex
	offers map[string][]balance.Target
	queues map[string]*admission.Queue
	spills int64
}

// New returns a pool of a daemon in a region; linkBytes bounds the traffic to other regions a second.
func New(backends Backends, balancer *balance.Balancer, region string, linkBytes int) *Pool {
	p := &Pool{
		backends: backends, balancer: balancer, region: region,
		link:   rate.NewLimiter(rate.Limit(linkBytes), linkBytes),
		queues: map[string]*admission.Queue{},
	}
	backends.OnChange(p.forget)
	return p
}

// forget has the index of offers built anew.
func (p *Pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offers = nil
}

// Targets returns the servers that offer a version or service.
func (p *Pool) Targets(offer string) []balance.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.offers == nil {
		p.offers = p.index()
	}
	return p.offers[offer]
}

func (p *Pool) index() map[string][]balance.Target {
	offers := map[string][]balance.Target{}
	known := map[string]bool{}
	for _, vm := range p.backends.Backends() {
		known[vm.ID] = true
		t := balance.Target{
			ID: vm.ID, Region: vm.Region, AvailabilityZone: vm.AvailabilityZone,
			Address: vm.Address, Leaving: vm.Leaving,
		}
		for _, o := range vm.Serves {
			offers[o] = append(offers[o], t)
		}
	}
	p.balancer.Retain(func(id string) bool { return known[id] })
	return offers
}

// Usable reports whether any server that is not leaving offers this.
func (p *Pool) Usable(offer string) bool {
	for _, t := range p.Targets(offer) {
		if !t.Leaving {
			return true
		}
	}
	return false
}

// Latency returns the mean time that the servers of an offer need.
func (p *Pool) Latency(offer string) time.Duration { return p.balancer.MeanLatency(p.Targets(offer)) }

// Pressure returns the requests that wait for an offer and its servers' free places.
func (p *Pool) Pressure(offer string) (waiting int, free float64) {
	limit, inFlight := p.balancer.Capacity(p.Targets(offer), time.Now())
	return p.queue(offer).Len(), limit - float64(inFlight)
}

func (p *Pool) queue(offer string) *admission.Queue {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queues[offer]
	if q == nil {
		q = admission.NewQueue()
		p.queues[offer] = q
	}
	return q
}

// Acquire waits for a place at a server.
func (p *Pool) Acquire(ctx context.Context, need Need) (balance.Target, error) {
	if !p.Usable(need.Offer) {
		return balance.Target{}, fault.New(fault.Unavailable, "start a backend server that offers it", "no backend server offers %s", need.Offer)
	}
	if p.Exhausted(need.Offer, need.Avoid) {
		return balance.Target{}, fault.New(fault.Unavailable, "check its backend servers", "every backend server that offers %s failed", need.Offer)
	}
	var got balance.Target
	try := func() bool {
		t, ok := p.tryAcquire(need)
		got = t
		return ok
	}
	err := p.queue(need.Offer).Wait(ctx, need.Claim, try, p.balancer.Released)
	return got, err
}

// Exhausted reports whether every server of an offer that could be used is in avoid.
func (p *Pool) Exhausted(offer string, avoid []string) bool {
	for _, t := range p.Targets(offer) {
		if !t.Leaving && !slices.Contains(avoid, t.ID) {
			return false
		}
	}
	return true
}

// tryAcquire looks in the own region first and spills over within the link's budget.
func (p *Pool) tryAcquire(need Need) (balance.Target, bool) {
	ask := balance.Query{Targets: p.Targets(need.Offer), PromptPrefix: need.Prefix, Avoid: need.Avoid}
	now := time.Now()
	if t, ok := p.balancer.Acquire(ask, now); ok {
		return t, true
	}
	if p.link.TokensAt(now) < float64(need.Bytes) {
		return balance.Target{}, false
	}
	ask.SpilloverAllowed = true
	t, ok := p.balancer.Acquire(ask, now)
	if ok && t.Region != p.region {
		p.link.AllowN(now, need.Bytes)
		p.mu.Lock()
		p.spills++
		p.mu.Unlock()
	}
	return t, ok
}

// Release ends an attempt.
func (p *Pool) Release(t balance.Target, o balance.Outcome, rep balance.LoadReport, took time.Duration) {
	p.balancer.Release(t, o, rep, took, time.Now())
}

// Report takes the load that a server showed at the head of an answer.
func (p *Pool) Report(t balance.Target, rep balance.LoadReport) { p.balancer.RecordLoad(t, rep) }

// Leaving notes that a server said that it takes no more work.
func (p *Pool) Leaving(t balance.Target) { p.balancer.MarkLeaving(t, time.Now()) }

// Dump shows the queues, the spills to other regions and the servers.
func (p *Pool) Dump() any {
	p.mu.Lock()
	waiting := map[string]int{}
	for o, q := range p.queues {
		waiting[o] = q.Len()
	}
	spills := p.spills
	p.mu.Unlock()
	return struct {
		Waiting map[string]int `json:"waiting"`
		Spills  int64          `json:"spills"`
		Servers any            `json:"servers"`
	}{waiting, spills, p.balancer.Dump()}
}
