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

// Backends lists the backend servers and reports changes.
type Backends interface {
	Backends() []vmlist.VM
	OnChange(fn func())
}

// Requirements is what an attempt needs of a server.
type Requirements struct {
	// Workload is the ID of the version or the name of the service.
	Workload string
	// Prefix is the text that an engine's prefix cache may hold.
	Prefix string
	// Avoid lists servers that already failed this request.
	Avoid []string
	// ExpectedBytes is the expected traffic, which counts against the limit of cross-region spillover in bytes a second.
	ExpectedBytes int
	Admission     admission.Request
}

// Pool reserves slots at servers for attempts.
type Pool struct {
	backends       Backends
	balancer       *balance.Balancer
	spilloverLimit *rate.Limiter
	region         string

	mu                sync.Mutex
	targetsByWorkload map[string][]balance.Target
	queues            map[string]*admission.Queue
	spillovers        int64
}

// New returns the pool of a daemon in a region; spilloverBytesPerSecond bounds its traffic to other regions.
func New(backends Backends, balancer *balance.Balancer, region string, spilloverBytesPerSecond int) *Pool {
	p := &Pool{
		backends: backends, balancer: balancer, region: region,
		spilloverLimit: rate.NewLimiter(rate.Limit(spilloverBytesPerSecond), spilloverBytesPerSecond),
		queues:         map[string]*admission.Queue{},
	}
	backends.OnChange(p.invalidateIndex)
	return p
}

// invalidateIndex causes the index by workload to be rebuilt at its next use.
func (p *Pool) invalidateIndex() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targetsByWorkload = nil
}

// Targets returns the servers of a workload.
func (p *Pool) Targets(workload string) []balance.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.targetsByWorkload == nil {
		p.targetsByWorkload = p.index()
	}
	return p.targetsByWorkload[workload]
}

func (p *Pool) index() map[string][]balance.Target {
	index := map[string][]balance.Target{}
	known := map[string]bool{}
	for _, vm := range p.backends.Backends() {
		known[vm.ID] = true
		t := balance.Target{
			ID: vm.ID, Region: vm.Region, AvailabilityZone: vm.AvailabilityZone,
			Address: vm.Address, Leaving: vm.Leaving,
		}
		for _, workload := range vm.Serves {
			index[workload] = append(index[workload], t)
		}
	}
	p.balancer.Retain(func(id string) bool { return known[id] })
	return index
}

// Usable reports whether a workload has a server that is not leaving.
func (p *Pool) Usable(workload string) bool {
	for _, t := range p.Targets(workload) {
		if !t.Leaving {
			return true
		}
	}
	return false
}

// Latency returns the mean latency of a workload's servers.
func (p *Pool) Latency(workload string) time.Duration {
	return p.balancer.MeanLatency(p.Targets(workload))
}

// Pressure returns how many requests wait for a workload and how many slots are free at its servers.
func (p *Pool) Pressure(workload string) (waiting int, free float64) {
	limit, inFlight := p.balancer.Capacity(p.Targets(workload), time.Now())
	return p.queue(workload).Len(), limit - float64(inFlight)
}

func (p *Pool) queue(workload string) *admission.Queue {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queues[workload]
	if q == nil {
		q = admission.NewQueue()
		p.queues[workload] = q
	}
	return q
}

// Acquire waits for a free slot at a server and reserves it.
func (p *Pool) Acquire(ctx context.Context, req Requirements) (balance.Target, error) {
	if !p.Usable(req.Workload) {
		return balance.Target{}, fault.New(fault.Unavailable, "start a backend server that offers it", "no backend server offers %s", req.Workload)
	}
	if p.Exhausted(req.Workload, req.Avoid) {
		return balance.Target{}, fault.New(fault.Unavailable, "check its backend servers", "every backend server that offers %s failed", req.Workload)
	}
	var got balance.Target
	try := func() bool {
		t, ok := p.tryAcquire(req)
		got = t
		return ok
	}
	err := p.queue(req.Workload).Wait(ctx, req.Admission, try, p.balancer.Released)
	return got, err
}

// Exhausted reports whether avoid contains every server of a workload that is not leaving.
func (p *Pool) Exhausted(workload string, avoid []string) bool {
	for _, t := range p.Targets(workload) {
		if !t.Leaving && !slices.Contains(avoid, t.ID) {
			return false
		}
	}
	return true
}

// tryAcquire tries the servers of the daemon's region, then those of others if the spillover limit allows it.
func (p *Pool) tryAcquire(req Requirements) (balance.Target, bool) {
	query := balance.Query{Targets: p.Targets(req.Workload), PromptPrefix: req.Prefix, Avoid: req.Avoid}
	now := time.Now()
	if t, ok := p.balancer.Acquire(query, now); ok {
		return t, true
	}
	if p.spilloverLimit.TokensAt(now) < float64(req.ExpectedBytes) {
		return balance.Target{}, false
	}
	query.SpilloverAllowed = true
	t, ok := p.balancer.Acquire(query, now)
	if ok && t.Region != p.region {
		p.spilloverLimit.AllowN(now, req.ExpectedBytes)
		p.mu.Lock()
		p.spillovers++
		p.mu.Unlock()
	}
	return t, ok
}

// Release frees the slot of an attempt and records its outcome.
func (p *Pool) Release(t balance.Target, o balance.Outcome, rep balance.LoadReport, took time.Duration) {
	p.balancer.Release(t, o, rep, took, time.Now())
}

// RecordLoad records the load that a server reported in the headers of a response.
func (p *Pool) RecordLoad(t balance.Target, rep balance.LoadReport) { p.balancer.RecordLoad(t, rep) }

// MarkLeaving records that a server reported that it accepts no more work.
func (p *Pool) MarkLeaving(t balance.Target) { p.balancer.MarkLeaving(t, time.Now()) }

// Dump returns the queue lengths, the number of spillovers to other regions and the state of the servers.
func (p *Pool) Dump() any {
	p.mu.Lock()
	waiting := map[string]int{}
	for workload, q := range p.queues {
		waiting[workload] = q.Len()
	}
	spillovers := p.spillovers
	p.mu.Unlock()
	return struct {
		Waiting    map[string]int `json:"waiting"`
		Spillovers int64          `json:"spills"`
		Servers    any            `json:"servers"`
	}{waiting, spillovers, p.balancer.Dump()}
}
