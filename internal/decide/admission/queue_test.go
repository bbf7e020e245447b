package admission

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// places is a pool with a number of free places.
type places struct {
	mu   sync.Mutex
	free int
	ch   chan struct{}
}

func newPlaces(n int) *places { return &places{free: n, ch: make(chan struct{})} }

func (p *places) try() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free == 0 {
		return false
	}
	p.free--
	return true
}

func (p *places) changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ch
}

func (p *places) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free++
	close(p.ch)
	p.ch = make(chan struct{})
}

// flood has accounts wait with many requests each and returns who was served, in order.
func flood(t *testing.T, claims []Request, each, serve int) []string {
	q, p := NewQueue(), newPlaces(0)
	var mu sync.Mutex
	var served []string
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, c := range claims {
		c.Deadline = time.Now().Add(time.Hour)
		for range each {
			wg.Go(func() {
				if q.Wait(ctx, c, p.try, p.changed) == nil {
					mu.Lock()
					defer mu.Unlock()
					served = append(served, c.Account)
				}
			})
		}
	}
	synctest.Wait()
	for range serve {
		p.release()
		time.Sleep(time.Second)
	}
	cancel()
	wg.Wait()
	require.Zero(t, q.Len())
	return served
}

func count(all []string, who string) int {
	n := 0
	for _, s := range all {
		if s == who {
			n++
		}
	}
	return n
}

func TestAccountsAreServedByTheirWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		served := flood(t, []Request{{Account: "a", Weight: 1, Priority: 5}, {Account: "b", Weight: 3, Priority: 5}}, 100, 80)
		require.Len(t, served, 80)
		require.InDelta(t, 60, count(served, "b"), 2)
	})
}

func TestAHigherPriorityGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		served := flood(t, []Request{{Account: "low", Weight: 100, Priority: 1}, {Account: "high", Weight: 1, Priority: 9}}, 10, 10)
		require.Equal(t, 10, count(served, "high"))
	})
}

func TestARequestLeavesWhenTooLittleTimeIsLeftToStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, p := NewQueue(), newPlaces(0)
		began := time.Now()
		err := q.Wait(t.Context(), Request{Account: "a", Weight: 1, Deadline: began.Add(10 * time.Second), ServiceTime: 2 * time.Second}, p.try, p.changed)
		require.Equal(t, fault.Overloaded, fault.KindOf(err))
		require.Equal(t, fault.NotRun, fault.As(err).Outcome)
		require.Equal(t, 7*time.Second, time.Since(began))
	})
}
