package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxConfigDelayAfterDisturbance is the shortest time that the platform allows, after a disturbance of the store,
// until a configuration written during the disturbance has to be in force.
const maxConfigDelayAfterDisturbance = 4 * time.Second

// TestAConfigurationMissedByAWatchIsInForceInTime guards against timeouts whose sum exceeds the platform's bound: a
// daemon notices a missed change when its watch ends, and a daemon of another zone then waits before it pulls the
// change.
func TestAConfigurationMissedByAWatchIsInForceInTime(t *testing.T) {
	const interRegionDelay = 250 * time.Millisecond // the time that a record and a pull take between regions
	require.LessOrEqual(t, configWatchTimeout+remotePullDelay+interRegionDelay, maxConfigDelayAfterDisturbance)
}
