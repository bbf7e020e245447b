package distribute

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/fleet/member"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

const (
	ackPrefix     = "ack/"
	zoneAckPrefix = "zoneAck/"
	// maxAckTemplates bounds the templates in an acknowledgement, which lists the most recently changed first.
	maxAckTemplates = 8
	// zoneAckDelay is how long the daemon of rank 0 in a zone collects acknowledgements before it publishes a summary.
	zoneAckDelay = 20 * time.Millisecond
	// maxBehindIDs bounds the IDs of daemons behind on one template in an availability zone's summary.
	maxBehindIDs = 20
)

// Members is the part of the membership that [Acks] uses.
type Members interface {
	Live() []member.Member
	Rank() int
	OnChange(fn func())
}

// Acks publishes the revisions in force on this daemon and, on the daemon of rank 0 in a zone, the zone's summary.
type Acks struct {
	selfID  string
	zone    string
	inForce *InForce
	gossip  Gossip
	members Members

	mu             sync.Mutex
	zoneAckPending bool
	changed        chan struct{}
}

// NewAcks returns the acknowledgements of daemon selfID in an availability zone.
func NewAcks(selfID, zone string, inForce *InForce, gossip Gossip, members Members) *Acks {
	a := &Acks{selfID: selfID, zone: zone, inForce: inForce, gossip: gossip, members: members, changed: make(chan struct{})}
	inForce.OnChange(a.publishOwn)
	gossip.Zone().Subscribe(ackPrefix, func(relay.Record) { a.scheduleZoneAck() })
	gossip.Fleet().Subscribe(zoneAckPrefix, func(relay.Record) { a.notifyChanged() })
	members.OnChange(a.scheduleZoneAck)
	return a
}

func (a *Acks) publishOwn() {
	rec := &peerpb.AckRecord{}
	for _, name := range a.inForce.latestChanged(maxAckTemplates) {
		rec.Latest = append(rec.Latest, &peerpb.InForce{Template: name, Revision: a.inForce.Revision(name)})
	}
	_ = a.gossip.Report(ackPrefix+a.selfID, rec)
	a.notifyChanged()
}

func (a *Acks) notifyChanged() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.changed)
	a.changed = make(chan struct{})
}

// scheduleZoneAck publishes one summary after zoneAckDelay, however many acknowledgements arrive meanwhile.
func (a *Acks) scheduleZoneAck() {
	a.notifyChanged()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.zoneAckPending {
		return
	}
	a.zoneAckPending = true
	time.AfterFunc(zoneAckDelay, func() {
		a.mu.Lock()
		a.zoneAckPending = false
		a.mu.Unlock()
		a.publishZoneAck()
	})
}

// publishZoneAck publishes the lowest revision of each template in the zone if this daemon has rank 0 there.
func (a *Acks) publishZoneAck() {
	if a.members.Rank() != 0 {
		return
	}
	rec := a.zoneAck()
	key := zoneAckPrefix + a.zone
	if old, ok := a.gossip.Fleet().Get(key); ok {
		if body, err := proto.Marshal(rec); err == nil && slices.Equal(body, old.Body) {
			return
		}
	}
	_ = a.gossip.PublishOwn(key, rec)
}

func (a *Acks) zoneAck() *peerpb.ZoneAck {
	rec := &peerpb.ZoneAck{}
	for _, name := range a.inForce.latestChanged(maxAckTemplates) {
		entry := &peerpb.ZoneAckEntry{Template: name, LowestRevision: a.inForce.Revision(name)}
		for _, m := range a.members.Live() {
			if m.AvailabilityZone != a.zone || m.ID == a.selfID {
				continue
			}
			rev := a.ackedRevision(m.ID, name)
			if rev < a.inForce.Revision(name) && len(entry.Behind) < maxBehindIDs {
				entry.Behind = append(entry.Behind, m.ID)
			}
			entry.LowestRevision = min(entry.LowestRevision, rev)
		}
		rec.Entries = append(rec.Entries, entry)
	}
	return rec
}

// ackedRevision returns the revision of a template that a daemon of this zone has in force, or 0 if that is unknown.
func (a *Acks) ackedRevision(daemon, name string) int64 {
	r, ok := a.gossip.Zone().Get(ackPrefix + daemon)
	if !ok {
		return 0
	}
	var rec peerpb.AckRecord
	if proto.Unmarshal(r.Body, &rec) != nil {
		return 0
	}
	for _, f := range rec.GetLatest() {
		if f.GetTemplate() == name {
			return f.GetRevision()
		}
	}
	return 0
}

// Behind returns the live daemons that are not known to have a revision of a template in force.
func (a *Acks) Behind(name string, revision int64) []string {
	zones := map[string][]string{}
	for _, m := range a.members.Live() {
		if m.ID != a.selfID || a.inForce.Revision(name) < revision {
			zones[m.AvailabilityZone] = append(zones[m.AvailabilityZone], m.ID)
		}
	}
	var out []string
	for zone, ids := range zones {
		out = append(out, a.behindInZone(zone, ids, name, revision)...)
	}
	slices.Sort(out)
	return out
}

// behindInZone returns which daemons of a zone are behind a revision according to the zone's summary.
func (a *Acks) behindInZone(zone string, ids []string, name string, revision int64) []string {
	r, ok := a.gossip.Fleet().Get(zoneAckPrefix + zone)
	var rec peerpb.ZoneAck
	if !ok || proto.Unmarshal(r.Body, &rec) != nil {
		return ids
	}
	for _, e := range rec.GetEntries() {
		if e.GetTemplate() != name {
			continue
		}
		if e.GetLowestRevision() >= revision {
			return nil
		}
		return slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
			return len(e.GetBehind()) > 0 && len(e.GetBehind()) < maxBehindIDs && !slices.Contains(e.GetBehind(), id)
		})
	}
	return ids
}

// Wait returns nil once every live daemon has a revision in force, or the daemons behind it when ctx ends.
func (a *Acks) Wait(ctx context.Context, name string, revision int64) []string {
	for {
		a.mu.Lock()
		changed := a.changed
		a.mu.Unlock()
		behind := a.Behind(name, revision)
		if len(behind) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return behind
		}
	}
}

// Dump shows the summary of each availability zone.
func (a *Acks) Dump() any {
	out := map[string][]string{}
	for _, r := range a.gossip.Fleet().Prefix(zoneAckPrefix) {
		var rec peerpb.ZoneAck
		if proto.Unmarshal(r.Body, &rec) != nil {
			continue
		}
		zone := strings.TrimPrefix(r.Key, zoneAckPrefix)
		for _, e := range rec.GetEntries() {
			out[zone] = append(out[zone], e.String())
		}
	}
	return out
}
