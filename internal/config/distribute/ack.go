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
	// ackEntries is how many templates an acknowledgement covers, the latest changed first.
	ackEntries = 8
	// sumDelay is how long the first daemon of a zone waits for more acknowledgements.
	sumDelay = 20 * time.Millisecond
	// maxBehind bounds how many daemons an availability zone names for one template.
	maxBehind = 20
)

// Members is what acknowledgements need of the membership.
type Members interface {
	Live() []member.Member
	Rank() int
	OnChange(fn func())
}

// Acks publishes what is in force here and sums up what is in force in the zone.
type Acks struct {
	selfID  string
	zone    string
	inForce *InForce
	gossip  Gossip
	members Members

	mu      sync.Mutex
	waiting bool
	changed chan struct{}
}

// NewAcks returns the acknowledgements of the daemon selfID in an availability zone.
func NewAcks(selfID, zone string, inForce *InForce, gossip Gossip, members Members) *Acks {
	a := &Acks{selfID: selfID, zone: zone, inForce: inForce, gossip: gossip, members: members, changed: make(chan struct{})}
	inForce.OnChange(a.publishOwn)
	gossip.Zone().Subscribe(ackPrefix, func(relay.Record) { a.sumSoon() })
	gossip.Fleet().Subscribe(zoneAckPrefix, func(relay.Record) { a.wake() })
	members.OnChange(a.sumSoon)
	return a
}

func (a *Acks) publishOwn() {
	rec := &peerpb.AckRecord{}
	for _, name := range a.inForce.latest(ackEntries) {
		rec.Latest = append(rec.Latest, &peerpb.InForce{Template: name, Revision: a.inForce.Revision(name)})
	}
	_ = a.gossip.Report(ackPrefix+a.selfID, rec)
	a.wake()
}

func (a *Acks) wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.changed)
	a.changed = make(chan struct{})
}

// sumSoon sums up the zone once, however many acknowledgements arrive meanwhile.
func (a *Acks) sumSoon() {
	a.wake()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting {
		return
	}
	a.waiting = true
	time.AfterFunc(sumDelay, func() {
		a.mu.Lock()
		a.waiting = false
		a.mu.Unlock()
		a.sum()
	})
}

// sum publishes for each template the lowest revision in the zone, if this daemon is its first.
func (a *Acks) sum() {
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
	for _, name := range a.inForce.latest(ackEntries) {
		entry := &peerpb.ZoneAckEntry{Template: name, LowestRevision: a.inForce.Revision(name)}
		for _, m := range a.members.Live() {
			if m.AvailabilityZone != a.zone || m.ID == a.selfID {
				continue
			}
			rev := a.acked(m.ID, name)
			if rev < a.inForce.Revision(name) && len(entry.Behind) < maxBehind {
				entry.Behind = append(entry.Behind, m.ID)
			}
			entry.LowestRevision = min(entry.LowestRevision, rev)
		}
		rec.Entries = append(rec.Entries, entry)
	}
	return rec
}

// acked returns the revision of a template that a daemon of this zone has in force.
func (a *Acks) acked(daemon, name string) int64 {
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

// Behind returns the live daemons that do not have a revision of a template in force, as far as is known.
func (a *Acks) Behind(name string, revision int64) []string {
	zones := map[string][]string{}
	for _, m := range a.members.Live() {
		if m.ID != a.selfID || a.inForce.Revision(name) < revision {
			zones[m.AvailabilityZone] = append(zones[m.AvailabilityZone], m.ID)
		}
	}
	var out []string
	for zone, ids := range zones {
		out = append(out, a.behindThere(zone, ids, name, revision)...)
	}
	slices.Sort(out)
	return out
}

// behindThere returns which of the daemons of a zone lack a revision, by the zone's own sum.
func (a *Acks) behindThere(zone string, ids []string, name string, revision int64) []string {
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
			return len(e.GetBehind()) > 0 && len(e.GetBehind()) < maxBehind && !slices.Contains(e.GetBehind(), id)
		})
	}
	return ids
}

// Wait returns once every live daemon has a revision in force, or those that lack it when ctx ends.
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

// Dump shows what each availability zone has in force.
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
