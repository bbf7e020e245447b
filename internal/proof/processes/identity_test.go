package processes

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// addDaemonWithIDOf adds a daemon with the ID of d but with addresses of its own, without starting it.
func (c *cluster) addDaemonWithIDOf(d *daemonProcess) *daemonProcess {
	duplicate := c.addDaemon(d.location)
	text, err := os.ReadFile(duplicate.settingsPath)
	require.NoError(c.t, err)
	text = []byte(strings.Replace(string(text), "id = "+duplicate.id, "id = "+d.id, 1))
	require.NoError(c.t, os.WriteFile(duplicate.settingsPath, text, 0o600))
	return duplicate
}

// Starts a second process with the ID of a running daemon, as a mistaken or overlapping deployment does. The older
// process must exit and log that it is superseded; the newer one must serve requests.
func TestTheOlderOfTwoProcessesWithOneIDStops(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA), locations: []location{pwaniA, pwaniB}})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	older := c.daemons[0]
	newer := c.addDaemonWithIDOf(older)
	c.launch(newer)
	c.eventually(5*time.Second, "the older process exits", older.hasExited)
	require.False(t, newer.hasExited())
	require.True(t, c.logged("daemonSuperseded"))
	require.True(t, c.sendChat(newer, "after", false).complete)
}

// Pauses a daemon with SIGSTOP, starts its replacement with the same ID and resumes it. The older process,
// which learns of its replacement only then, must exit and the replacement must keep serving.
func TestAPausedProcessStopsWhenItResumesAfterItsReplacementStarted(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA), locations: []location{pwaniA, pwaniB}})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	older := c.daemons[0]
	older.signal(syscall.SIGSTOP)
	newer := c.addDaemonWithIDOf(older)
	c.launch(newer)
	c.eventually(5*time.Second, "the replacement answers a request", func() bool { return c.sendChat(newer, "replacement", false).complete })
	older.signal(syscall.SIGCONT)
	c.eventually(10*time.Second, "the older process exits", older.hasExited)
	require.True(t, c.sendChat(newer, "after", false).complete)
}
