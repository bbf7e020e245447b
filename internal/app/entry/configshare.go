package entry

import (
	"context"
	"math/rand/v2"
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
	// fleetReadInterval times the number of live daemons bounds the random part of the time after which a daemon reads
	// the store because its configuration lags; maxStoreReadDelay bounds it in a large fleet. The first daemon that
	// succeeds announces the configuration, so that the others need not read it over the same links.
	fleetReadInterval = 80 * time.Millisecond
	maxStoreReadDelay = time.Second
)

// configShare receives configurations from the store and, if the store does not deliver them, from peers.
type configShare struct {
	tables *routing.Holder
	gossip *relay.Gossip
	hub    *peer.Hub
	// zoneRegion maps availability zones to their regions.
	zoneRegion    map[string]string
	liveDaemons   func() int
	log           *event.Log
	recordChanged chan struct{}

	mu sync.Mutex
	// inForceObject is the configuration in force as the store holds it.
	inForceObject mirror.Object
	// behindSince is when a peer was first known to have a newer configuration; it is zero while no peer has one.
	behindSince time.Time
	// storeReadDelay is how long after behindSince this daemon reads the store itself.
	storeReadDelay time.Duration
	// compressed is the body of inForceObject in gzip format; nil until a peer asks for it.
	compressed []byte
}

func newConfigShare(tables *routing.Holder, gossip *relay.Gossip, hub *peer.Hub, zoneRegion map[string]string, liveDaemons func() int, log *event.Log) *configShare {
	s := &configShare{
		tables: tables, gossip: gossip, hub: hub, zoneRegion: zoneRegion, liveDaemons: liveDaemons, log: log,
		recordChanged: make(chan struct{}, 1),
	}
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
func (s *configShare) Replace(objects []mirror.Object, _ mirror.Position, _ bool) {
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
	s.inForceObject, s.compressed = o, nil
	s.mu.Unlock()
	s.updateBehindSince()
	self := s.hub.Self()
	s.gossip.Publish(announcement(self.AvailabilityZone, t.Revision, self))
}

// announcement returns the record by which a daemon of a zone announces a configuration; see [configShare.holders].
func announcement(zone string, revision int64, holder peer.Node) relay.Record {
	return relay.Record{Key: configRecordPrefix + zone, Version: revision, Body: []byte(holder.ID + "\n" + holder.PeerAddress)}
}

// updateBehindSince records since when a peer has had a newer configuration.
func (s *configShare) updateBehindSince() {
	behind := s.isBehind()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !behind:
		s.behindSince = time.Time{}
	case s.behindSince.IsZero():
		s.behindSince = time.Now()
		s.storeReadDelay = remotePullDelay + rand.N(min(time.Duration(max(1, s.liveDaemons()))*fleetReadInterval, maxStoreReadDelay))
	}
}

// isLagging reports whether a peer has had a newer configuration for so long that this daemon has to read the store
// itself, since the peers have not delivered it either.
func (s *configShare) isLagging() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.behindSince.IsZero() && time.Since(s.behindSince) > s.storeReadDelay
}

// handlePull sends a peer the configuration in force.
func (s *configShare) handlePull(_ context.Context, _ peer.Node, message []byte) (proto.Message, error) {
	var req peerpb.PullRequest
	if err := proto.Unmarshal(message, &req); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.inForceObject
	record := &peerpb.Record{Key: o.Name, Version: o.Revision, Body: o.Spec}
	if !req.GetAcceptsGzip() {
		return &peerpb.Push{Records: []*peerpb.Record{record}}, nil
	}
	if s.compressed == nil {
		var err error
		if s.compressed, err = compress(o.Spec); err != nil {
			return nil, err
		}
	}
	record.Body = s.compressed
	return &peerpb.Push{Records: []*peerpb.Record{record}, Gzipped: true}, nil
}
