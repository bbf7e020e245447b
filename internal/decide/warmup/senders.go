package warmup

import (
	"math"
	"time"

	"github.com/pollencourse/pollencourse/internal/decide/rendezvous"
)

// Daemon is a daemon that may send requests to cold servers.
type Daemon struct {
	ID               string
	AvailabilityZone string
}

const (
	// toleratedShare is the part of what a cold server tolerates that one set of senders uses. Two sets at the same time,
	// as in a partition, stay below one and a half times what it tolerates, plus five.
	toleratedShare = 0.8
	// intervalMargin keeps two requests of a sender out of the same second although their delays differ.
	intervalMargin = 1.05
	// minInterval is the least time between two requests of a sender: with it, a set of senders sends at most as many
	// requests in a second as it has members, whatever number of members each of them counts.
	minInterval = time.Second
	// startDelay is how long a daemon sends nothing to cold servers after its start, so that it knows the others first.
	startDelay = 3 * time.Second
	// aloneAfter is how long a daemon must have known no other daemon to send without having synchronized with one.
	aloneAfter = 5 * time.Second
	// refreshInterval is how long a computed set of senders or list of daemons is used.
	refreshInterval = 200 * time.Millisecond
)

// daemonSet is the daemons known at one point in time.
type daemonSet struct {
	all    []Daemon
	readAt time.Time
	// othersAt is when another daemon was last known.
	othersAt time.Time
}

// senderSet is the number of senders of a server and whether this daemon is one of them.
type senderSet struct {
	n          int
	self       bool
	computedAt time.Time
}

// refreshDaemons reads the known daemons if they were read some time ago; l.mu is held.
func (l *Limiter) refreshDaemons(now time.Time) {
	d := &l.daemons
	if !d.readAt.IsZero() && now.Sub(d.readAt) < refreshInterval {
		return
	}
	d.all, d.readAt = l.opts.Daemons(), now
	for _, m := range d.all {
		if m.ID != l.opts.Self {
			d.othersAt = now
			return
		}
	}
}

// startDelay returns how long this daemon sends nothing to cold servers because it may not know the others yet.
func (l *Limiter) startDelay(now time.Time) time.Duration {
	l.refreshDaemons(now)
	if l.opts.Synced() && l.daemons.othersAt.Equal(l.daemons.readAt) {
		return max(0, l.opts.Started.Add(startDelay).Sub(now))
	}
	if alone := later(l.opts.Started, l.daemons.othersAt).Add(aloneAfter).Sub(now); alone > 0 {
		return alone
	}
	return 0
}

// sendersOf returns the number of daemons that may send to a cold server and whether this daemon is one of them; l.mu is
// held.
func (l *Limiter) sendersOf(s *server, now time.Time) (n int, isSender bool) {
	if set := s.senders; !set.computedAt.IsZero() && now.Sub(set.computedAt) < refreshInterval {
		return set.n, set.self
	}
	l.refreshDaemons(now)
	near := l.nearest(s.AvailabilityZone)
	most := max(1, int(math.Floor(toleratedShare*l.opts.Policy(s.Service).PerSecond)))
	key := rendezvous.HashKey(s.ID)
	own, above, known := key.Score(l.opts.Self), 0, false
	for _, d := range near {
		score := key.Score(d.ID)
		known = known || d.ID == l.opts.Self
		if score > own || score == own && d.ID < l.opts.Self {
			above++
		}
	}
	s.senders = senderSet{min(most, len(near)), known && above < most, now}
	return s.senders.n, s.senders.self
}

// nearest returns the daemons of an availability zone; if there are none, those of its region, else all.
func (l *Limiter) nearest(zone string) []Daemon {
	var zonal, regional []Daemon
	region := l.opts.ZoneRegion[zone]
	for _, d := range l.daemons.all {
		switch {
		case d.AvailabilityZone == zone:
			zonal = append(zonal, d)
		case region != "" && l.opts.ZoneRegion[d.AvailabilityZone] == region:
			regional = append(regional, d)
		}
	}
	switch {
	case len(zonal) > 0:
		return zonal
	case len(regional) > 0:
		return regional
	default:
		return l.daemons.all
	}
}

// interval returns the time between two requests of one of n senders.
func (l *Limiter) interval(s *server, n int) time.Duration {
	share := float64(n) / (toleratedShare * l.opts.Policy(s.Service).PerSecond)
	return time.Duration(intervalMargin * max(minInterval.Seconds(), share) * float64(time.Second))
}
