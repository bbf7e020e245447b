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

// slots is a pool of free slots at backend servers.
type slots struct {
	mu    sync.Mutex
	free  int
	freed chan struct{}
}

func newSlots(n int) *slots { return &slots{free: n, freed: make(chan struct{})} }

func (s *slots) try() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free == 0 {
		return false
	}
	s.free--
	return true
}

func (s *slots) changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freed
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free++
	close(s.freed)
	s.freed = make(chan struct{})
}

// flood enqueues perAccount requests of each account, frees slotCount slots at one a second, and returns the
// accounts in the order in which they were served.
func flood(t *testing.T, requests []Request, perAccount, slotCount int) []string {
	q, s := NewQueue(), newSlots(0)
	var mu sync.Mutex
	var served []string
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, r := range requests {
		r.Deadline = time.Now().Add(time.Hour)
		for range perAccount {
			wg.Go(func() {
				if q.Wait(ctx, r, s.try, s.changed) == nil {
					mu.Lock()
					defer mu.Unlock()
					served = append(served, r.Account)
				}
			})
		}
	}
	synctest.Wait()
	for range slotCount {
		s.release()
		time.Sleep(time.Second)
	}
	cancel()
	wg.Wait()
	require.Zero(t, q.Len())
	return served
}

func count(accounts []string, wanted string) int {
	n := 0
	for _, account := range accounts {
		if account == wanted {
			n++
		}
	}
	return n
}

func TestAccountsAreServedInProportionToTheirWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		served := flood(t, []Request{{Account: "a", Weight: 1, Priority: 5}, {Account: "b", Weight: 3, Priority: 5}}, 100, 80)
		require.Len(t, served, 80)
		require.InDelta(t, 60, count(served, "b"), 2)
	})
}

func TestAHigherPriorityIsServedFirstWhateverTheWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		served := flood(t, []Request{{Account: "low", Weight: 100, Priority: 1}, {Account: "high", Weight: 1, Priority: 9}}, 10, 10)
		require.Equal(t, 10, count(served, "high"))
	})
}

func TestAWaitingRequestIsRefusedOnceTooLittleTimeIsLeftToServeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, s := NewQueue(), newSlots(0)
		start := time.Now()
		err := q.Wait(t.Context(), Request{Account: "a", Weight: 1, Deadline: start.Add(10 * time.Second), ServiceTime: 2 * time.Second}, s.try, s.changed)
		require.Equal(t, fault.Overloaded, fault.KindOf(err))
		require.Equal(t, fault.NotRun, fault.As(err).Outcome)
		require.Equal(t, 7*time.Second, time.Since(start))
	})
}
