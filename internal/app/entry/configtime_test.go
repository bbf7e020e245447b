package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// afterDisturbance is the shortest time after a disturbance of the store in which the platform wants a configuration
// to be in force that was written meanwhile.
const afterDisturbance = 4 * time.Second

func TestAConfigurationThatAWatchMissedIsInForceInTime(t *testing.T) {
	const link = 250 * time.Millisecond // records and a pull between regions
	require.LessOrEqual(t, configWait+pullAfter+link, afterDisturbance)
}
