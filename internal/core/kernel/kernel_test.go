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

// recorded is a service that notes when it ends.
type recorded struct {
	name string
	end  func(string)
	fail error
}

func (r *recorded) Run(ctx context.Context) error {
	if r.fail != nil {
		return r.fail
	}
	<-ctx.Done()
	time.Sleep(time.Second)
	r.end(r.name)
	return nil
}

func (r *recorded) Dump() any { return r.name }

func TestServicesEndInReverseOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := New(event.Discard())
		var mu sync.Mutex
		var ended []string
		for _, name := range []string{"store", "fleet", "edge"} {
			k.Add(name, &recorded{name: name, end: func(n string) {
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

func TestAFailingServiceStopsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := New(event.Discard())
		failure := errors.New("broken")
		k.Add("a", &recorded{name: "a", end: func(string) {}})
		k.Add("b", &recorded{name: "b", fail: failure})
		require.ErrorIs(t, k.Run(t.Context()), failure)
	})
}

func TestLookupFindsServicesByNameAndInterface(t *testing.T) {
	k := New(event.Discard())
	k.Add("a", &recorded{name: "a"})
	s, err := Lookup[Service](k, "a")
	require.NoError(t, err)
	require.NotNil(t, s)
	_, err = Lookup[interface{ Fly() }](k, "a")
	require.ErrorContains(t, err, "look it up by an interface that it has")
	_, err = Lookup[Service](k, "b")
	require.ErrorContains(t, err, "no service named")
}
