package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

type testHub struct {
	*Hub
	superseded atomic.Bool
}

func startHub(t *testing.T, id string, incarnation int64, key string) *testHub {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := &testHub{}
	self := Node{ID: id, Incarnation: incarnation, AvailabilityZone: "z", PeerAddress: l.Addr().String()}
	h.Hub = New(self, []string{key}, l, func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}, event.Discard(), func() { h.superseded.Store(true) })
	h.Handle("echo", func(_ context.Context, from Node, body []byte) (proto.Message, error) {
		var q peerpb.IntentQuery
		if err := proto.Unmarshal(body, &q); err != nil {
			return nil, err
		}
		if q.GetKey() == "fail" {
			return nil, fault.New(fault.Conflict, "do something else", "it failed")
		}
		return &peerpb.IntentQuery{Key: from.ID + " " + q.GetKey()}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = h.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return h
}

func callEcho(h *testHub, to Node, text string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var out peerpb.IntentQuery
	err := h.Call(ctx, to, "echo", &peerpb.IntentQuery{Key: text}, &out)
	return out.GetKey(), err
}

// A connection must carry calls both ways, whichever side opened it.
func TestBothSidesCallOverOneConnection(t *testing.T) {
	a, b := startHub(t, "a", 1, "key-1"), startHub(t, "b", 1, "key-1")
	for range 20 {
		got, err := callEcho(a, b.Self(), "x")
		require.NoError(t, err)
		require.Equal(t, "a x", got)
		got, err = callEcho(b, a.Self(), "y")
		require.NoError(t, err)
		require.Equal(t, "b y", got)
	}
	require.Len(t, a.Connected(), 1)
	require.Len(t, b.Connected(), 1)
}

// Callers and operators act on the kind and the remedy of an error, so both must reach the calling daemon.
func TestRemoteErrorKeepsKindAndRemedy(t *testing.T) {
	a, b := startHub(t, "a", 1, "key-1"), startHub(t, "b", 1, "key-1")
	_, err := callEcho(a, b.Self(), "fail")
	require.Equal(t, fault.Conflict, fault.KindOf(err))
	require.Equal(t, "do something else", fault.As(err).Remedy)
	err = a.Call(t.Context(), b.Self(), "nothing", &peerpb.IntentQuery{}, nil)
	require.Equal(t, fault.NotFound, fault.KindOf(err))
}

func TestPeerWithDifferentKeyIsRejected(t *testing.T) {
	a, b := startHub(t, "a", 1, "key-1"), startHub(t, "b", 1, "key-2")
	_, err := callEcho(a, b.Self(), "x")
	require.Equal(t, fault.Unavailable, fault.KindOf(err))
	require.Empty(t, b.Connected())
}

// Two processes may run with the same daemon ID, for example if an old one outlives a restart. The older one must be
// rejected and must learn that it is superseded.
func TestOlderIncarnationIsRejected(t *testing.T) {
	a, older, newer := startHub(t, "a", 1, "key-1"), startHub(t, "b", 1, "key-1"), startHub(t, "b", 2, "key-1")
	_, err := callEcho(a, newer.Self(), "x")
	require.NoError(t, err)
	a.Disconnect("b")
	_, err = callEcho(older, a.Self(), "x")
	require.Error(t, err, "an older incarnation is refused")
	_, err = older.Join(t.Context(), newer.Self().PeerAddress)
	require.Error(t, err)
	require.True(t, older.superseded.Load())
	require.False(t, newer.superseded.Load())
}

// Guards against a dial for each call to a daemon whose address another process has now, and against calls between the
// others that such a dial would interrupt.
func TestADaemonReplacedAtItsAddressIsDialedOnce(t *testing.T) {
	a, b := startHub(t, "a", 1, "key-1"), startHub(t, "b#2", 1, "key-1")
	dials := 0
	dial := a.dial
	a.dial = func(ctx context.Context, address string) (net.Conn, error) {
		dials++
		return dial(ctx, address)
	}
	former := b.Self()
	former.ID = "b#1"
	for range 50 {
		_, err := callEcho(a, former, "x")
		require.Equal(t, fault.Unavailable, fault.KindOf(err))
		require.ErrorContains(t, err, "b#2")
		got, err := callEcho(a, b.Self(), "y")
		require.NoError(t, err)
		require.Equal(t, "a y", got)
	}
	require.Equal(t, 1, dials, "the connection that found the other daemon is used for it")
	elsewhere := former
	elsewhere.PeerAddress = startHub(t, "b#1", 1, "key-1").Self().PeerAddress
	_, err := callEcho(a, elsewhere, "x")
	require.NoError(t, err, "a new address is dialed at once")
}

func TestAReplacedNodeIsDialedAgainAfterATime(t *testing.T) {
	now := time.Now()
	r := replacedNodes{}
	n := Node{ID: "a", PeerAddress: "10.0.0.1:1"}
	r.add(n, "b", now)
	r.expire(now.Add(replacedTimeout - 1))
	by, ok := r.by(n, now.Add(replacedTimeout-1))
	require.True(t, ok)
	require.Equal(t, "b", by)
	_, ok = r.by(n, now.Add(replacedTimeout))
	require.False(t, ok)
	r.expire(now.Add(replacedTimeout))
	require.Empty(t, r)
}
