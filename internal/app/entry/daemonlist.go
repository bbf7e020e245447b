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
	// maxReadInterval bounds the time between reads by the first daemon of an availability zone once it knows others. It
	// doubles from loneReadInterval, and starts there again when other daemons are gone: each of two parts of a fleet that
	// have lost or never known each other finds the other in the list.
	maxReadInterval = 30 * time.Second
)

// daemonList reads the list of daemons in the store. It does so rarely because gossip carries the membership.
type daemonList struct {
	daemons  *platform.Daemons
	self     string
	live     func() []member.Member
	lastRead time.Time
	// interval is the time from the last read to the next one, lastLive the number of daemons known in the last round.
	interval time.Duration
	lastLive int
}

// Fetch reads the list if the interval has passed. Only the goroutine of the membership calls it.
func (l *daemonList) Fetch(ctx context.Context, _ int64) (vmlist.Snapshot, bool, error) {
	live := len(l.live())
	if live < 2 || live < l.lastLive || l.interval == 0 {
		l.interval = loneReadInterval
	}
	l.lastLive = live
	if l.lastRead.IsZero() {
		l.lastRead = time.Now().Add(-l.interval / 2) // gives the seeds time to respond
	}
	if time.Since(l.lastRead) < l.interval {
		return vmlist.Snapshot{}, false, nil
	}
	l.interval = min(2*l.interval, maxReadInterval)
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
