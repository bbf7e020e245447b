package entry

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/platform"
)

func TestOnlyTheFirstOfAZoneStandInTheList(t *testing.T) {
	store, _, ps := site(t, 1, 5)
	list := platform.NewDaemons(platform.NewStore(store.addressFor(t, "look")))
	listed := func() []string {
		vms, _, err := list.List(t.Context())
		require.NoError(t, err)
		return slices.Sorted(maps.Keys(vms))
	}
	require.Eventually(t, func() bool { return len(listed()) == leastReaders }, settle, lookEach)
	time.Sleep(2 * registerPoll)
	names := listed()
	require.Len(t, names, leastReaders)
	for _, p := range ps {
		if p.cfg.ID == names[0] {
			p.stop()
			<-p.done
		}
	}
	require.Eventually(t, func() bool {
		now := listed()
		return len(now) == leastReaders && !slices.Contains(now, names[0])
	}, settle, lookEach, "the next one takes the place of one that stops")
}
