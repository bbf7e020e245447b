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
	// configRecordPrefix is the prefix of the keys of those records in the fleet table that announce configurations,
	// one record for each availability zone. The record's version is the revision of the newest configuration in the
	// zone; its body names a daemon that has that configuration.
	configRecordPrefix = "routing/"
	pullServiceName    = "routing.pull"
	// remotePullDelay is how long a daemon waits for the store, or for a daemon of its own availability zone, to
	// deliver a configuration before it pulls it from another availability zone.
	remotePullDelay = 600 * time.Millisecond
	pullTimeout     = time.Second
)

// configShare receives configurations from the store and, if the store does not deliver them, from peers.
type configShare struct {
	tables        *routing.Holder
	gossip        *relay.Gossip
	hub           *peer.Hub
	log           *event.Log
	recordChanged chan struct{}

	mu sync.Mutex
	// inForceObject is the configuration in force as the store holds it.
	inForceObject mirror.Object
	// behindSince is when a peer was first known to have a newer configuration; it is zero while no peer has one.
	behindSince time.Time
}

func newConfigShare(tables *routing.Holder, gossip *relay.Gossip, hub *peer.Hub, log *event.Log) *configShare {
	s := &configShare{tables: tables, gossip: gossip, hub: hub, log: log, recordChanged: make(chan struct{}, 1)}
	hub.Handle(pullServiceName, s.handlePull)
	gossip.Fleet().Subscribe(configRecordPrefix, func(relay.Record) {
		s.updateBehindSince()
		select {
		case s.recordChanged <- struct{}{}:
		default:
		}
	})
	return s
}

// Replace accepts the stored configuration.
func (s *configShare) Replace(objects []mirror.Object, _ int64, _ bool) {
	for _, o := range objects {
		s.acceptConfig(o, "store")
	}
}

// Apply accepts a change of the stored configuration.
func (s *configShare) Apply(c mirror.Change) {
	if !c.Deleted {
		s.acceptConfig(c.Object, "store")
	}
}

// Reading does nothing; whether the store delivers is derived from the revisions that peers have.
func (s *configShare) Reading(bool) {}

// acceptConfig puts a configuration in force if it is newer, and announces it to the peers.
func (s *configShare) acceptConfig(o mirror.Object, source string) {
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
	s.inForceObject = o
	s.mu.Unlock()
	s.updateBehindSince()
	self := s.hub.Self()
	s.gossip.Publish(relay.Record{
		Key: configRecordPrefix + self.AvailabilityZone, Version: t.Revision, Body: []byte(self.ID + "\n" + self.PeerAddress),
	})
}

// updateBehindSince records since when a peer has had a newer configuration.
func (s *configShare) updateBehindSince() {
	behind := s.isBehind("")
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !behind:
		s.behindSince = time.Time{}
	case s.behindSince.IsZero():
		s.behindSince = time.Now()
	}
}

// isLagging reports whether a peer has had a newer configuration for more than remotePullDelay. The peers have not
// delivered it either, so this daemon has to read the store itself.
func (s *configShare) isLagging() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.behindSince.IsZero() && time.Since(s.behindSince) > remotePullDelay
}

// handlePull sends a peer the configuration in force.
func (s *configShare) handlePull(context.Context, peer.Node, []byte) (proto.Message, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &peerpb.Push{Records: []*peerpb.Record{{Key: s.inForceObject.Name, Version: s.inForceObject.Revision, Body: s.inForceObject.Spec}}}, nil
}
