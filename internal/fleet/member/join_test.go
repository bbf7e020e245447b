package member

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/external/vmlist"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

// seeds is a network on which some seeds do not answer; it notes when tables were copied.
type seeds struct {
	table *relay.Table
	began time.Time

	mu     sync.Mutex
	silent map[string]bool
	synced []time.Duration
}

func (s *seeds) Fleet() *relay.Table                    { return s.table }
func (s *seeds) Publish(records ...relay.Record)        { s.table.Apply(records...) }
func (s *seeds) PublishOwn(string, proto.Message) error { return nil }
func (s *seeds) Disconnect(string)                      {}

func (s *seeds) Sync(context.Context, peer.Node) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.synced = append(s.synced, time.Since(s.began))
	return nil
}

func (s *seeds) Join(ctx context.Context, address string) (peer.Node, error) {
	s.mu.Lock()
	silent := s.silent[address]
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return peer.Node{}, ctx.Err()
	}
	return peer.Node{ID: address, PeerAddress: address}, nil
}

func (s *seeds) setSilent(address string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[address] = silent
}

func (s *seeds) Fetch(context.Context, int64) (vmlist.Snapshot, bool, error) {
	return vmlist.Snapshot{}, false, nil
}

func startAlone(t *testing.T, silent ...string) *seeds {
	t.Helper()
	s := &seeds{table: relay.NewTable("fleet"), began: time.Now(), silent: map[string]bool{}}
	for _, a := range silent {
		s.silent[a] = true
	}
	m := New(peer.Node{ID: "self", PeerAddress: "self"}, s, s, s, Options{
		SuspectAfter: 2500 * time.Millisecond, ListInterval: time.Second, WatchersPerAZ: 1, Seeds: []string{"a", "b", "c"}, OnSuperseded: func() {},
	}, event.Discard())
	go func() { _ = m.Run(t.Context()) }()
	return s
}

func TestASilentSeedDoesNotHoldUpTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startAlone(t, "a", "b")
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		require.NotEmpty(t, s.synced)
		require.Zero(t, s.synced[0])
	})
}

func TestASeedThatComesUpIsMetSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startAlone(t, "a", "b", "c")
		time.Sleep(joinTimeout / 2)
		s.setSilent("b", false)
		time.Sleep(joinTimeout/2 + 2*seedInterval)
		s.mu.Lock()
		defer s.mu.Unlock()
		require.NotEmpty(t, s.synced)
	})
}
