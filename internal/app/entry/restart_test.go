package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/kernel"
	"github.com/pollencourse/pollencourse/internal/core/settings"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
)

// restart stops p and starts the daemon of the same VM again, with the same addresses.
func restart(t *testing.T, store *storeStandin, p *testDaemon, log *event.Log, seeds ...string) *testDaemon {
	t.Helper()
	p.stop()
	require.NoError(t, <-p.done)
	old := p.cfg
	return startDaemonWith(t, store, old.ID, log, func(cfg *settings.Entry) {
		cfg.CallerAddress, cfg.ReadyAddress, cfg.PeerAddress = old.CallerAddress, old.ReadyAddress, old.PeerAddress
		cfg.DirectoryAddress, cfg.MetricsAddress = old.DirectoryAddress, old.MetricsAddress
	}, seeds...)
}

// Guards against daemons that keep dialing the former process of a restarted one and reach the new process instead: on
// karamu-quotes-large (inc-828c) each restarted daemon accepted and lost 200 to 1,000 connections a second.
func TestARestartedDaemonIsNotDialedForItsFormerProcess(t *testing.T) {
	const (
		daemonCount = 8
		observed    = 2 * suspectAfter
		// maxLost allows each of the others one dial for the former process, and one connection that both sides opened.
		maxLost = 2 * (daemonCount - 1)
	)
	store, _, daemons := startSite(t, 1, daemonCount)
	seed := daemons[0].cfg.PeerAddress
	var logs [2]logBuffer
	for i := range logs {
		last := daemonCount - 1 - i
		daemons[last] = restart(t, store, daemons[last], event.New(&logs[i], "info", "json", "restarted"), seed)
		daemons[last].awaitReady(t)
	}
	for began, seq := time.Now(), 2; time.Since(began) < observed; seq++ {
		store.put("servers", "i-spare", map[string]any{"service": "spare", "address": "127.0.0.1:1", "zone": "a", "version": "v1", "slots": 1, "state": "ready", "seq": seq})
		time.Sleep(pollInterval)
	}
	for i := range logs {
		require.LessOrEqual(t, strings.Count(logs[i].String(), `"name":"peerLost"`), maxLost, "daemon %d", i)
	}
	for _, p := range daemons {
		members, err := kernel.Lookup[*member.Service](p.kernel, "members")
		require.NoError(t, err)
		require.Len(t, members.Members(), daemonCount, "%s: a former process is no member", p.cfg.ID)
	}
	for i, p := range daemons {
		code, body := p.sendRequest(t, "/u/x", fmt.Sprint("after", i))
		require.Equal(t, 200, code, body)
	}
}

// Guards against a fleet that denies configured routes, or refuses for long, after all machines lost power at once
// (inc-8175 of maslena-forma, inc-45fa of maslena-forma-grown, inc-828c of karamu-quotes-large). The store is away at
// first, so that every daemon is without a configuration for a while.
func TestAFleetThatStartsAtOnceRecoversInTime(t *testing.T) {
	const (
		daemonCount = 6
		// recovery is the time that the platforms seen so far allow.
		recovery = 15 * time.Second
		// outage is how long the store is away at first: longer than a request waits for a configuration.
		outage = 2 * time.Second
	)
	store := newStoreStandin(t)
	putConfig(store, 1)
	s := newServerStandin(t, "i-0")
	store.put("servers", s.id, s.entrySpec("s", "ready", 1))
	var logs [daemonCount]logBuffer
	var daemons []*testDaemon
	var seeds []string
	for i := range daemonCount {
		name := fmt.Sprint("d", i)
		store.setUnresponsive(name, true)
		daemons = append(daemons, startDaemonWith(t, store, name, event.New(&logs[i], "info", "json", name), func(cfg *settings.Entry) {
			if i%2 == 1 {
				cfg.Region, cfg.AvailabilityZone = "q", "b"
			}
		}, seeds...))
		seeds = append(seeds, daemons[i].cfg.PeerAddress)
	}
	time.AfterFunc(outage, func() {
		for _, p := range daemons {
			store.setUnresponsive(p.cfg.ID, false)
		}
	})
	began := time.Now()
	var refused atomic.Int64
	var wg sync.WaitGroup
	for i, p := range daemons {
		wg.Go(func() {
			code, body := 0, ""
			for n := 0; code != http.StatusOK && time.Since(began) < outage+recovery; n++ {
				time.Sleep(pollInterval)
				code, body = p.sendRequest(t, "/u/x", fmt.Sprintf("start-%d-%d", i, n))
				if code < http.StatusInternalServerError && code != http.StatusOK {
					break
				}
				if code == http.StatusServiceUnavailable && strings.Contains(body, "notRun") {
					refused.Add(1)
				}
			}
			if code != http.StatusOK {
				t.Errorf("%s after %s: %d %s\n%s", p.cfg.ID, time.Since(began), code, body, logs[i].String())
			}
		})
	}
	wg.Wait()
	require.Positive(t, refused.Load(), "no daemon was without a configuration")
}
