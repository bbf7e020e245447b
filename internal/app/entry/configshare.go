package entry

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/config/mirror"
	"github.com/pollencourse/pollencourse/internal/config/routing"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
	"github.com/pollencourse/pollencourse/platform"
)

const (
	// revisionPrefix begins the fleet table's records of the newest configuration in each availability zone; their
	// bodies name a daemon that holds it.
	revisionPrefix = "routing/"
	servicePull    = "routing.pull"
	// pullAfter is how long the store, or a daemon of the own availability zone, has to deliver a configuration
	// that a daemon farther away already has.
	pullAfter   = 600 * time.Millisecond
	pullTimeout = time.Second
)

// configShare takes configurations from the store and, if it does not deliver, from peers.
type configShare struct {
	tables *routing.Holder
	gossip *relay.Gossip
	hub    *peer.Hub
	log    *event.Log
	wake   chan struct{}

	mu     sync.Mutex
	newest mirror.Object
	// behindSince is when a peer was first known to have a newer configuration; zero while none has.
	behindSince time.Time
}

func newConfigShare(tables *routing.Holder, gossip *relay.Gossip, hub *peer.Hub, log *event.Log) *configShare {
	s := &configShare{tables: tables, gossip: gossip, hub: hub, log: log, wake: make(chan struct{}, 1)}
	hub.Handle(servicePull, s.handlePull)
	gossip.Fleet().Subscribe(revisionPrefix, func(relay.Record) {
		s.noteBehind()
		select {
		case s.wake <- struct{}{}:
		default:
		}
	})
	return s
}

// Replace takes the stored configuration.
func (s *configShare) Replace(objects []mirror.Object, _ int64, _ bool) {
	for _, o := range objects {
		s.take(o, "store")
	}
}

// Apply takes a change of the stored configuration.
func (s *configShare) Apply(c mirror.Change) {
	if !c.Deleted {
		s.take(c.Object, "store")
	}
}

// Reading needs no action: whether the store delivers is judged by revisions.
func (s *configShare) Reading(bool) {}

// take puts a configuration in force if it is newer, and tells the peers.
func (s *configShare) take(o mirror.Object, source string) {
	if o.Name != platform.ConfigName {
		return
	}
	t, err := platform.DecodeConfig(o)
	if err != nil {
		s.log.Emit(event.ConfigRefused, "revision", o.Revision, "source", source, "error", err.Error())
		return
	}
	if !s.tables.Offer(t, source) {
		return
	}
	s.mu.Lock()
	s.newest = o
	s.mu.Unlock()
	s.noteBehind()
	self := s.hub.Self()
	s.gossip.Publish(relay.Record{
		Key: revisionPrefix + self.AvailabilityZone, Version: t.Revision, Body: []byte(self.ID + "\n" + self.PeerAddress),
	})
}

// noteBehind keeps the time since which this daemon is behind a peer.
func (s *configShare) noteBehind() {
	behind := s.behind("")
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !behind:
		s.behindSince = time.Time{}
	case s.behindSince.IsZero():
		s.behindSince = time.Now()
	}
}

// lagging reports whether the peers do not deliver either, so that the store has to be asked.
func (s *configShare) lagging() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.behindSince.IsZero() && time.Since(s.behindSince) > pullAfter
}

// handlePull gives a peer the configuration in force.
func (s *configShare) handlePull(context.Context, peer.Node, []byte) (proto.Message, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &peerpb.Push{Records: []*peerpb.Record{{Key: s.newest.Name, Version: s.newest.Revision, Body: s.newest.Spec}}}, nil
}
