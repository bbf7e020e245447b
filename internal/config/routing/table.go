package routing

import (
	"strings"
	"time"
)

// Kind determines whether a route's requests may be retried and how their responses are forwarded.
type Kind string

// The kinds of routes.
const (
	// Safe requests are idempotent; they may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Streaming requests get a stream of events as response, forwarded as they arrive.
	Streaming Kind = "streaming"
)

// WeightedService is a service that serves a share of a route's requests in proportion to Weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Route defines how requests under a path prefix of a host are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// TargetLatency is the longest time to a response, or to the first event of a stream, that counts as on time.
	TargetLatency time.Duration
	// TargetGap is the longest time between events of a stream that counts as on time.
	TargetGap time.Duration
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// Models lists the models that may serve a request, smallest first; empty if the caller names the model.
	Models []string
	// Backends are the services that serve the route.
	Backends []WeightedService
	// MaxAttempts bounds the attempts of one request that reach a server.
	MaxAttempts int
	// Public routes accept requests without a key.
	Public bool
	// Sticky is true if requests carry the parts of their prompts. The router does not read it: it uses the parts of any
	// request that carries them.
	Sticky bool
	// AllowedRegions lists the regions in which the requests may be served; empty for all.
	AllowedRegions []string
	// Resumable streams may continue at another server after the last event that was forwarded.
	Resumable bool
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is the number of requests that one server runs at once.
	Slots int
	// CapacityTokens is the size of a server's KV cache.
	CapacityTokens int
	Models         []Model
}

// Model is a model with the cost of 1000 generated tokens.
type Model struct {
	Name              string
	CostPer1000Tokens float64
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns bounds the connections that one server accepts from all callers.
	MaxConns int
	// Warmup is how long a server is cold after its start, ColdPerSecond the number of requests a second that it tolerates
	// meanwhile; servers are never cold if one of them is 0.
	Warmup        time.Duration
	ColdPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Account is a client account.
type Account struct {
	Name string
	// Priority overrides the route's priority if it is not nil.
	Priority *int
	// AllowedRegions lists the regions in which the account's requests may be served; empty for all.
	AllowedRegions []string
}

// Limits bounds the size of requests and the time that callers may take to send them.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is a complete configuration before it is indexed.
type Config struct {
	Revision int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Accounts maps callers' keys to client accounts; nil if requests carry no keys.
	Accounts map[string]*Account
}

// Table is an immutable configuration, indexed for lookups.
type Table struct {
	Revision int64
	Limits   Limits

	// routesByHost maps a host and a path prefix to the route.
	routesByHost  map[string]map[string]*Route
	services      map[string]*Service
	accountsByKey map[string]*Account
	routeCount    int
}

// NewTable indexes a configuration.
func NewTable(cfg Config) *Table {
	t := &Table{
		Revision: cfg.Revision, Limits: cfg.Limits, accountsByKey: cfg.Accounts, routeCount: len(cfg.Routes),
		routesByHost: map[string]map[string]*Route{}, services: map[string]*Service{},
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if t.routesByHost[r.Host] == nil {
			t.routesByHost[r.Host] = map[string]*Route{}
		}
		t.routesByHost[r.Host][r.Prefix] = r
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	return t
}

// Match returns the route of a host with the longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	prefixes := t.routesByHost[host]
	if prefixes == nil {
		return nil, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := prefixes[path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// NeedsKey reports whether requests must carry a key, unless their route is public.
func (t *Table) NeedsKey() bool { return t.accountsByKey != nil }

// Account returns the client account that a key belongs to.
func (t *Table) Account(key string) (*Account, bool) {
	a, ok := t.accountsByKey[key]
	return a, ok
}

// Routes returns the number of routes.
func (t *Table) Routes() int { return t.routeCount }
