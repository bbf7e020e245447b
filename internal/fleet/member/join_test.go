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

// fakeNetwork stands in for the gossip, the connections and the VM list. Unresponsive addresses never answer a
// join; syncTimes holds when tables were synchronised, as the time since the start.
type fakeNetwork struct {
	table   *relay.Table
	started time.Time

	mu           sync.Mutex
	unresponsive map[string]bool
	syncTimes    []time.Duration
}

func (s *fakeNetwork) Fleet() *relay.Table                    { return s.table }
func (s *fakeNetwork) Publish(records ...relay.Record)        { s.table.Apply(records...) }
func (s *fakeNetwork) PublishOwn(string, proto.Message) error { return nil }
func (s *fakeNetwork) Disconnect(string)                      {}

func (s *fakeNetwork) Sync(context.Context, peer.Node) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncTimes = append(s.syncTimes, time.Since(s.started))
	return nil
}

func (s *fakeNetwork) Join(ctx context.Context, address string) (peer.Node, error) {
	s.mu.Lock()
	unresponsive := s.unresponsive[address]
	s.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return peer.Node{}, ctx.Err()
	}
	return peer.Node{ID: address, PeerAddress: address}, nil
}

func (s *fakeNetwork) setUnresponsive(address string, unresponsive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive[address] = unresponsive
}

func (s *fakeNetwork) Fetch(context.Context, int64) (vmlist.Snapshot, bool, error) {
	return vmlist.Snapshot{}, false, nil
}

func startIsolated(t *testing.T, unresponsive ...string) *fakeNetwork {
	t.Helper()
	s := &fakeNetwork{table: relay.NewTable("fleet"), started: time.Now(), unresponsive: map[string]bool{}}
	for _, a := range unresponsive {
		s.unresponsive[a] = true
	}
	m := New(peer.Node{ID: "self", PeerAddress: "self"}, s, s, s, Options{
		SuspectAfter: 2500 * time.Millisecond, ListInterval: time.Second, WatchersPerAZ: 1, Seeds: []string{"a", "b", "c"}, OnSuperseded: func() {},
	}, event.Discard())
	go func() { _ = m.Run(t.Context()) }()
	return s
}

// Joining seeds one after another would wait out the timeout of each unresponsive one first.
func TestUnresponsiveSeedsDoNotDelayJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startIsolated(t, "a", "b")
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		require.NotEmpty(t, s.syncTimes)
		require.Zero(t, s.syncTimes[0])
	})
}

// A daemon that starts before its seeds must join within firstJoinTimeout and a short retry interval, not only in the
// next round of reading the VM list.
func TestSeedThatStartsLateIsJoinedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startIsolated(t, "a", "b", "c")
		time.Sleep(firstJoinTimeout / 2)
		s.setUnresponsive("b", false)
		time.Sleep(firstJoinTimeout/2 + 2*seedRetryInterval)
		s.mu.Lock()
		defer s.mu.Unlock()
		require.NotEmpty(t, s.syncTimes)
	})
}
