package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestARequestThatCrashesServersStopsReachingThemWheneverItIsSent guards against a request that its caller sends again under
// other IDs and that crashes server after server, and against refusing others for it (issue 40). No part that others share
// is to blame.
func TestARequestThatCrashesServersStopsReachingThemWheneverItIsSent(t *testing.T) {
	const (
		// endsUntilKnown is the number of ends after which the request has to be kept from servers within contactBound.
		endsUntilKnown = 3
		calmTime       = time.Second
		checkedTime    = 3 * time.Second
		own            = "ownDeadly"
	)
	deadly := []string{"first", "middle3", own}
	tests := []struct {
		name  string
		every time.Duration
		// atOnce is the number of copies that are sent at the same moment.
		atOnce int
	}{
		{"one after the other", 500 * time.Millisecond, 1},
		{"two at once", 700 * time.Millisecond, 2},
		{"often", 100 * time.Millisecond, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f, daemons := startCrashSite(t, 3, own)
			sharing := &load{daemons: daemons, every: 40 * time.Millisecond, parts: func(n int) []string { return []string{"first", fmt.Sprint("middle", n%7)} }}
			endSharing := sharing.start("sharing")
			defer endSharing()
			time.Sleep(calmTime)
			stop := make(chan struct{})
			defer close(stop)
			for c := range tt.atOnce {
				go func() {
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						case <-time.After(tt.every):
						}
						go daemons[(n+c)%len(daemons)].requestStream(fmt.Sprint("deadly", c, "-", n), deadly)
					}
				}()
			}
			require.Eventually(t, func() bool { return !f.nthEnd(endsUntilKnown).IsZero() }, settleTimeout, pollInterval)
			third := f.nthEnd(endsUntilKnown)
			until := third.Add(2*contactBound + checkedTime)
			time.Sleep(time.Until(until))
			endSharing()
			late := f.sendsAfter(third.Add(contactBound))
			served, sent := sharing.servedBetween(third.Add(contactBound), until)
			t.Logf("%d servers ended, %d late sends; %d of %d requests that share its parts served", f.endCount(), late, served, sent)
			require.Zero(t, late)
			require.Equal(t, sent, served)
			for _, p := range daemons {
				require.Equal(t, http.StatusServiceUnavailable, p.requestStream("last", deadly).status, "%s refuses it at once", p.cfg.ID)
			}
		})
	}
}
