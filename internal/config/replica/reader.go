package replica

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/config/mirror"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

// reader takes what this daemon's own mirror of one kind reads.
type reader struct {
	replica *Replica
	kind    string
}

// Replace shares a whole list and marks what is not in it as deleted.
func (s *reader) Replace(objects []mirror.Object, at int64, afterOutage bool) {
	r := s.replica
	now := time.Now()
	r.mu.Lock()
	if afterOutage {
		r.quietUntil = now.Add(restless)
	}
	r.mu.Unlock()
	prefix := objectPrefix + s.kind + "/"
	present := map[string]bool{}
	var records []relay.Record
	for _, o := range objects {
		present[o.Name] = true
		records = append(records, s.record(mirror.Change{Object: o}))
	}
	for _, old := range r.gossip.Fleet().Prefix(prefix) {
		name := strings.TrimPrefix(old.Key, prefix)
		if !present[name] && isPresent(old) && revisionOf(old) <= at {
			o := mirror.Object{Name: name, Revision: revisionOf(old)}
			records = append(records, s.record(mirror.Change{Object: o, Deleted: true, MayReturn: s.lapsed(now)}))
		}
	}
	r.gossip.Publish(records...)
	s.read()
}

// Apply shares one change.
func (s *reader) Apply(c mirror.Change) {
	if c.Deleted {
		c.MayReturn = s.lapsed(time.Now())
		if old, ok := s.replica.gossip.Fleet().Get(objectPrefix + s.kind + "/" + c.Object.Name); ok {
			c.Object.Revision = max(c.Object.Revision, revisionOf(old))
		}
	}
	s.replica.gossip.Publish(s.record(c))
}

// Reading tells that the mirror of this kind is in touch with the store, or no longer.
func (s *reader) Reading(ok bool) {
	r := s.replica
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok {
		r.listed[s.kind] = false
		r.reading = false
	}
}

// read notes that this kind was listed; the replica is complete once all kinds are.
func (s *reader) read() {
	r := s.replica
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed[s.kind] = true
	for _, ok := range r.listed {
		if !ok {
			return
		}
	}
	if !r.reading {
		r.reading = true
		select {
		case r.complete <- struct{}{}:
		default:
		}
	}
	r.load()
}

func (s *reader) lapsed(now time.Time) bool {
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	return now.Before(s.replica.quietUntil)
}

// record orders a change: a deletion comes after the object's last revision and before the next.
func (s *reader) record(c mirror.Change) relay.Record {
	o := c.Object
	version := 2 * o.Revision
	if c.Deleted {
		version++
		o = mirror.Object{Name: o.Name, Revision: o.Revision}
	}
	body, err := proto.Marshal(&peerpb.StoredObject{
		Revision: o.Revision, Created: o.CreatedRevision, Spec: o.Spec, Status: o.Status, Deleted: c.Deleted, Lapsed: c.MayReturn,
	})
	if err != nil {
		body = nil // byte fields and numbers can always be encoded
	}
	return relay.Record{Key: objectPrefix + s.kind + "/" + o.Name, Version: version, Body: body}
}

func revisionOf(rec relay.Record) int64 { return rec.Version / 2 }

func isPresent(rec relay.Record) bool { return rec.Version%2 == 0 }
