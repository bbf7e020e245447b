package routing

import (
	"strings"
	"time"
)

// Kind says how a route's requests may be repeated and how their answers are passed on.
type Kind string

// The kinds of routes.
const (
	// Safe requests are idempotent.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Streaming requests are answered by events, passed on as they arrive.
	Streaming Kind = "streaming"
)

// WeightedService is the part of a route's requests that a service gets.
type WeightedService struct {
	Service string
	Weight  int
}

// Route says how requests under a path prefix of a host are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or the first event of a stream, is on time.
	TargetLatency time.Duration
	// TargetGap is the longest pause between events of a stream that is on time.
	TargetGap time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Models lists the models that may answer, smallest first; empty if the caller names the model.
	Models []string
	// Backends are the services that serve the route, by weight.
	Backends []WeightedService
	// MaxAttempts is how many servers one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Sticky requests carry the parts of their prompts.
	Sticky bool
	// Resumable streams may go on at another server after the last event that was passed on.
	Resumable bool
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots          int
	CapacityTokens int
	Models         []Model
}

// Model is a model with its cost for a thousand generated tokens.
type Model struct {
	Name              string
	CostPer1000Tokens float64
}

// Service is a group of alike backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns bounds the connections that one server takes from all callers.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Account is a client account.
type Account struct {
	Name string
	// Priority goes before the route's priority if it is set.
	Priority *int
}

// Limits bounds what callers may send and how long they may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is a whole configuration before it is indexed.
type Config struct {
	Revision int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Accounts maps keys to their client accounts; nil if requests carry no keys.
	Accounts map[string]*Account
}

// Table is a configuration that is ready for lookups; it is not changed once built.
type Table struct {
	Revision int64
	Limits   Limits

	// hosts maps a host and a path prefix to the route.
	hosts    map[string]map[string]*Route
	services map[string]*Service
	accounts map[string]*Account
	routes   int
}

// NewTable indexes a configuration.
func NewTable(cfg Config) *Table {
	t := &Table{
		Revision: cfg.Revision, Limits: cfg.Limits, accounts: cfg.Accounts, routes: len(cfg.Routes),
		hosts: map[string]map[string]*Route{}, services: map[string]*Service{},
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if t.hosts[r.Host] == nil {
			t.hosts[r.Host] = map[string]*Route{}
		}
		t.hosts[r.Host][r.Prefix] = r
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	return t
}

// Match returns the route with the longest prefix that begins the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	prefixes := t.hosts[host]
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

// NeedsKey reports whether requests of routes that are not public must carry a key.
func (t *Table) NeedsKey() bool { return t.accounts != nil }

// Account returns the client account that holds a key.
func (t *Table) Account(key string) (*Account, bool) {
	a, ok := t.accounts[key]
	return a, ok
}

// Routes returns the number of routes.
func (t *Table) Routes() int { return t.routes }
