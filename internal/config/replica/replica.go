package replica

import (
	"context"
	"encoding/binary"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/config/mirror"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

const (
	objectPrefix = "object/"
	beaconPrefix = "storeReader/"
	// beaconInterval is the time between beacons; three lost ones send a daemon to the store, well within the
	// seconds in which a change has to be known everywhere.
	beaconInterval = 500 * time.Millisecond
	silence        = 1600 * time.Millisecond
	// difference is how long a daemon's digest may differ from a reader's.
	difference = 1200 * time.Millisecond
	// restless is how long after the store's return an entry may be missing without being gone.
	restless = 2 * time.Second
)

// Gossip is what the replica needs of the replicated tables.
type Gossip interface {
	Fleet() *relay.Table
	MarkFrequent(prefix string)
	Publish(records ...relay.Record)
	PublishOwn(key string, m proto.Message) error
}

// Target takes the changes of one kind of objects.
type Target interface {
	Apply(c mirror.Change)
}

// Replica is this daemon's copy of the shared kinds.
type Replica struct {
	self   string
	gossip Gossip
	chosen func() bool
	// lagging reports whether something that is shared otherwise is late.
	lagging func() bool
	log     *event.Log

	// order is held while a change is handed on, so that targets see the changes of an object in their order.
	order sync.Mutex

	mu      sync.Mutex
	targets map[string]Target
	listed  map[string]bool
	// digest is the exclusive or over the hashes of all records.
	digest uint64
	hashes map[string]uint64
	// versions holds the newest version of each record that was handed on.
	versions map[string]int64
	// heard is when a beacon came, agreed when one with this daemon's digest did.
	heard, agreed time.Time
	beacon        uint64
	// quietUntil is the time until which a missing entry may come back.
	quietUntil time.Time
	loaded     chan struct{}
	reading    bool
}

// New returns an empty replica; chosen reports whether this daemon reads the store for others, lagging whether what
// is shared by other means than records is late.
func New(self string, gossip Gossip, chosen, lagging func() bool, log *event.Log) *Replica {
	r := &Replica{
		self: self, gossip: gossip, chosen: chosen, lagging: lagging, log: log, targets: map[string]Target{}, listed: map[string]bool{},
		hashes: map[string]uint64{}, versions: map[string]int64{}, loaded: make(chan struct{}),
	}
	gossip.MarkFrequent(beaconPrefix)
	gossip.Fleet().Subscribe(objectPrefix, r.applied)
	gossip.Fleet().Subscribe(beaconPrefix, r.heardBeacon)
	return r
}

// Follow shares a kind: its changes go to target, and the returned sink takes what this daemon reads itself.
func (r *Replica) Follow(kind string, target Target) mirror.Sink {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets[kind] = target
	r.listed[kind] = false
	return &reader{r, kind}
}

// applied passes a record that is new here on to its target. The table calls it without its lock, so that an
// older record of an object may come after a newer one.
func (r *Replica) applied(rec relay.Record) {
	kind, name, ok := strings.Cut(strings.TrimPrefix(rec.Key, objectPrefix), "/")
	var o peerpb.StoredObject
	if !ok || proto.Unmarshal(rec.Body, &o) != nil {
		r.log.Emit(event.PeerMessageWrong, "record", rec.Key)
		return
	}
	r.order.Lock()
	defer r.order.Unlock()
	if !r.count(rec) {
		return
	}
	r.mu.Lock()
	target := r.targets[kind]
	r.mu.Unlock()
	if target == nil {
		return
	}
	target.Apply(mirror.Change{
		Object:  mirror.Object{Name: name, Revision: o.GetRevision(), Created: o.GetCreated(), Spec: o.GetSpec(), Status: o.GetStatus()},
		Deleted: o.GetDeleted(), Lapsed: o.GetLapsed(),
	})
}

// count takes a record into the digest and reports whether it is newer than what was there.
func (r *Replica) count(rec relay.Record) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.versions[rec.Key] >= rec.Version {
		return false
	}
	r.versions[rec.Key] = rec.Version
	h := hash(rec)
	r.digest ^= r.hashes[rec.Key] ^ h
	r.hashes[rec.Key] = h
	r.note(time.Now())
	return true
}

// Count has the digest cover something that is shared by other means, by its name and revision.
func (r *Replica) Count(name string, revision int64) {
	r.count(relay.Record{Key: name, Version: revision})
}

func hash(rec relay.Record) uint64 {
	var version [8]byte
	binary.LittleEndian.PutUint64(version[:], uint64(rec.Version))
	h := xxhash.New()
	_, _ = h.WriteString(rec.Key)
	_, _ = h.Write(version[:])
	return h.Sum64()
}

// heardBeacon takes the digest of a daemon that reads the store.
func (r *Replica) heardBeacon(rec relay.Record) {
	var d peerpb.TableDigest
	if rec.Key == beaconPrefix+r.self || proto.Unmarshal(rec.Body, &d) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.heard, r.beacon = now, d.GetRoot()
	r.note(now)
}

// note looks whether this daemon agrees with the last beacon; r.mu is held.
func (r *Replica) note(now time.Time) {
	if r.heard.IsZero() || r.beacon != r.digest {
		return
	}
	r.agreed = now
	r.load()
}

// load marks the replica as complete for the first time; r.mu is held.
func (r *Replica) load() {
	select {
	case <-r.loaded:
	default:
		close(r.loaded)
	}
}

// Loaded is closed once everything is known that the store or a reader had.
func (r *Replica) Loaded() <-chan struct{} { return r.loaded }

// Active reports whether this daemon has to read the store itself.
func (r *Replica) Active() bool {
	chosen := r.chosen() || r.lagging()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	return chosen || now.Sub(r.heard) > silence || r.beacon != r.digest && now.Sub(r.agreed) > difference
}

// Wait returns when the daemon may have to read the store, or when ctx ends.
func (r *Replica) Wait(ctx context.Context) {
	for !r.Active() && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(beaconInterval / 2):
		}
	}
}

// Run publishes beacons while this daemon reads the store.
func (r *Replica) Run(ctx context.Context) error {
	ticker := time.NewTicker(beaconInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		r.mu.Lock()
		reading, digest := r.reading, r.digest
		r.mu.Unlock()
		if !reading || !r.chosen() {
			continue
		}
		if err := r.gossip.PublishOwn(beaconPrefix+r.self, &peerpb.TableDigest{Root: digest}); err != nil {
			r.log.Emit(event.PeerMessageWrong, "error", err.Error())
		}
	}
}

// Dump shows whether this daemon reads the store and when it last agreed with one that does.
func (r *Replica) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return struct {
		Objects int       `json:"objects"`
		Reading bool      `json:"reading"`
		Heard   time.Time `json:"heard"`
		Agreed  time.Time `json:"agreed"`
	}{len(r.hashes), r.reading, r.heard, r.agreed}
}
