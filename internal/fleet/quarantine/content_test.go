package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/decide/poison"
)

// TestFleetStopsARequestThatCrashesServersWheneverItIsSent guards against a request that its caller sends again under other
// IDs, at any daemon, and against holding back those that share its parts with it (issue 40).
func TestFleetStopsARequestThatCrashesServersWheneverItIsSent(t *testing.T) {
	// endsUntilKnown is the number of ends after which the request has to be kept from servers within contact.
	const endsUntilKnown = 3
	deadly := poison.ContentKey([]string{"deadly"}, nil)
	repeat := func(int) []string { return []string{"quote", "event3", deadly} }
	tests := []struct {
		name     string
		loads    []load
		attempts int
	}{
		{"one after the other", []load{{"deadly", 700 * time.Millisecond, 0, repeat, 0}}, retriedAttempts},
		{"two at once", []load{{"deadly", 900 * time.Millisecond, 0, repeat, 0}, {"again", 900 * time.Millisecond, 0, repeat, 0}}, retriedAttempts},
		{"seldom", []load{{"deadly", 3 * time.Second, 0, repeat, 0}}, retriedAttempts},
		{"no retries", []load{{"deadly", 700 * time.Millisecond, 0, repeat, 0}}, 1},
		{"often", []load{{"deadly", 150 * time.Millisecond, 0, repeat, 0}}, retriedAttempts},
	}
	for _, tt := range tests {
		for _, size := range []fleetSize{{1, 6}, {3, 12}, {6, 18}, {95, 80}} {
			t.Run(fmt.Sprint(tt.name, " ", size.daemons), func(t *testing.T) {
				t.Parallel()
				for seed := range seedCount() {
					f := newSimFleet(seed, size.daemons, size.servers, deadly)
					f.maxAttempts = tt.attempts
					play(t, f, 25*time.Second, tt.loads, func() {})
					late := f.sendsAfterEnd(deadly, endsUntilKnown)
					t.Logf("seed %d: %d ends, %d late sends, %d of %d sound requests refused", seed, len(f.ends), late, f.refused, f.requests)
					require.Zero(t, late, "seed %d: %d ends", seed, len(f.ends))
					for _, d := range f.daemons {
						require.Empty(t, d.innocentParts(deadly), "seed %d", seed)
					}
					require.LessOrEqual(t, maxRefusedDivisor*f.refused, f.requests, "seed %d", seed)
				}
			})
		}
	}
}
