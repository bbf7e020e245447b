package mirror

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/core/event"
)

var errAway = errors.New("store is away")

// fakeStore holds objects with a history; its faults are set by tests.
type fakeStore struct {
	mu      sync.Mutex
	objects map[string]Object
	history []Change
	at      int64
	dropped int64
	away    bool
	// deaf watches hear of no change and answer with the newest revision.
	deaf  bool
	lists int
	calls int
}

func (f *fakeStore) write(name string, deleted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at++
	o := Object{Name: name, Revision: f.at}
	if deleted {
		delete(f.objects, name)
	} else {
		f.objects[name] = o
	}
	f.history = append(f.history, Change{Object: o, Deleted: deleted})
}

func (f *fakeStore) List(context.Context, string) ([]Object, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.away {
		return nil, 0, errAway
	}
	f.lists++
	var out []Object
	for _, o := range f.objects {
		out = append(out, o)
	}
	return out, f.at, nil
}

func (f *fakeStore) Watch(ctx context.Context, _ string, from int64, wait time.Duration) ([]Change, int64, error) {
	deadline := time.Now().Add(wait)
	for {
		f.mu.Lock()
		var out []Change
		for _, c := range f.history {
			if c.Object.Revision > from {
				out = append(out, c)
			}
		}
		away, dropped, at := f.away, f.dropped, f.at
		if f.deaf {
			out = nil
		}
		f.mu.Unlock()
		switch {
		case away:
			return nil, 0, errAway
		case from < dropped:
			return nil, 0, ErrHistoryGone
		case len(out) > 0 || time.Now().After(deadline):
			return out, at, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// counts returns the calls of List, and those that succeeded.
func (f *fakeStore) counts() (calls, lists int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls, f.lists
}

func (f *fakeStore) setAway(away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = away
}

// state is a sink that holds the names.
type state struct {
	mu     sync.Mutex
	names  map[string]bool
	outage bool
}

func (s *state) Reading(bool) {}

func (s *state) Replace(objects []Object, _ int64, afterOutage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names = map[string]bool{}
	for _, o := range objects {
		s.names[o.Name] = true
	}
	s.outage = s.outage || afterOutage
}

func (s *state) Apply(c Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names[c.Object.Name] = !c.Deleted
}

func (s *state) sawOutage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

func (s *state) has(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names[name]
}

// testWait is how long a watch takes.
const testWait = 6 * time.Second

// open is a gate that lets the mirror read at all times.
type open struct{}

func (open) Active() bool         { return true }
func (open) Wait(context.Context) {}
func (open) Failed()              {}

func run(t *testing.T, fn func(f *fakeStore, s *state)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f, s := &fakeStore{objects: map[string]Object{}}, &state{}
		ctx, cancel := context.WithCancel(context.Background())
		m := New(f, "kind", s, open{}, NewHealth(), Options{MaxBackoff: time.Second, WatchTimeout: testWait}, event.Discard())
		done := make(chan error)
		go func() { done <- m.Run(ctx) }()
		synctest.Wait()
		fn(f, s)
		cancel()
		require.NoError(t, <-done)
	})
}

func TestChangesArriveByWatch(t *testing.T) {
	run(t, func(f *fakeStore, s *state) {
		f.write("a", false)
		time.Sleep(50 * time.Millisecond)
		require.True(t, s.has("a"))
		f.write("a", true)
		time.Sleep(50 * time.Millisecond)
		require.False(t, s.has("a"))
		_, lists := f.counts()
		require.Equal(t, 1, lists)
		require.False(t, s.sawOutage())
	})
}

func TestChangesBehindADroppedHistoryAreListed(t *testing.T) {
	run(t, func(f *fakeStore, s *state) {
		f.write("a", false)
		time.Sleep(50 * time.Millisecond)
		f.mu.Lock()
		f.at, f.dropped, f.history = 9, 9, nil
		f.objects = map[string]Object{"b": {Name: "b", Revision: 9}}
		f.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		require.True(t, s.has("b"))
		require.False(t, s.has("a"), "what was deleted in the gap is gone")
		require.False(t, s.sawOutage(), "a dropped history is no outage")
	})
}

// TestAChangeThatADeafWatchMissedIsFound is scale-2 of karamu-quotes with seed 427473308077: all readers' watches ended
// within the second in which the store told of no change, and went on from a revision behind it.
func TestAChangeThatADeafWatchMissedIsFound(t *testing.T) {
	run(t, func(f *fakeStore, s *state) {
		f.mu.Lock()
		f.deaf = true
		f.mu.Unlock()
		f.write("a", false)
		time.Sleep(testWait)
		f.mu.Lock()
		f.deaf, f.dropped = false, f.at
		f.mu.Unlock()
		time.Sleep(testWait)
		require.True(t, s.has("a"))
	})
}

func TestAnOutageIsToldToTheSinkAndProbedSlowly(t *testing.T) {
	run(t, func(f *fakeStore, s *state) {
		f.setAway(true)
		time.Sleep(20 * time.Second)
		calls, _ := f.counts()
		require.Less(t, calls, 40)
		f.write("a", false)
		f.setAway(false)
		time.Sleep(2 * time.Second)
		require.True(t, s.has("a"))
		require.True(t, s.sawOutage())
	})
}

func TestTheFirstSuccessWakesTheOtherMirrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHealth()
		h.Note(false)
		began := time.Now()
		time.AfterFunc(time.Second, func() { h.Note(true) })
		h.Wait(context.Background(), time.Minute)
		require.Equal(t, time.Second, time.Since(began))
	})
}

func TestTheTimeOfAWatchBoundsHowLongAChangeIsMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = 2500 * time.Millisecond
		f, s := &fakeStore{objects: map[string]Object{}}, &state{}
		m := New(f, "kind", s, open{}, NewHealth(), Options{MaxBackoff: time.Second, WatchTimeout: wait}, event.Discard())
		go func() { _ = m.Run(t.Context()) }()
		synctest.Wait()
		f.mu.Lock()
		f.deaf = true
		f.mu.Unlock()
		f.write("a", false)
		time.Sleep(100 * time.Millisecond)
		f.mu.Lock()
		f.deaf, f.dropped = false, f.at
		f.mu.Unlock()
		time.Sleep(wait)
		require.True(t, s.has("a"))
	})
}
