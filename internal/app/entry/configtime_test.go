package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/core/settings"
	"github.com/pollencourse/pollencourse/platform"
)

// maxConfigDelayAfterStoreFault is the platform's strictest bound on the time from the end of a store fault until a
// configuration written during the fault is in force.
const maxConfigDelayAfterStoreFault = 4 * time.Second

// TestAConfigurationMissedByAWatchIsInForceInTime guards against timeouts whose sum exceeds the platform's bound: a
// daemon notices a missed change when its watch ends, and a daemon of another zone then waits before it pulls the
// change, over the link between regions after a further delay.
func TestAConfigurationMissedByAWatchIsInForceInTime(t *testing.T) {
	const interRegionDelay = 250 * time.Millisecond // the time that a record and a pull take between regions
	for _, bound := range []time.Duration{3 * time.Second, 4 * time.Second, 5 * time.Second} {
		watchTimeout := mirrorOptions(platform.KindConfig, settings.Bounds{ConfigApply: bound}).WatchTimeout
		require.LessOrEqual(t, watchTimeout+remotePullDelay+maxOtherRegionDelay+interRegionDelay, min(bound, maxConfigDelayAfterStoreFault))
	}
}
