package replica

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
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
	// substitute marks the beacons of daemons that read the store because no chosen one does.
	substitute = "substitute/"
	// beaconInterval is the time between beacons; three lost ones send a daemon to the store, well within the
	// seconds in which a change has to be known everywhere.
	beaconInterval = 500 * time.Millisecond
	// gatePoll is how often a daemon that does not read the store looks whether it has to.
	gatePoll = 200 * time.Millisecond
	silence  = 1600 * time.Millisecond
	// difference is how long a daemon's digest may differ from a reader's.
	difference = 1200 * time.Millisecond
	// patience is how long a daemon that has just started lets its peers tell what the store holds: two round trips
	// between regions and the copy of a table.
	patience = 350 * time.Millisecond
	// probeInterval is the time between two tries at a store that no reader reaches, by all daemons together that are
	// not chosen to read it.
	probeInterval = 80 * time.Millisecond
	// longestProbe bounds the mean time between two tries of one daemon, which may be the only one that reaches the
	// store.
	longestProbe = 4 * time.Second
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
	opts   Options
	log    *event.Log
	// patient is the time until which peers may tell what the store holds.
	patient time.Time

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
	// complete asks for a beacon once this daemon has read all kinds.
	complete chan struct{}
	// nextProbe is when a daemon that hears no reader tries the store itself; zero while it hears one.
	nextProbe time.Time
}

// Options says what a replica knows of its daemon and of the fleet.
type Options struct {
	// Chosen reports whether this daemon reads the store for others.
	IsReader func() bool
	// Lagging reports whether what is shared by other means than records is late.
	ConfigLagging func() bool
	// Live returns the number of live daemons.
	LiveDaemons func() int
	// First is true for a daemon that others turn to when they start: it reads the store at once.
	Seed bool
}

// New returns an empty replica.
func New(self string, gossip Gossip, opts Options, log *event.Log) *Replica {
	r := &Replica{
		self: self, gossip: gossip, opts: opts, log: log, targets: map[string]Target{}, listed: map[string]bool{},
		hashes: map[string]uint64{}, versions: map[string]int64{}, loaded: make(chan struct{}), complete: make(chan struct{}, 1),
	}
	if !opts.Seed {
		r.patient = time.Now().Add(patience)
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
		Object:  mirror.Object{Name: name, Revision: o.GetRevision(), CreatedRevision: o.GetCreated(), Spec: o.GetSpec(), Status: o.GetStatus()},
		Deleted: o.GetDeleted(), MayReturn: o.GetLapsed(),
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

// AddToDigest includes the revision of something that is not shared as a record of the store in the digest.
func (r *Replica) AddToDigest(name string, revision int64) {
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
	from, ofSubstitute := strings.CutPrefix(strings.TrimPrefix(rec.Key, beaconPrefix), substitute)
	var d peerpb.TableDigest
	if from == r.self || proto.Unmarshal(rec.Body, &d) != nil {
		return
	}
	chosen := r.opts.IsReader()
	r.mu.Lock()
	defer r.mu.Unlock()
	if ofSubstitute && r.reading && !chosen && r.self < from {
		return // of several substitutes the one with the lowest ID goes on
	}
	now := time.Now()
	r.heard, r.beacon, r.nextProbe = now, d.GetRoot(), time.Time{}
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
	chosen := r.opts.IsReader() || r.opts.ConfigLagging()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch {
	case now.Before(r.patient):
		return false
	case chosen:
		return true
	case now.Sub(r.heard) > silence:
		return r.reading || r.probes(now)
	default:
		return r.beacon != r.digest && now.Sub(r.agreed) > difference
	}
}

// probes reports whether it is this daemon's turn to try the store that no reader reaches; r.mu is held.
func (r *Replica) probes(now time.Time) bool {
	if r.nextProbe.IsZero() && !r.heard.IsZero() {
		r.nextProbe = now.Add(r.probePause())
	}
	return !now.Before(r.nextProbe)
}

// probePause spreads the tries of the daemons so that their rate grows with the fleet only beyond longestProbe.
func (r *Replica) probePause() time.Duration {
	return rand.N(2 * min(time.Duration(max(1, r.opts.LiveDaemons()))*probeInterval, longestProbe))
}

// Failed notes that the store did not answer; a daemon that is not chosen leaves the next tries to others.
func (r *Replica) Failed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextProbe = time.Now().Add(r.probePause())
}

// Wait returns when the daemon may have to read the store, or when ctx ends.
func (r *Replica) Wait(ctx context.Context) {
	for !r.Active() && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(gatePoll):
		}
	}
}

// Run publishes beacons while this daemon reads the store, the first one as soon as it has read everything.
func (r *Replica) Run(ctx context.Context) error {
	ticker := time.NewTicker(beaconInterval)
	defer ticker.Stop()
	stood := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-r.complete:
		}
		chosen := r.opts.IsReader()
		r.mu.Lock()
		digest, heard := r.digest, r.heard
		stands := r.reading && !chosen && time.Since(heard) > silence
		reads := r.reading && chosen || stands
		r.mu.Unlock()
		if stands && !stood {
			r.log.Emit(event.ReaderReplaced, "lastReaderHeard", heard)
		}
		stood = stands
		if !reads {
			continue
		}
		key := beaconPrefix + r.self
		if stands {
			key = beaconPrefix + substitute + r.self
		}
		if err := r.gossip.PublishOwn(key, &peerpb.TableDigest{Root: digest}); err != nil {
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
