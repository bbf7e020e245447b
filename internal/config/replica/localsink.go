package replica

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/config/mirror"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

// localSink publishes the objects of one kind that this daemon's own mirror reads.
type localSink struct {
	replica *Replica
	kind    string
}

// Replace publishes a complete list, and a tombstone for each known object that is not in it. Objects with a later
// position than the list get none, since another reader may have found them after the list was made.
func (s *localSink) Replace(objects []mirror.Object, at mirror.Position, afterOutage bool) {
	r := s.replica
	now := time.Now()
	r.recordEra(s.kind, at, afterOutage)
	prefix := objectPrefix + s.kind + "/"
	present := map[string]bool{}
	var records []relay.Record
	for _, o := range objects {
		present[o.Name] = true
		records = append(records, s.record(mirror.Change{Object: o}))
	}
	for _, old := range r.gossip.Fleet().Prefix(prefix) {
		name := strings.TrimPrefix(old.Key, prefix)
		if present[name] || !isPresent(old) {
			continue
		}
		if c, missing := s.missing(name, positionOf(old), at, now); missing {
			records = append(records, s.record(c))
		}
	}
	r.gossip.Publish(records...)
	s.Reading(true)
}

// missing returns the deletion of an object that is not in a list, unless the object is newer than the list. An object of
// an earlier era may have been written after the copy from which the store was restored, and may be written again. Its
// tombstone has revision 0, so that any list of the new era that has the object replaces it.
func (s *localSink) missing(name string, old, at mirror.Position, now time.Time) (mirror.Change, bool) {
	switch {
	case old.Era < at.Era:
		return mirror.Change{Object: mirror.Object{Name: name, Era: at.Era}, Deleted: true, MayReturn: true}, true
	case old.Era == at.Era && old.Revision <= at.Revision:
		return mirror.Change{Object: mirror.Object{Name: name, Era: old.Era, Revision: old.Revision}, Deleted: true, MayReturn: s.mayReturn(now)}, true
	default:
		return mirror.Change{}, false
	}
}

// Apply publishes one change. A deletion gets at least the revision of the known record of its era, which its tombstone
// has to replace.
func (s *localSink) Apply(c mirror.Change) {
	if c.Deleted {
		c.MayReturn = s.mayReturn(time.Now())
		old, ok := s.replica.gossip.Fleet().Get(objectPrefix + s.kind + "/" + c.Object.Name)
		if at := positionOf(old); ok && at.Era == c.Object.Era {
			c.Object.Revision = max(c.Object.Revision, at.Revision)
		}
	}
	s.replica.gossip.Publish(s.record(c))
}

// Reading records whether the mirror of this kind follows the store.
func (s *localSink) Reading(ok bool) { s.replica.recordReading(s.kind, ok) }

// recordReading records whether a mirror follows the store. Once all kinds are followed, the replica is loaded.
func (r *Replica) recordReading(kind string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed[kind] = ok
	if !ok {
		r.reading = false
		return
	}
	for _, ok := range r.listed {
		if !ok {
			return
		}
	}
	if !r.reading {
		r.reading = true
		select {
		case r.allListed <- struct{}{}:
		default:
		}
	}
	r.markLoaded()
}

// trackedSink is the sink of a kind that is not shared by records; see [Replica.Track].
type trackedSink struct {
	mirror.Sink
	replica *Replica
	kind    string
}

// Replace records the era of the list and passes it on.
func (s *trackedSink) Replace(objects []mirror.Object, at mirror.Position, afterOutage bool) {
	s.replica.recordEra(s.kind, at, afterOutage)
	s.Sink.Replace(objects, at, afterOutage)
}

// Reading records whether the mirror of this kind follows the store.
func (s *trackedSink) Reading(ok bool) {
	s.Sink.Reading(ok)
	s.replica.recordReading(s.kind, ok)
}

func (s *localSink) mayReturn(now time.Time) bool {
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	return now.Before(s.replica.mayReturnUntil)
}

// record encodes a change as a gossip record; a tombstone's version is after the object's last revision and before the
// next. The field lapsed of an object that is present says that it may come from the copy of a restored store.
func (s *localSink) record(c mirror.Change) relay.Record {
	o := c.Object
	at := mirror.Position{Era: o.Era, Revision: o.Revision}
	mark := s.replica.mayBeRestored(at)
	if c.Deleted {
		mark = c.MayReturn
		o = mirror.Object{Name: o.Name, Era: o.Era, Revision: o.Revision}
	}
	body, err := proto.Marshal(&peerpb.StoredObject{
		Revision: o.Revision, Created: o.CreatedRevision, Spec: o.Spec, Status: o.Status, Deleted: c.Deleted, Lapsed: mark, Era: o.Era,
	})
	if err != nil {
		body = nil // unreachable: byte fields and numbers always encode
	}
	return relay.Record{Key: objectPrefix + s.kind + "/" + o.Name, Version: at.Version(c.Deleted), Body: body}
}

// positionOf returns the position of a record's object; that of a record that can't be read is zero.
func positionOf(rec relay.Record) mirror.Position {
	var o peerpb.StoredObject
	if proto.Unmarshal(rec.Body, &o) != nil {
		return mirror.Position{}
	}
	return mirror.Position{Era: o.GetEra(), Revision: o.GetRevision()}
}

func isPresent(rec relay.Record) bool { return rec.Version%2 == 0 }
