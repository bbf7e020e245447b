package kernel

import (
	"context"
	"sync"

	"github.com/oklog/run"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// Service is a part of a daemon that runs until its context is cancelled.
type Service interface {
	Run(ctx context.Context) error
}

// Dumper is a component that returns its state as a JSON-encodable value.
type Dumper interface {
	Dump() any
}

type entry struct {
	name    string
	service any
	// done is closed when a Service has returned.
	done chan struct{}
}

// Kernel holds the services and components of one daemon.
type Kernel struct {
	log *event.Log

	mu      sync.Mutex
	entries []*entry
	byName  map[string]*entry
}

// New returns a kernel without services.
func New(log *event.Log) *Kernel {
	return &Kernel{log: log, byName: map[string]*entry{}}
}

// Add registers a service, or a component that does not run, under a name.
func (k *Kernel) Add(name string, service any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.byName[name]; ok {
		panic("kernel: service " + name + " is registered twice")
	}
	e := &entry{name: name, service: service, done: make(chan struct{})}
	k.entries = append(k.entries, e)
	k.byName[name] = e
}

// Lookup returns the service of a name as the interface T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	k.mu.Lock()
	e, ok := k.byName[name]
	k.mu.Unlock()
	if !ok {
		return zero, fault.New(fault.Internal, "register it before its users", "no service named %q", name)
	}
	t, ok := e.service.(T)
	if !ok {
		return zero, fault.New(fault.Internal, "look it up by an interface that it implements", "service %q is a %T", name, e.service)
	}
	return t, nil
}

// Run runs all services until ctx is cancelled or one of them returns, and stops the others.
func (k *Kernel) Run(ctx context.Context) error {
	var g run.Group
	stopCtx, stop := context.WithCancel(ctx)
	g.Add(func() error {
		<-stopCtx.Done()
		return nil
	}, func(error) { stop() })
	k.mu.Lock()
	running := k.runnable()
	k.mu.Unlock()
	for i, e := range running {
		var after []*entry
		after = append(after, running[i+1:]...)
		k.addActor(&g, e, after)
	}
	return g.Run()
}

func (k *Kernel) runnable() []*entry {
	var out []*entry
	for _, e := range k.entries {
		if _, ok := e.service.(Service); ok {
			out = append(out, e)
		}
	}
	return out
}

// addActor adds a service to g. On shutdown its context is cancelled once the services in after, which were
// registered later, have returned.
func (k *Kernel) addActor(g *run.Group, e *entry, after []*entry) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		defer close(e.done)
		err := e.service.(Service).Run(ctx)
		if err != nil && ctx.Err() == nil {
			k.log.Emit(event.ServiceFailed, "service", e.name, "error", err.Error())
			return err
		}
		return nil
	}, func(error) {
		go func() {
			for _, later := range after {
				<-later.done
			}
			cancel()
		}()
	})
}

// Dump returns the state of every Dumper, by name.
func (k *Kernel) Dump() map[string]any {
	k.mu.Lock()
	entries := append([]*entry(nil), k.entries...)
	k.mu.Unlock()
	out := map[string]any{}
	for _, e := range entries {
		if d, ok := e.service.(Dumper); ok {
			out[e.name] = d.Dump()
		}
	}
	return out
}
