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
// revision than the list get none, since another reader may have found them after the list was made.
func (s *localSink) Replace(objects []mirror.Object, revision int64, afterOutage bool) {
	r := s.replica
	now := time.Now()
	r.mu.Lock()
	if afterOutage {
		r.mayReturnUntil = now.Add(mayReturnWindow)
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
		if !present[name] && isPresent(old) && revisionOf(old) <= revision {
			o := mirror.Object{Name: name, Revision: revisionOf(old)}
			records = append(records, s.record(mirror.Change{Object: o, Deleted: true, MayReturn: s.mayReturn(now)}))
		}
	}
	r.gossip.Publish(records...)
	s.Reading(true)
}

// Apply publishes one change. A deletion gets at least the revision of the known record, which its tombstone has to
// replace.
func (s *localSink) Apply(c mirror.Change) {
	if c.Deleted {
		c.MayReturn = s.mayReturn(time.Now())
		if old, ok := s.replica.gossip.Fleet().Get(objectPrefix + s.kind + "/" + c.Object.Name); ok {
			c.Object.Revision = max(c.Object.Revision, revisionOf(old))
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
// next.
func (s *localSink) record(c mirror.Change) relay.Record {
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
		body = nil // unreachable: byte fields and numbers always encode
	}
	return relay.Record{Key: objectPrefix + s.kind + "/" + o.Name, Version: version, Body: body}
}

func revisionOf(rec relay.Record) int64 { return rec.Version / 2 }

func isPresent(rec relay.Record) bool { return rec.Version%2 == 0 }
