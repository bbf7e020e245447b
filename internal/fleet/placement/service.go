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

// Lease says whether this daemon may give orders.
type Lease interface {
	AcquireOrRenew(ctx context.Context) error
	Valid(period time.Duration) (int64, error)
	Release(ctx context.Context)
	Dump() any
}

// Engines takes orders.
type Engines interface {
	SendOrder(ctx context.Context, address string, body []byte) error
}

// Backends lists the backend servers.
type Backends interface {
	Backends() []vmlist.VM
	Rank() int
}

// Policies is the configuration in force.
type Policies interface {
	Templates() []*template.Template
}

// Options sets the timing and bounds of placement.
type Options struct {
	Region   string
	Interval time.Duration
	// Flight is the longest time from sending an order until it has taken effect or never will.
	OrderTimeout time.Duration
	// AtOnce is how many engines load at a time, which the weight store's rate limits.
	MaxConcurrentLoads int
}

// Service gives orders while it holds the lease.
type Service struct {
	lease    Lease
	engines  Engines
	backends Backends
	policies Policies
	opts     Options
	log      *event.Log

	mu      sync.Mutex
	sent    map[string]sentOrder
	orders  int64
	refused int64
}

// sentOrder remembers an order, so that it is not repeated before the list can show its effect.
type sentOrder struct {
	serves string
	at     time.Time
}

// candidates is how many daemons of an availability zone try for the lease.
const candidates = 2

// repeatAfter is how long an order that the list does not show yet is not sent again.
const repeatAfter = 30 * time.Second

// New returns a placement that gives no orders until it holds the lease.
func New(lease Lease, engines Engines, backends Backends, policies Policies, opts Options, log *event.Log) *Service {
	return &Service{lease: lease, engines: engines, backends: backends, policies: policies, opts: opts, log: log, sent: map[string]sentOrder{}}
}

// Run keeps the lease and gives orders until ctx ends.
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
		if s.backends.Rank() >= candidates || s.lease.AcquireOrRenew(ctx) != nil {
			continue
		}
		if _, err := s.lease.Valid(s.opts.OrderTimeout); err == nil {
			s.give(ctx)
		}
	}
}

// give sends the orders that are due, a few at a time.
func (s *Service) give(ctx context.Context) {
	var due []Change
	for _, c := range Plan(s.policies.Templates(), s.regionEngines()) {
		if s.isDue(c) && len(due) < s.opts.MaxConcurrentLoads {
			due = append(due, c)
		}
	}
	var wg sync.WaitGroup
	for _, c := range due {
		wg.Go(func() { s.send(ctx, c) })
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

func (s *Service) isDue(c Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.sent[c.Engine]
	return !ok || last.serves != strings.Join(c.Serves, ",") || time.Since(last.at) > repeatAfter
}

// send gives one order if the lease covers its longest flight, looked at right before sending.
func (s *Service) send(ctx context.Context, c Change) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.OrderTimeout)
	defer cancel()
	fencing, err := s.lease.Valid(s.opts.OrderTimeout)
	if err != nil {
		return
	}
	body, err := json.Marshal(engine.Order{Fencing: fencing, Serves: c.Serves})
	if err != nil {
		return
	}
	err = s.engines.SendOrder(ctx, c.Address, body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders++
	if errors.Is(err, engine.ErrFenced) {
		s.refused++
		s.log.Emit(event.OrderRefused, "engine", c.Engine, "fencing", fencing)
		return
	}
	s.log.Emit(event.OrderSent, "engine", c.Engine, "fencing", fencing, "serves", strings.Join(c.Serves, ","))
	if err == nil {
		s.sent[c.Engine] = sentOrder{serves: strings.Join(c.Serves, ","), at: time.Now()}
	}
}

// Dump shows the lease and the orders given.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Lease   any   `json:"lease"`
		Orders  int64 `json:"orders"`
		Refused int64 `json:"refused"`
	}{s.lease.Dump(), s.orders, s.refused}
}
