package quarantine

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/decide/poison"
)

// quarantinedFleet runs fn in a bubble with daemons that keep requests with the part "bad" from servers.
func quarantinedFleet(t *testing.T, daemons int, fn func(f *simFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(1, daemons, 2)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for _, d := range f.daemons {
			wg.Go(func() { _ = d.Run(ctx) })
		}
		f.daemons[0].convict(poison.Verdict{Part: "bad", Ends: 5, Rounds: 5})
		time.Sleep(time.Second)
		require.Empty(t, f.admitting(), "each daemon knows the verdict")
		fn(f)
		time.Sleep(time.Second)
		cancel()
		wg.Wait()
	})
}

// admitting returns the daemons that let a request with the part "bad" through.
func (f *simFleet) admitting() []*simDaemon {
	var out []*simDaemon
	for i, d := range f.daemons {
		if _, ok := d.Admit(fmt.Sprint("r", i), []string{"first", "bad"}); ok {
			out = append(out, d)
		}
	}
	return out
}

// tryOnce waits until a daemon lets a request through, and returns it and how many did within the next seconds.
func (f *simFleet) tryOnce() (first *simDaemon, count int) {
	const span = 12 * time.Second
	for began := time.Now(); time.Since(began) < span; time.Sleep(500 * time.Millisecond) {
		admitting := f.admitting()
		if len(admitting) > 0 && first == nil {
			first = admitting[0]
		}
		count += len(admitting)
	}
	return first, count
}

// attemptOf returns the attempt of the request that a daemon lets through.
func (f *simFleet) attemptOf(d *simDaemon) poison.Attempt {
	id := ""
	for i := range f.daemons {
		if f.daemons[i] == d {
			id = fmt.Sprint("r", i)
		}
	}
	return poison.Attempt{Request: id, Server: "i-0", Address: "i-0", SentAt: time.Now(), AnswerBegan: time.Now(), Parts: []string{"first", "bad"}}
}

// reportedEnds returns the number of ends that a daemon reports.
func (d *simDaemon) reportedEnds() int {
	d.Service.mu.Lock()
	defer d.Service.mu.Unlock()
	return len(d.ownEnds)
}

// TestOneRequestOverTheFleetIsTried guards against each daemon trying a part of its own.
func TestOneRequestOverTheFleetIsTried(t *testing.T) {
	quarantinedFleet(t, 7, func(f *simFleet) {
		first, count := f.tryOnce()
		require.NotNil(t, first)
		require.Equal(t, 1, count)
	})
}

// TestAnAnswerToATryReleasesThePart guards against a wrong verdict that stays.
func TestAnAnswerToATryReleasesThePart(t *testing.T) {
	quarantinedFleet(t, 7, func(f *simFleet) {
		first, _ := f.tryOnce()
		first.Sound(f.attemptOf(first))
		time.Sleep(time.Second)
		require.Len(t, f.admitting(), 7)
	})
}

// TestAFailedTryHoldsThePartForLonger guards against tries that crash server after server.
func TestAFailedTryHoldsThePartForLonger(t *testing.T) {
	quarantinedFleet(t, 7, func(f *simFleet) {
		first, _ := f.tryOnce()
		f.mu.Lock()
		f.servers[0].up = false
		f.mu.Unlock()
		failed := time.Now()
		first.Broken(f.attemptOf(first), func(bool) {})
		for time.Since(failed) < poison.Hold("bad", 1) {
			require.Empty(t, f.admitting())
			time.Sleep(time.Second)
		}
		_, count := f.tryOnce()
		require.Equal(t, 1, count)
	})
}

// TestAnOperatorReleasesAPartOnEveryDaemon guards against a release that holds on one daemon only.
func TestAnOperatorReleasesAPartOnEveryDaemon(t *testing.T) {
	quarantinedFleet(t, 7, func(f *simFleet) {
		require.False(t, f.daemons[3].Lift("other", "by hand"))
		require.True(t, f.daemons[3].Lift("bad", "by hand"))
		time.Sleep(time.Second)
		require.Len(t, f.admitting(), 7)
	})
}

// TestBreaksAtAServerThatStillListensAreNoEnd guards against convicting a part because a server resets some connections.
func TestBreaksAtAServerThatStillListensAreNoEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(1, 1, 2)
		d := f.daemons[0]
		var judged atomic.Int64
		for range 20 {
			d.Broken(poison.Attempt{Server: "i-0", Address: "i-0", SentAt: time.Now(), Parts: []string{"p"}}, func(counts bool) {
				require.True(t, counts, "each is a failure of the server")
				judged.Add(1)
			})
			time.Sleep(time.Second)
		}
		require.EqualValues(t, 20, judged.Load())
		require.Zero(t, d.reportedEnds())
	})
}

// TestAServersEndCountsOnceAgainstItsVersion guards against rolling a version back because one of its servers ended under
// many attempts.
func TestAServersEndCountsOnceAgainstItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(1, 1, 2)
		f.servers[0].up = false
		d := f.daemons[0]
		var counted atomic.Int64
		for range 30 {
			d.Broken(poison.Attempt{Server: "i-0", Address: "i-0", SentAt: time.Now(), Parts: []string{"p"}}, func(counts bool) {
				if counts {
					counted.Add(1)
				}
			})
		}
		time.Sleep(time.Second)
		require.EqualValues(t, 1, counted.Load())
		require.Equal(t, 1, d.reportedEnds())
	})
}

// TestAServerWhoseListenerClosesLastHasEnded guards against a server that is asked while it ends and passes for one that goes
// on: on a busy machine its connections are closed well before its listener (review/4).
func TestAServerWhoseListenerClosesLastHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(1, 1, 2)
		d := f.daemons[0]
		time.AfterFunc(breakWindow/2, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.servers[0].up = false
		})
		d.Broken(poison.Attempt{Server: "i-0", Address: "i-0", SentAt: time.Now(), Parts: []string{"p"}}, func(bool) {})
		time.Sleep(time.Second)
		require.Equal(t, 1, d.reportedEnds())
	})
}
