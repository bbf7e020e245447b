package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/external/store"
)

// memory is a store with conditional writes that can lose answers or be down.
type memory struct {
	mu      sync.Mutex
	version int64
	object  *store.Object
	lose    bool
	down    bool
}

var errDown = errors.New("down")

func (m *memory) Get(_ context.Context, key string) (store.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.down:
		return store.Object{}, errDown
	case m.object == nil:
		return store.Object{}, store.ErrNotFound
	}
	o := *m.object
	o.Key = key
	return o, nil
}

func (m *memory) Create(_ context.Context, _ string, body []byte) (int64, error) {
	return m.write(body, func() bool { return m.object == nil })
}

func (m *memory) Update(_ context.Context, _ string, body []byte, version int64) (int64, error) {
	return m.write(body, func() bool { return m.object != nil && m.object.Version == version })
}

func (m *memory) write(body []byte, may func() bool) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return 0, errDown
	}
	if !may() {
		return 0, store.ErrConflict
	}
	m.version++
	m.object = &store.Object{Version: m.version, Body: body}
	if m.lose {
		return 0, store.ErrAmbiguous
	}
	return m.version, nil
}

const (
	duration = 10 * time.Second
	flight   = time.Second
)

func newLease(m *memory, holder string) *Lease {
	return New(m, "x", holder, Options{Duration: duration, SafetyMargin: time.Second}, event.Discard())
}

func TestAtMostOneHolderIsValidWhilePausesAndOutagesHappen(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { overlap(t, seed) })
		})
	}
}

// overlap runs three candidates that pause at random and checks that orders never overlap.
func overlap(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	m := &memory{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var mu sync.Mutex
	var orderedUntil time.Time
	var orderedBy string
	var lastFencing int64
	order := func(holder string, fencing int64) {
		mu.Lock()
		defer mu.Unlock()
		if holder != orderedBy {
			require.False(t, time.Now().Before(orderedUntil), "%s orders while an order of %s is in flight", holder, orderedBy)
		}
		require.GreaterOrEqual(t, fencing, lastFencing)
		orderedBy, orderedUntil, lastFencing = holder, time.Now().Add(flight), fencing
	}
	var wg sync.WaitGroup
	for i := range 3 {
		holder := fmt.Sprint("daemon-", i)
		l := newLease(m, holder)
		pauses := rand.New(rand.NewPCG(seed, uint64(i)+10))
		wg.Go(func() {
			for ctx.Err() == nil {
				_ = l.AcquireOrRenew(ctx)
				if pauses.IntN(12) == 0 {
					time.Sleep(time.Duration(pauses.IntN(25)) * time.Second)
				}
				if fencing, err := l.Valid(flight); err == nil {
					order(holder, fencing)
				}
				time.Sleep(duration/4 + time.Duration(pauses.IntN(100))*time.Millisecond)
			}
		})
	}
	for range 60 {
		time.Sleep(time.Duration(rng.IntN(10)) * time.Second)
		m.mu.Lock()
		m.down, m.lose = rng.IntN(5) == 0, rng.IntN(4) == 0
		m.mu.Unlock()
	}
	cancel()
	wg.Wait()
	require.Positive(t, lastFencing)
}

func TestAReleasedLeaseIsTakenAtOnceWithAHigherFencingNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memory{}
		a, b := newLease(m, "a"), newLease(m, "b")
		require.NoError(t, a.AcquireOrRenew(t.Context()))
		first, err := a.Valid(flight)
		require.NoError(t, err)
		require.NoError(t, b.AcquireOrRenew(t.Context()))
		_, err = b.Valid(flight)
		require.Error(t, err)
		a.Release(t.Context())
		_, err = a.Valid(flight)
		require.Error(t, err)
		require.NoError(t, b.AcquireOrRenew(t.Context()))
		second, err := b.Valid(flight)
		require.NoError(t, err)
		require.Greater(t, second, first)
	})
}

func TestALostAnswerToARenewalIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memory{lose: true}
		a := newLease(m, "a")
		require.NoError(t, a.AcquireOrRenew(t.Context()))
		time.Sleep(duration / 2)
		require.NoError(t, a.AcquireOrRenew(t.Context()))
		time.Sleep(duration / 2)
		_, err := a.Valid(flight)
		require.NoError(t, err)
	})
}
