package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/core/kernel"
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
