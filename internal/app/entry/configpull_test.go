package entry

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/config/mirror"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/kernel"
	"github.com/pollencourse/pollencourse/internal/core/settings"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// logBuffer collects the lines of a daemon's log.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Guards against a configuration that every daemon of a region pulls over the link between the regions: on
// kppd-trafiko-grown (hunt-6855-3) 30 daemons pulled 0.5 MB each, filled the link for five seconds and timed out.
func TestAFewDaemonsPullAConfigurationOverTheLinkBetweenRegions(t *testing.T) {
	const farDaemons = 12
	store := newStoreStandin(t)
	putConfig(store, 1)
	s := newServerStandin(t, "i-0")
	store.put("servers", s.id, s.entrySpec("s", "ready", 1))
	near := startDaemon(t, store, "near")
	logs := map[string]*logBuffer{}
	var far []*testDaemon
	for i := range farDaemons {
		name := fmt.Sprint("far", i)
		logs[name] = &logBuffer{}
		far = append(far, startDaemonWith(t, store, name, event.New(logs[name], "info", "json", name), func(cfg *settings.Entry) {
			cfg.Region, cfg.AvailabilityZone = "q", "b"
		}, near.cfg.PeerAddress))
	}
	for _, p := range far {
		members, err := kernel.Lookup[*member.Service](p.kernel, "members")
		require.NoError(t, err)
		require.Eventually(t, func() bool { return len(members.Live()) == 1+farDaemons && p.isReady() }, settleTimeout, pollInterval)
		store.setUnresponsive(p.cfg.ID, true)
	}
	time.Sleep(200 * time.Millisecond)
	putConfig(store, 2, "fresh")
	began := time.Now()
	overTheLink := 0
	for _, p := range far {
		const inForce = `"name":"configInForce","revision":2,"routes":3,"source":"`
		require.Eventually(t, func() bool { return strings.Contains(logs[p.cfg.ID].String(), inForce) }, settleTimeout, pollInterval)
		if strings.Contains(logs[p.cfg.ID].String(), inForce+"peer near#") {
			overTheLink++
		}
	}
	require.Less(t, time.Since(began), 3*time.Second, "the platform allows three seconds")
	require.Positive(t, overTheLink)
	require.Less(t, overTheLink, farDaemons/2, "most daemons pull within their region")
}

func TestHoldersAreAskedNearestFirst(t *testing.T) {
	_, _, daemons := startSite(t, 1, 1)
	share, err := kernel.Lookup[*configShare](daemons[0].kernel, "configurationShare")
	require.NoError(t, err)
	share.zoneRegion = map[string]string{"a": "r", "b": "r", "c": "q", "d": "q"}
	for _, zone := range []string{"d", "c", "b", "a"} {
		share.gossip.Publish(announcement(zone, 7, peer.Node{ID: "in-" + zone, PeerAddress: "127.0.0.1:1"}))
	}
	for range 20 {
		var ids []string
		for _, h := range share.holders(otherRegion, map[string]bool{}) {
			ids = append(ids, h.ID)
		}
		require.Equal(t, []string{"in-a", "in-b"}, ids[:2])
		require.ElementsMatch(t, []string{"in-c", "in-d"}, ids[2:])
	}
	require.Len(t, share.holders(sameRegion, map[string]bool{"in-a": true}), 1, "a holder is asked once a round")
}

// Guards against a large configuration that takes a tenth of the links' capacity more often than it needs to, and
// against compressed bytes for a daemon that can't read them.
func TestAPulledConfigurationIsCompressedForDaemonsThatAcceptIt(t *testing.T) {
	var spec strings.Builder
	for i := range 1800 {
		fmt.Fprintf(&spec, `{"name":"route-%x","hostname":"h.example","pathPrefix":"/%x/","type":"safe","timeoutMs":3000,"targetLatencyMs":300,"service":"s","maxAttempts":2},`, i*7919, i*104729)
	}
	s := &configShare{inForceObject: mirror.Object{Name: "main", Revision: 9, Spec: []byte(spec.String())}}
	for _, accepts := range []bool{true, false} {
		message, err := proto.Marshal(&peerpb.PullRequest{AcceptsGzip: accepts})
		require.NoError(t, err)
		response, err := s.handlePull(context.Background(), peer.Node{}, message)
		require.NoError(t, err)
		push := response.(*peerpb.Push)
		require.Equal(t, accepts, push.GetGzipped())
		body := push.GetRecords()[0].GetBody()
		if accepts {
			require.Less(t, len(body), spec.Len()/4)
			body, err = decompress(body)
			require.NoError(t, err)
		}
		require.Equal(t, spec.String(), string(body))
	}
}

func TestACompressedConfigurationHasABound(t *testing.T) {
	data, err := compress(make([]byte, maxConfigBytes+1))
	require.NoError(t, err)
	_, err = decompress(data)
	require.ErrorContains(t, err, "more than")
	_, err = decompress([]byte("not gzip"))
	require.Error(t, err)
}
