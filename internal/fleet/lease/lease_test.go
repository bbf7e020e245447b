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

// memoryStore is a stand-in for the store with conditional writes; it can lose responses to
// writes, which still take effect, or be down.
type memoryStore struct {
	mu            sync.Mutex
	version       int64
	object        *store.Object
	loseResponses bool
	down          bool
}

var errDown = errors.New("down")

func (m *memoryStore) Get(_ context.Context, key string) (store.Object, error) {
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

func (m *memoryStore) Create(_ context.Context, _ string, body []byte) (int64, error) {
	return m.write(body, func() bool { return m.object == nil })
}

func (m *memoryStore) Update(_ context.Context, _ string, body []byte, version int64) (int64, error) {
	return m.write(body, func() bool { return m.object != nil && m.object.Version == version })
}

func (m *memoryStore) write(body []byte, may func() bool) (int64, error) {
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
	if m.loseResponses {
		return 0, store.ErrAmbiguous
	}
	return m.version, nil
}

const (
	duration     = 10 * time.Second
	orderTimeout = time.Second
)

func newLease(m *memoryStore, holder string) *Lease {
	return New(m, "x", holder, Options{Duration: duration, SafetyMargin: time.Second}, event.Discard())
}

// A daemon that is paused, or that can't reach the store, must not use its lease after another
// daemon has acquired it: orders of two holders would then be in flight at the same time.
func TestAtMostOneValidHolderDuringPausesAndOutages(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runCandidates(t, seed) })
		})
	}
}

// runCandidates runs three candidates that pause at random, over a store that fails at random, and
// checks that orders of different holders never overlap and that fencing numbers never decrease.
func runCandidates(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	m := &memoryStore{}
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
			require.False(t, time.Now().Before(orderedUntil), "%s sends an order while one of %s is in flight", holder, orderedBy)
		}
		require.GreaterOrEqual(t, fencing, lastFencing)
		orderedBy, orderedUntil, lastFencing = holder, time.Now().Add(orderTimeout), fencing
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
				if fencing, err := l.Valid(orderTimeout); err == nil {
					order(holder, fencing)
				}
				time.Sleep(duration/4 + time.Duration(pauses.IntN(100))*time.Millisecond)
			}
		})
	}
	for range 60 {
		time.Sleep(time.Duration(rng.IntN(10)) * time.Second)
		m.mu.Lock()
		m.down, m.loseResponses = rng.IntN(5) == 0, rng.IntN(4) == 0
		m.mu.Unlock()
	}
	cancel()
	wg.Wait()
	require.Positive(t, lastFencing)
}

// The next holder must not wait for a released lease to expire, and its higher fencing number lets
// engines refuse late orders of the former holder, which must not use the lease any more.
func TestReleasedLeaseIsAcquiredAtOnceWithHigherFencingNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memoryStore{}
		a, b := newLease(m, "a"), newLease(m, "b")
		require.NoError(t, a.AcquireOrRenew(t.Context()))
		first, err := a.Valid(orderTimeout)
		require.NoError(t, err)
		require.NoError(t, b.AcquireOrRenew(t.Context()))
		_, err = b.Valid(orderTimeout)
		require.Error(t, err)
		a.Release(t.Context())
		_, err = a.Valid(orderTimeout)
		require.Error(t, err)
		require.NoError(t, b.AcquireOrRenew(t.Context()))
		second, err := b.Valid(orderTimeout)
		require.NoError(t, err)
		require.Greater(t, second, first)
	})
}

// If the response to a write is lost, the write may still have taken effect. The daemon must then
// go on holding the lease instead of treating its own write as another holder's.
func TestRenewalWithLostResponseIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memoryStore{loseResponses: true}
		a := newLease(m, "a")
		require.NoError(t, a.AcquireOrRenew(t.Context()))
		time.Sleep(duration / 2)
		require.NoError(t, a.AcquireOrRenew(t.Context()))
		time.Sleep(duration / 2)
		_, err := a.Valid(orderTimeout)
		require.NoError(t, err)
	})
}
