package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/core/kernel"
	"github.com/pollencourse/pollencourse/internal/core/settings"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
)

// nonReader returns a daemon that is not a reader, once it has stopped reading the store.
func nonReader(t *testing.T, store *storeStandin, daemons []*testDaemon) *testDaemon {
	t.Helper()
	for _, p := range daemons {
		require.Eventually(t, func() bool { return len(p.directoryAddresses(t)) == len(daemons) }, settleTimeout, pollInterval)
	}
	i := slices.IndexFunc(daemons, func(p *testDaemon) bool {
		m, err := kernel.Lookup[*member.Service](p.kernel, "members")
		require.NoError(t, err)
		return m.Rank() == len(daemons)-1
	})
	require.Eventually(t, func() bool { return store.openWatchCount(daemons[i].cfg.ID) == 0 }, settleTimeout, pollInterval)
	return daemons[i]
}

// Guards against readers whose beacons go on after the store has stopped answering them.
func TestAConfigurationIsInForceInTimeWhereTheStoreAnswersNoReader(t *testing.T) {
	store, servers, daemons := startSite(t, 1, 6)
	able := nonReader(t, store, daemons)
	store.put("servers", servers[0].id, servers[0].entrySpec("s", "ready", 2)) // the readers watch servers anew
	time.Sleep(2 * serverBatchWindow)
	for _, p := range daemons {
		store.setUnresponsive(p.cfg.ID, p != able)
	}
	putConfig(store, 2, "fresh")
	began := time.Now()
	require.Eventually(t, func() bool { code, _ := able.sendRequest(t, "/fresh/x", "f"); return code == 200 }, 2*settleTimeout, pollInterval)
	require.Less(t, time.Since(began), 3*time.Second, "the platform allows three seconds")
}

// Guards against timeouts whose sum exceeds the bound: of a watch, of the beacons, and of the reads of daemons that
// are not readers.
func TestEachDaemonThatTheStoreAnswersReadsAChangeInTime(t *testing.T) {
	for _, tc := range []struct {
		daemons, able int
		bound         time.Duration
		// contact is how long the store has to have answered a daemon before the bound holds for it.
		contact time.Duration
	}{
		{7, 1, 3 * time.Second, 4 * time.Second},
		{40, 1, 3 * time.Second, 4 * time.Second},
		{78, 4, 4 * time.Second, 5 * time.Second},
		{95, 1, 5 * time.Second, 5 * time.Second},
		{95, 30, 5 * time.Second, 5 * time.Second},
	} {
		for trial := range 5 {
			t.Run(fmt.Sprintf("%d of %d daemons, trial %d", tc.able, tc.daemons, trial), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startReadingFleet(t.Context(), tc.daemons, settings.Bounds{ConfigApply: tc.bound})
					time.Sleep(5*time.Second + rand.N(3*time.Second))
					checkAfter := func(wait time.Duration) {
						able := f.answerOnly(tc.able)
						f.write()
						time.Sleep(wait)
						for d := range able {
							require.Equal(t, f.currentRevision(), d.inForce())
						}
					}
					checkAfter(tc.bound)
					for range 2 {
						time.Sleep(tc.bound)
						checkAfter(tc.contact)
						f.answerOnly(0)
						time.Sleep(2 * tc.contact)
						checkAfter(tc.contact)
					}
				})
			})
		}
	}
}
