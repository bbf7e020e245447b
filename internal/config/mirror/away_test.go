package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/core/event"
)

// silentStore never answers a list that was sent while it is silent.
type silentStore struct {
	fakeStore
	silent bool
}

func (s *silentStore) List(ctx context.Context, kind string) ([]Object, int64, error) {
	s.mu.Lock()
	silent := s.silent
	s.calls++
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return s.fakeStore.List(ctx, kind)
}

func (s *silentStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func TestACallToASilentStoreIsGivenUpSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s := &silentStore{fakeStore: fakeStore{objects: map[string]Object{}}, silent: true}, &state{}
		m := New(f, "kind", s, open{}, NewHealth(), Options{MaxBackoff: 400 * time.Millisecond, WatchTimeout: testWait, Probes: true}, event.Discard())
		go func() { _ = m.Run(t.Context()) }()
		time.Sleep(listTimeout / 2)
		f.setSilent(false)
		time.Sleep(listTimeout/2 + 2*firstPause)
		_, lists := f.counts()
		require.Positive(t, lists)
	})
}

func TestOneMirrorOfADaemonTriesAStoreThatIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		health := NewHealth()
		probing, waiting := &fakeStore{objects: map[string]Object{}, away: true}, &fakeStore{objects: map[string]Object{}, away: true}
		for f, probes := range map[*fakeStore]bool{probing: true, waiting: false} {
			m := New(f, "kind", &state{}, open{}, health, Options{MaxBackoff: 400 * time.Millisecond, WatchTimeout: testWait, Probes: probes}, event.Discard())
			go func() { _ = m.Run(t.Context()) }()
		}
		time.Sleep(10 * time.Second)
		calls, _ := waiting.counts()
		require.LessOrEqual(t, calls, 2, "the tries before the store was known to be away")
		calls, _ = probing.counts()
		require.Greater(t, calls, 10)
		probing.setAway(false)
		waiting.setAway(false)
		time.Sleep(time.Second)
		_, lists := waiting.counts()
		require.Equal(t, 1, lists, "the return wakes the mirrors that wait")
	})
}
