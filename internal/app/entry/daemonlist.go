package entry

import (
	"context"
	"time"

	"github.com/pollencourse/pollencourse/internal/external/vmlist"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
	"github.com/pollencourse/pollencourse/platform"
)

const (
	// loneReadInterval is the time between reads of the list by a daemon that knows no other daemon.
	loneReadInterval = 2 * time.Second
	// connectedReadInterval is the time between reads by the first daemon of an availability zone once it knows others.
	// These reads join parts of the fleet that started without a connection to each other.
	connectedReadInterval = 30 * time.Second
)

// daemonList reads the list of daemons in the store. It does so rarely because gossip carries the membership.
type daemonList struct {
	daemons  *platform.Daemons
	self     string
	live     func() []member.Member
	lastRead time.Time
}

// Fetch reads the list if the interval has passed. Only the goroutine of the membership calls it.
func (l *daemonList) Fetch(ctx context.Context, _ int64) (vmlist.Snapshot, bool, error) {
	interval := connectedReadInterval
	if len(l.live()) < 2 {
		interval = loneReadInterval
	}
	if l.lastRead.IsZero() {
		l.lastRead = time.Now().Add(-interval / 2) // gives the seeds time to respond
	}
	if time.Since(l.lastRead) < interval {
		return vmlist.Snapshot{}, false, nil
	}
	l.lastRead = time.Now()
	byName, revision, err := l.daemons.List(ctx)
	if err != nil {
		return vmlist.Snapshot{}, false, err
	}
	snap := vmlist.Snapshot{Revision: revision}
	for name, vm := range byName {
		if name != l.self {
			snap.VMs = append(snap.VMs, vm)
		}
	}
	return snap, true, nil
}
