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

// Run pulls a configuration from a peer when the store does not deliver what a peer already has.
func (s *configShare) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		}
		for ctx.Err() == nil && s.behind("") {
			s.catchUp(ctx)
		}
	}
}

// catchUp pulls from the own availability zone at once, where bytes cost nothing, and else after a while; a daemon
// without any configuration does not wait.
func (s *configShare) catchUp(ctx context.Context) {
	own := revisionPrefix + s.hub.Self().AvailabilityZone
	if s.behind(own) {
		s.pull(ctx, s.holder(own))
		if !s.behind("") {
			return
		}
	}
	if s.tables.Current() != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pullAfter):
		}
	}
	for _, rec := range s.gossip.Fleet().Prefix(revisionPrefix) {
		if s.behind(rec.Key) {
			s.pull(ctx, s.holder(rec.Key))
		}
	}
	for _, n := range s.hub.Connected() {
		if s.behind("") {
			s.pull(ctx, n)
		}
	}
}

// behind reports whether a peer has a newer configuration than this daemon; key names one record, or all if empty.
func (s *configShare) behind(key string) bool {
	t := s.tables.Current()
	for _, r := range s.gossip.Fleet().Prefix(revisionPrefix) {
		if (key == "" || key == r.Key) && (t == nil || t.Revision < r.Version) {
			return true
		}
	}
	return false
}

// holder is the daemon that a record names.
func (s *configShare) holder(key string) peer.Node {
	r, _ := s.gossip.Fleet().Get(key)
	id, address, _ := strings.Cut(string(r.Body), "\n")
	return peer.Node{ID: id, PeerAddress: address}
}

// pull asks one daemon for its configuration.
func (s *configShare) pull(ctx context.Context, n peer.Node) {
	if n.ID == s.hub.Self().ID {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var got peerpb.Push
	if err := s.hub.Call(ctx, n, servicePull, &peerpb.PullRequest{}, &got); err != nil {
		s.log.Emit(event.PeerLost, "peer", n.ID, "error", err.Error())
		return
	}
	for _, rec := range got.GetRecords() {
		s.take(mirror.Object{Name: rec.GetKey(), Revision: rec.GetVersion(), Spec: rec.GetBody()}, "peer "+n.ID)
	}
}
