package entry

import (
	"context"
	"strings"
	"time"

	"github.com/pollencourse/pollencourse/internal/config/mirror"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// Run pulls a configuration from a peer when the store has not delivered one that a peer already has.
func (s *configShare) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.recordChanged:
		}
		for ctx.Err() == nil && s.isBehind("") {
			s.pullNewest(ctx)
		}
	}
}

// pullNewest pulls from this daemon's availability zone at once, since traffic within a zone is free, and from other
// zones after remotePullDelay. A daemon without any configuration does not wait. If the daemons that the records name
// don't deliver the newest configuration, pullNewest tries all connected peers.
func (s *configShare) pullNewest(ctx context.Context) {
	zoneKey := configRecordPrefix + s.hub.Self().AvailabilityZone
	if s.isBehind(zoneKey) {
		s.pull(ctx, s.holderNamedBy(zoneKey))
		if !s.isBehind("") {
			return
		}
	}
	if s.tables.Current() != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(remotePullDelay):
		}
	}
	for _, rec := range s.gossip.Fleet().Prefix(configRecordPrefix) {
		if s.isBehind(rec.Key) {
			s.pull(ctx, s.holderNamedBy(rec.Key))
		}
	}
	for _, n := range s.hub.Connected() {
		if s.isBehind("") {
			s.pull(ctx, n)
		}
	}
}

// isBehind reports whether a record announces a newer configuration than the one in force on this daemon. If key is
// not empty, only the record with that key counts.
func (s *configShare) isBehind(key string) bool {
	t := s.tables.Current()
	for _, r := range s.gossip.Fleet().Prefix(configRecordPrefix) {
		if (key == "" || key == r.Key) && (t == nil || t.Revision < r.Version) {
			return true
		}
	}
	return false
}

// holderNamedBy returns the daemon that a record names as having the configuration.
func (s *configShare) holderNamedBy(key string) peer.Node {
	r, _ := s.gossip.Fleet().Get(key)
	id, address, _ := strings.Cut(string(r.Body), "\n")
	return peer.Node{ID: id, PeerAddress: address}
}

// pull requests the configuration in force on a peer and accepts it if it is newer.
func (s *configShare) pull(ctx context.Context, n peer.Node) {
	if n.ID == s.hub.Self().ID {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var response peerpb.Push
	if err := s.hub.Call(ctx, n, pullServiceName, &peerpb.PullRequest{}, &response); err != nil {
		s.log.Emit(event.PeerLost, "peer", n.ID, "error", err.Error())
		return
	}
	for _, rec := range response.GetRecords() {
		s.acceptConfig(mirror.Object{Name: rec.GetKey(), Revision: rec.GetVersion(), Spec: rec.GetBody()}, "peer "+n.ID)
	}
}
