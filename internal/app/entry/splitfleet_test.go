package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDaemonsThatAreKilledTogetherRejoinTheFleet guards against a fleet in parts that know nothing of each other: its seeds,
// restarted at once, knew each other and looked for nobody else, and the others took them for suspects (review/4). All that
// the fleet decides was then decided twice.
func TestDaemonsThatAreKilledTogetherRejoinTheFleet(t *testing.T) {
	const daemonCount, seedCount = 6, 3
	tests := []struct {
		name   string
		killed []int
		// down is the time from the kill to the new start, between that between two starts.
		down, between time.Duration
	}{
		{"seeds", []int{0, 1, 2}, 500 * time.Millisecond, 0},
		{"seeds, suspected by then", []int{0, 1, 2}, 2 * suspectAfter, 0},
		{"seeds, one after the other", []int{2, 0, 1}, 500 * time.Millisecond, time.Second},
		{"seeds and others", []int{0, 1, 2, 4}, 500 * time.Millisecond, 0},
		{"all but one", []int{0, 1, 2, 3, 4}, 500 * time.Millisecond, 0},
		{"two seeds", []int{0, 1}, 500 * time.Millisecond, 0},
		{"others", []int{3, 4, 5}, 500 * time.Millisecond, 0},
		{"all", []int{0, 1, 2, 3, 4, 5}, 500 * time.Millisecond, 300 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			store := newStoreStandin(t)
			putConfig(store, 1)
			s := newServerStandin(t, "i-0")
			store.put("servers", s.id, s.entrySpec("s", "ready", 1))
			daemons := startProcesses(t, store, daemonCount, seedCount)
			awaitWhole(t, daemons, settleTimeout)
			for _, i := range tt.killed {
				daemons[i].kill(t)
			}
			time.Sleep(tt.down)
			for _, i := range tt.killed {
				daemons[i].start(t)
				time.Sleep(tt.between)
			}
			for _, i := range tt.killed {
				daemons[i].awaitReady(t)
			}
			awaitWhole(t, daemons, contactBound)
		})
	}
}

// startProcesses starts daemons of which the first ones are the seeds of all.
func startProcesses(t *testing.T, store *storeStandin, daemonCount, seedCount int) []*daemonProcess {
	t.Helper()
	var daemons []*daemonProcess
	var seeds []string
	for i := range daemonCount {
		p := newDaemonProcess(t, store, fmt.Sprint("d", i))
		p.zone = []string{"a", "b"}[i%2]
		daemons = append(daemons, p)
		if i < seedCount {
			seeds = append(seeds, p.peerAddress())
		}
	}
	for _, p := range daemons {
		p.writeSettings(t, store, seeds...)
		p.start(t)
	}
	return daemons
}

// awaitWhole waits until each directory lists each daemon.
func awaitWhole(t *testing.T, daemons []*daemonProcess, timeout time.Duration) {
	t.Helper()
	counts := make([]int, len(daemons))
	require.Eventually(t, func() bool {
		for i, p := range daemons {
			counts[i] = p.listedCount()
		}
		return !slices.ContainsFunc(counts, func(n int) bool { return n != len(daemons) })
	}, timeout, pollInterval, "the directories list %v", counts)
}
