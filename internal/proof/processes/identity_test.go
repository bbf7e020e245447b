package processes

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// twin prepares another process with a daemon's ID at other addresses.
func (c *cluster) twin(d *daemonProc) *daemonProc {
	t := c.newDaemon(d.place)
	text, err := os.ReadFile(t.settings)
	require.NoError(c.t, err)
	text = []byte(strings.Replace(string(text), "id = "+t.id, "id = "+d.id, 1))
	require.NoError(c.t, os.WriteFile(t.settings, text, 0o600))
	return t
}

func TestTheOlderOfTwoProcessesWithOneIDStops(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA), places: []place{pwaniA, pwaniB}})
	c.mustPut("quotes", quotesTemplate(), 0)
	older := c.daemons[0]
	newer := c.twin(older)
	c.launch(newer)
	c.eventually(5*time.Second, "the older process stops", older.dead)
	require.False(t, newer.dead())
	require.True(t, c.logged("daemonSuperseded"))
	require.True(t, c.ask(newer, "after", false).whole)
}

func TestAFrozenProcessThatWakesAfterItsReplacementStops(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA), places: []place{pwaniA, pwaniB}})
	c.mustPut("quotes", quotesTemplate(), 0)
	older := c.daemons[0]
	older.signal(syscall.SIGSTOP)
	newer := c.twin(older)
	c.launch(newer)
	c.eventually(5*time.Second, "the replacement is known", func() bool { return c.ask(newer, "replacement", false).whole })
	older.signal(syscall.SIGCONT)
	c.eventually(10*time.Second, "the older process stops", older.dead)
	require.True(t, c.ask(newer, "after", false).whole)
}
