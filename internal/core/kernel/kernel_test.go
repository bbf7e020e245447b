package kernel

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/core/event"
)

// stoppableService takes a second to stop, then calls onEnd; with runErr set, Run returns that error at once.
type stoppableService struct {
	name   string
	onEnd  func(string)
	runErr error
}

func (r *stoppableService) Run(ctx context.Context) error {
	if r.runErr != nil {
		return r.runErr
	}
	<-ctx.Done()
	time.Sleep(time.Second)
	r.onEnd(r.name)
	return nil
}

func (r *stoppableService) Dump() any { return r.name }

// Guards against a service that loses those it depends on before it has stopped.
func TestServicesStopInReverseOrderOfRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := New(event.Discard())
		var mu sync.Mutex
		var ended []string
		for _, name := range []string{"store", "fleet", "edge"} {
			k.Add(name, &stoppableService{name: name, onEnd: func(n string) {
				mu.Lock()
				defer mu.Unlock()
				ended = append(ended, n)
			}})
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		require.NoError(t, k.Run(ctx))
		require.Equal(t, []string{"edge", "fleet", "store"}, ended)
		require.Equal(t, map[string]any{"store": "store", "fleet": "fleet", "edge": "edge"}, k.Dump())
	})
}

// Guards against a daemon that goes on after one of its services has failed.
func TestAFailingServiceStopsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := New(event.Discard())
		failure := errors.New("broken")
		k.Add("a", &stoppableService{name: "a", onEnd: func(string) {}})
		k.Add("b", &stoppableService{name: "b", runErr: failure})
		require.ErrorIs(t, k.Run(t.Context()), failure)
	})
}

func TestLookupFindsServicesByNameAndInterface(t *testing.T) {
	k := New(event.Discard())
	k.Add("a", &stoppableService{name: "a"})
	s, err := Lookup[Service](k, "a")
	require.NoError(t, err)
	require.NotNil(t, s)
	_, err = Lookup[interface{ Fly() }](k, "a")
	require.ErrorContains(t, err, "look it up by an interface that it implements")
	_, err = Lookup[Service](k, "b")
	require.ErrorContains(t, err, "no service named")
}
