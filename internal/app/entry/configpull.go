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
		for s.behind() && ctx.Err() == nil {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(pullAfter):
			}
			if s.behind() {
				s.pull(ctx)
			}
		}
	}
}

// behind reports whether a peer has a newer configuration than this daemon.
func (s *configShare) behind() bool {
	r, ok := s.gossip.Fleet().Get(revisionKey)
	t := s.tables.Current()
	return ok && (t == nil || t.Revision < r.Version)
}

// pull asks the daemon that published the newest configuration, else the connected peers in turn.
func (s *configShare) pull(ctx context.Context) {
	r, _ := s.gossip.Fleet().Get(revisionKey)
	holders := s.hub.Connected()
	if id, address, ok := strings.Cut(string(r.Body), "\n"); ok {
		holders = append([]peer.Node{{ID: id, PeerAddress: address}}, holders...)
	}
	for _, n := range holders {
		if !s.behind() || ctx.Err() != nil {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
		var got peerpb.Push
		err := s.hub.Call(callCtx, n, servicePull, &peerpb.PullRequest{}, &got)
		cancel()
		if err != nil {
			s.log.Emit(event.PeerLost, "peer", n.ID, "error", err.Error())
			continue
		}
		for _, rec := range got.GetRecords() {
			s.take(mirror.Object{Name: rec.GetKey(), Revision: rec.GetVersion(), Spec: rec.GetBody()}, "peer "+n.ID)
		}
	}
}
