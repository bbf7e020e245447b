package processes

import (
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/standin/engine"
)

// orders returns what an engine was ordered.
func (c *cluster) orders(id string) []engine.Order {
	var out []engine.Order
	require.NoError(c.t, c.getJSON("http://"+c.world.Engines[id]+"/control/orders", &out))
	return out
}

// holder returns the daemon that gives orders.
func (c *cluster) holder() *daemonProc {
	for _, d := range c.daemons {
		var dump struct {
			Placement struct {
				Lease struct {
					Held  bool      `json:"held"`
					Until time.Time `json:"until"`
				} `json:"lease"`
			} `json:"placement"`
		}
		if !d.dead() && c.getJSON("http://"+d.operator+"/v1/dump", &dump) == nil && dump.Placement.Lease.Held && time.Now().Before(dump.Placement.Lease.Until) {
			return d
		}
	}
	return nil
}

func TestAPausedHolderThatWakesGivesNoOrderWithAnOldFencingNumber(t *testing.T) {
	l := smallLayout(pwaniA, pwaniB)
	// The first availability zone's engines ignore fencing numbers, the second's check them.
	l.Engines[1].Spec.ChecksFencing = true
	c := start(t, options{layout: l, places: []place{pwaniA, pwaniB}, platform: "leaseDuration = 1s\norderFlight = 200ms\n"})
	base := c.mustPut("quotes", quotesTemplate(), 0).Revision
	var paused *daemonProc
	c.eventually(5*time.Second, "a daemon holds the lease", func() bool { paused = c.holder(); return paused != nil })

	paused.signal(syscall.SIGSTOP)
	c.eventually(10*time.Second, "another daemon takes over", func() bool {
		h := c.otherHolder(paused)
		return h != nil
	})
	other := c.otherHolder(paused)
	// A new version must be loaded; the new holder orders it.
	out, _ := c.put(other, "quotes", quotesTemplate("[class default]", secondVersion), base, time.Second)
	require.Positive(t, out.Revision)
	c.eventually(5*time.Second, "an engine of each zone is ordered to load it", func() bool {
		return c.ordered("small@2", "engine-1", "engine-2") && c.ordered("small@2", "engine-3", "engine-4")
	})
	paused.signal(syscall.SIGCONT)
	time.Sleep(1500 * time.Millisecond)
	for _, id := range []string{"engine-1", "engine-2", "engine-3", "engine-4"} {
		orders := c.orders(id)
		require.True(t, slices.IsSortedFunc(orders, func(a, b engine.Order) int { return int(a.Fencing - b.Fencing) }), "%s: %v", id, orders)
	}
	c.eventually(3*time.Second, "one daemon holds the lease", func() bool { return c.holder() != nil })
}

func (c *cluster) otherHolder(not *daemonProc) *daemonProc {
	for _, d := range c.daemons {
		if d == not {
			continue
		}
		one := &cluster{t: c.t, client: c.client, daemons: []*daemonProc{d}}
		if h := one.holder(); h != nil {
			return h
		}
	}
	return nil
}

func (c *cluster) ordered(version string, ids ...string) bool {
	return slices.ContainsFunc(ids, func(id string) bool {
		return slices.ContainsFunc(c.orders(id), func(o engine.Order) bool { return strings.Contains(strings.Join(o.Serves, ","), version) })
	})
}
