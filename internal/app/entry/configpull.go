package entry

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pollencourse/pollencourse/internal/config/mirror"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

const (
	pullServiceName = "routing.pull"
	pullTimeout     = time.Second
	// remotePullDelay is how long a daemon waits for the store, or for a daemon of its own availability zone, to
	// deliver a configuration before it pulls it from another availability zone of its region.
	remotePullDelay = 600 * time.Millisecond
	// maxOtherRegionDelay is the longest further wait before a daemon pulls from another region. The wait is random, so
	// that one daemon pulls the configuration over the slow link and the others get it within the region.
	maxOtherRegionDelay = 500 * time.Millisecond
	// pullRoundDelay is the time between rounds of pulls of a daemon that has no configuration yet.
	pullRoundDelay = 50 * time.Millisecond
)

// distance says how far a holder of a configuration is from this daemon.
type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
)

// holder is a daemon that announced a newer configuration than the one in force on this daemon.
type holder struct {
	peer.Node
	distance distance
}

// Run pulls a configuration from a peer when the store has not delivered one that a peer already has.
func (s *configShare) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.recordChanged:
		}
		for ctx.Err() == nil && s.isBehind() {
			s.pullNewest(ctx)
		}
	}
}

// pullNewest makes one round of pulls: at once from the daemon's availability zone, then from its region, then from
// other regions, and at last from all connected peers. A daemon without any configuration does not wait in between.
func (s *configShare) pullNewest(ctx context.Context) {
	if s.tables.Current() == nil {
		defer sleep(ctx, pullRoundDelay)
	}
	tried := map[string]bool{}
	for _, stage := range []struct {
		within distance
		wait   time.Duration
	}{
		{sameZone, 0},
		{sameRegion, remotePullDelay},
		{otherRegion, rand.N(maxOtherRegionDelay)},
	} {
		if s.tables.Current() != nil {
			s.awaitNearerHolder(ctx, stage.wait, stage.within, tried)
		}
		for _, h := range s.holders(stage.within, tried) {
			tried[h.ID] = true
			s.pull(ctx, h.Node)
		}
		if !s.isBehind() {
			return
		}
	}
	for _, n := range s.hub.Connected() {
		if s.isBehind() && !tried[n.ID] {
			s.pull(ctx, n)
		}
	}
}

// awaitNearerHolder returns after d, or earlier if this daemon is no longer behind or a holder nearer than limit appears.
func (s *configShare) awaitNearerHolder(ctx context.Context, d time.Duration, limit distance, tried map[string]bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for s.isBehind() && len(s.holders(limit-1, tried)) == 0 {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-s.recordChanged:
		}
	}
}

// holders returns the daemons within a distance that announced a newer configuration and were not tried yet, the
// nearest first.
func (s *configShare) holders(within distance, tried map[string]bool) []holder {
	self := s.hub.Self()
	var current int64
	if t := s.tables.Current(); t != nil {
		current = t.Revision
	}
	byDistance := map[distance][]holder{}
	for _, r := range s.gossip.Fleet().Prefix(configRecordPrefix) {
		id, address, _ := strings.Cut(string(r.Body), "\n")
		if r.Version <= current || tried[id] || id == self.ID {
			continue
		}
		zone := strings.TrimPrefix(r.Key, configRecordPrefix)
		d := s.distanceTo(self, zone)
		byDistance[d] = append(byDistance[d], holder{peer.Node{ID: id, PeerAddress: address}, d})
	}
	var out []holder
	for d := sameZone; d <= within; d++ {
		hs := byDistance[d]
		// A random order keeps the daemons of a zone from all pulling from the same one.
		rand.Shuffle(len(hs), func(i, j int) { hs[i], hs[j] = hs[j], hs[i] })
		out = append(out, hs...)
	}
	return out
}

func (s *configShare) distanceTo(self peer.Node, zone string) distance {
	switch {
	case zone == self.AvailabilityZone:
		return sameZone
	case s.zoneRegion[zone] == self.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// isBehind reports whether a record announces a newer configuration than the one in force on this daemon.
func (s *configShare) isBehind() bool {
	t := s.tables.Current()
	for _, r := range s.gossip.Fleet().Prefix(configRecordPrefix) {
		if t == nil || t.Revision < r.Version {
			return true
		}
	}
	return false
}

// pull requests the configuration in force on a peer and accepts it if it is newer.
func (s *configShare) pull(ctx context.Context, n peer.Node) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var response peerpb.Push
	if err := s.hub.Call(ctx, n, pullServiceName, &peerpb.PullRequest{AcceptsGzip: true}, &response); err != nil {
		s.log.Emit(event.PeerLost, "peer", n.ID, "error", err.Error())
		return
	}
	for _, rec := range response.GetRecords() {
		body, err := rec.GetBody(), error(nil)
		if response.GetGzipped() {
			body, err = decompress(body)
		}
		if err != nil {
			s.log.Emit(event.PeerMessageWrong, "peer", n.ID, "record", rec.GetKey(), "error", err.Error())
			continue
		}
		s.acceptConfig(mirror.Object{Name: rec.GetKey(), Revision: rec.GetVersion(), Spec: body}, "peer "+n.ID)
	}
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
