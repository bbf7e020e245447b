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

// orders returns the orders that an engine received, in order of receipt.
func (c *cluster) orders(id string) []engine.Order {
	var out []engine.Order
	require.NoError(c.t, c.getJSON("http://"+c.world.Engines[id]+"/control/orders", &out))
	return out
}

// leaseHolder returns the daemon that holds an unexpired lease for sending orders to engines, or nil.
func (c *cluster) leaseHolder() *daemonProcess {
	for _, d := range c.daemons {
		var dump struct {
			Placement struct {
				Lease struct {
					Held  bool      `json:"held"`
					Until time.Time `json:"until"`
				} `json:"lease"`
			} `json:"placement"`
		}
		if !d.hasExited() && c.getJSON("http://"+d.operatorAddress+"/v1/dump", &dump) == nil && dump.Placement.Lease.Held && time.Now().Before(dump.Placement.Lease.Until) {
			return d
		}
	}
	return nil
}

// The holder of the lease for orders to engines is paused with SIGSTOP until another daemon has taken over and
// sent orders. When it resumes, no engine may get an order with a lower fencing number than an earlier one.
func TestAPausedLeaseHolderThatResumesSendsNoOrderWithAnOldFencingNumber(t *testing.T) {
	l := smallLayout(pwaniA, pwaniB)
	// Engines of the first availability zone ignore fencing numbers; those of the second check them.
	l.Engines[1].Spec.ChecksFencing = true
	c := startCluster(t, options{layout: l, locations: []location{pwaniA, pwaniB}, platformSettings: "leaseDuration = 1s\norderFlight = 200ms\n"})
	base := c.mustApplyTemplate("quotes", quotesTemplate(), 0).Revision
	var paused *daemonProcess
	c.eventually(5*time.Second, "a daemon holds the lease", func() bool { paused = c.leaseHolder(); return paused != nil })

	paused.signal(syscall.SIGSTOP)
	c.eventually(10*time.Second, "another daemon takes over", func() bool {
		h := c.otherLeaseHolder(paused)
		return h != nil
	})
	newHolder := c.otherLeaseHolder(paused)
	// Add a version, so that the new holder orders engines to load it.
	out, _ := c.applyTemplate(newHolder, "quotes", quotesTemplate("[class default]", secondVersion), base, time.Second)
	require.Positive(t, out.Revision)
	c.eventually(5*time.Second, "an engine of each zone is ordered to load the new version", func() bool {
		return c.anyOrderedToServe("small@2", "engine-1", "engine-2") && c.anyOrderedToServe("small@2", "engine-3", "engine-4")
	})
	paused.signal(syscall.SIGCONT)
	time.Sleep(1500 * time.Millisecond)
	for _, id := range []string{"engine-1", "engine-2", "engine-3", "engine-4"} {
		orders := c.orders(id)
		require.True(t, slices.IsSortedFunc(orders, func(a, b engine.Order) int { return int(a.Fencing - b.Fencing) }), "%s: %v", id, orders)
	}
	c.eventually(3*time.Second, "one daemon holds the lease", func() bool { return c.leaseHolder() != nil })
}

// otherLeaseHolder returns a daemon other than excluded that holds the lease, or nil.
func (c *cluster) otherLeaseHolder(excluded *daemonProcess) *daemonProcess {
	for _, d := range c.daemons {
		if d == excluded {
			continue
		}
		single := &cluster{t: c.t, client: c.client, daemons: []*daemonProcess{d}}
		if h := single.leaseHolder(); h != nil {
			return h
		}
	}
	return nil
}

// anyOrderedToServe reports whether any of the engines was ordered to serve the version.
func (c *cluster) anyOrderedToServe(version string, ids ...string) bool {
	return slices.ContainsFunc(ids, func(id string) bool {
		return slices.ContainsFunc(c.orders(id), func(o engine.Order) bool { return strings.Contains(strings.Join(o.Serves, ","), version) })
	})
}
