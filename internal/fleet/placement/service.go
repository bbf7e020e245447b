package placement

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollencourse/pollencourse/internal/back/engine"
	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/external/vmlist"
)

// Lease decides whether this daemon may send orders.
type Lease interface {
	AcquireOrRenew(ctx context.Context) error
	Valid(period time.Duration) (int64, error)
	Release(ctx context.Context)
	Dump() any
}

// Engines delivers orders to engines.
type Engines interface {
	SendOrder(ctx context.Context, address string, body []byte) error
}

// Backends is the part of the membership that Service uses.
type Backends interface {
	Backends() []vmlist.VM
	Rank() int
}

// Policies is the configuration in force.
type Policies interface {
	Templates() []*template.Template
}

// Options configures a Service.
type Options struct {
	Region   string
	Interval time.Duration
	// OrderTimeout bounds the sending of an order and is the longest time after which it can still take effect.
	OrderTimeout time.Duration
	// MaxConcurrentLoads bounds the engines that load at a time, since the weight store is rate-limited.
	MaxConcurrentLoads int
}

// Service sends orders to the engines of a region while it holds the lease.
type Service struct {
	lease    Lease
	engines  Engines
	backends Backends
	policies Policies
	opts     Options
	log      *event.Log

	mu       sync.Mutex
	lastSent map[string]sentOrder
	orders   int64
	refused  int64
}

// sentOrder is the last order sent to an engine. It is kept so that the order is not sent again
// before the VM list can show its effect.
type sentOrder struct {
	serves string
	at     time.Time
}

// leaseCandidatesPerZone is how many daemons of an availability zone try to acquire the lease.
const leaseCandidatesPerZone = 2

// resendAfter is the time after which an order is sent again if the VM list does not show its effect.
const resendAfter = 30 * time.Second

// New returns a Service that does not hold the lease yet.
func New(lease Lease, engines Engines, backends Backends, policies Policies, opts Options, log *event.Log) *Service {
	return &Service{lease: lease, engines: engines, backends: backends, policies: policies, opts: opts, log: log, lastSent: map[string]sentOrder{}}
}

// Run acquires and renews the lease and sends orders until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.opts.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			releaseCtx, cancel := context.WithTimeout(context.Background(), s.opts.Interval)
			defer cancel()
			s.lease.Release(releaseCtx)
			return nil
		case <-ticker.C:
		}
		if s.backends.Rank() >= leaseCandidatesPerZone || s.lease.AcquireOrRenew(ctx) != nil {
			continue
		}
		if _, err := s.lease.Valid(s.opts.OrderTimeout); err == nil {
			s.sendDueOrders(ctx)
		}
	}
}

// sendDueOrders sends at most MaxConcurrentLoads of the orders that are due.
func (s *Service) sendDueOrders(ctx context.Context) {
	var due []EngineOrder
	for _, o := range Plan(s.policies.Templates(), s.regionEngines()) {
		if s.isDue(o) && len(due) < s.opts.MaxConcurrentLoads {
			due = append(due, o)
		}
	}
	var wg sync.WaitGroup
	for _, o := range due {
		wg.Go(func() { s.sendOrder(ctx, o) })
	}
	wg.Wait()
}

func (s *Service) regionEngines() []vmlist.VM {
	var out []vmlist.VM
	for _, vm := range s.backends.Backends() {
		if vm.Kind == vmlist.Engine && vm.Region == s.opts.Region {
			out = append(out, vm)
		}
	}
	return out
}

func (s *Service) isDue(o EngineOrder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.lastSent[o.Engine]
	return !ok || last.serves != strings.Join(o.Serves, ",") || time.Since(last.at) > resendAfter
}

// sendOrder sends one order if the lease, checked right before sending, remains valid for the order timeout.
func (s *Service) sendOrder(ctx context.Context, o EngineOrder) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.OrderTimeout)
	defer cancel()
	fencing, err := s.lease.Valid(s.opts.OrderTimeout)
	if err != nil {
		return
	}
	body, err := json.Marshal(engine.Order{Fencing: fencing, Serves: o.Serves})
	if err != nil {
		return
	}
	err = s.engines.SendOrder(ctx, o.Address, body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders++
	if errors.Is(err, engine.ErrFenced) {
		s.refused++
		s.log.Emit(event.OrderRefused, "engine", o.Engine, "fencing", fencing)
		return
	}
	s.log.Emit(event.OrderSent, "engine", o.Engine, "fencing", fencing, "serves", strings.Join(o.Serves, ","))
	if err == nil {
		s.lastSent[o.Engine] = sentOrder{serves: strings.Join(o.Serves, ","), at: time.Now()}
	}
}

// Dump returns the lease and the counts of orders, for inspection.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Lease   any   `json:"lease"`
		Orders  int64 `json:"orders"`
		Refused int64 `json:"refused"`
	}{s.lease.Dump(), s.orders, s.refused}
}
