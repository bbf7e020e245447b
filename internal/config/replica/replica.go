package replica

import (
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
	// substitutePrefix marks the beacons of substitutes: daemons that read the store because no reader does.
	substitutePrefix = "substitute/"
	// beaconInterval is the time between beacons.
	beaconInterval = 500 * time.Millisecond
	// beaconOrderTolerance is how much older than the newest known one a beacon's time of contact may be. The beacons of
	// readers that have lost the store would otherwise hide that this daemon differs from one that has not.
	beaconOrderTolerance = beaconInterval
	// gatePollInterval is how often a daemon that does not read the store checks whether it has to.
	gatePollInterval = 200 * time.Millisecond
	// ownReadTime is the part of Options.ApplyWithin that a daemon needs to read the store itself: firstReadSpread,
	// gatePollInterval, and a list.
	ownReadTime = 1200 * time.Millisecond
	// firstReadSpread is the range of the random delay before a daemon reads a store that no reader has heard for too
	// long. The first one that succeeds tells the others.
	firstReadSpread = 300 * time.Millisecond
	// digestMismatchTimeout is how long a daemon's digest may differ from a reader's before it reads the store itself.
	digestMismatchTimeout = 1200 * time.Millisecond
	// startupPeerWait is how long a starting daemon waits for its peers to send the store's objects: two round trips
	// between regions and the transfer of a table.
	startupPeerWait = 350 * time.Millisecond
	// fleetProbeInterval is the mean time between calls, by all daemons that are not readers together, to a store that
	// no reader reaches.
	fleetProbeInterval = 80 * time.Millisecond
	// maxProbeDelayDivisor sets the longest delay between two such calls of one daemon, which may be the only one that
	// reaches the store: Options.ApplyWithin divided by maxProbeDelayDivisor.
	maxProbeDelayDivisor = 2
	// mayReturnWindow is how long after the store's recovery an object may be missing without having been deleted.
	mayReturnWindow = 2 * time.Second
)

// Gossip is the part of the gossip tables that a [Replica] uses.
type Gossip interface {
	Fleet() *relay.Table
	MarkFrequent(prefix string)
	Publish(records ...relay.Record)
	PublishOwn(key string, m proto.Message) error
}

// Target receives the changes of one kind of objects.
type Target interface {
	Apply(c mirror.Change)
}

// Replica is this daemon's copy of the shared objects.
type Replica struct {
	self   string
	gossip Gossip
	opts   Options
	log    *event.Log
	// waitForPeersUntil is the time until which a starting daemon leaves reading the store to its peers.
	waitForPeersUntil time.Time

	// deliveryMu is held while a change is passed to its target, so that targets see the changes of an object in order.
	deliveryMu sync.Mutex

	mu      sync.Mutex
	targets map[string]Target
	listed  map[string]bool
	// digest is the XOR of all hashes. hashes maps the key of each record to a hash of its key and version.
	digest uint64
	hashes map[string]uint64
	// versions holds the newest version of each record that was delivered.
	versions map[string]int64
	// readersContact is the newest LastContact of the daemons that read the store for others, by their beacons.
	readersContact time.Time
	// beaconDigest is the digest in the last beacon that counted; lastAgreement is when this daemon's digest last
	// equalled it.
	lastAgreement time.Time
	beaconDigest  uint64
	// listedEra is that of this daemon's own lists, eras the newest era known of each kind.
	listedEra storeEra
	eras      map[string]int64
	// mayReturnUntil is the time until which a missing object may return.
	mayReturnUntil time.Time
	loaded         chan struct{}
	// reading is true while this daemon's own mirrors have listed all kinds and follow them.
	reading bool
	// allListed requests a beacon once this daemon has listed all kinds.
	allListed chan struct{}
	// why is the reason to read the store at the last call of Active.
	why readReason
	// nextProbe is when a daemon calls a store that no reader has heard for too long. It is zero again once a reader has
	// heard it and this daemon has agreed with that reader: what a reader has found may take too long to arrive.
	nextProbe time.Time
}

// Options gives a replica access to the state of its daemon and of the fleet.
type Options struct {
	// IsReader reports whether this daemon reads the store for others.
	IsReader func() bool
	// ConfigLagging reports whether the configuration, which is not shared by records, has been older than a peer's for
	// too long.
	ConfigLagging func() bool
	// LiveDaemons returns the number of live daemons.
	LiveDaemons func() int
	// LastContact returns the time up to which this daemon has itself read the store's changes and applied them; zero if
	// the store never answered it.
	LastContact func() time.Time
	// ApplyWithin is the time within which a change has to be in force on each daemon that the store answers, whether or
	// not it answers any reader.
	ApplyWithin time.Duration
	// Seed is true for a daemon that others contact when they start; it reads the store without waiting for peers.
	Seed bool
}

// New returns an empty replica.
func New(self string, gossip Gossip, opts Options, log *event.Log) *Replica {
	r := &Replica{
		self: self, gossip: gossip, opts: opts, log: log, targets: map[string]Target{}, listed: map[string]bool{},
		hashes: map[string]uint64{}, versions: map[string]int64{}, eras: map[string]int64{}, loaded: make(chan struct{}), allListed: make(chan struct{}, 1),
	}
	if !opts.Seed {
		r.waitForPeersUntil = time.Now().Add(startupPeerWait)
	}
	gossip.MarkFrequent(beaconPrefix)
	gossip.Fleet().Subscribe(objectPrefix, r.handleObject)
	gossip.Fleet().Subscribe(beaconPrefix, r.handleBeacon)
	return r
}

// Track registers a kind of objects that the daemons share by other means than records. The returned sink passes all to
// the given one; this daemon counts as reading the store only while it follows the kind.
func (r *Replica) Track(kind string, sink mirror.Sink) mirror.Sink {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed[kind] = false
	return &trackedSink{sink, r, kind}
}

// Follow registers a kind of objects to share: target receives its changes, whichever daemon read them, and the returned
// sink publishes those that this daemon's own mirror reads.
func (r *Replica) Follow(kind string, target Target) mirror.Sink {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets[kind] = target
	r.listed[kind] = false
	return &localSink{r, kind}
}

// handleObject passes a record to its target unless a newer one was delivered. The table calls it without holding its
// lock, so an older record of an object may arrive after a newer one.
func (r *Replica) handleObject(rec relay.Record) {
	kind, name, ok := strings.Cut(strings.TrimPrefix(rec.Key, objectPrefix), "/")
	var o peerpb.StoredObject
	if !ok || proto.Unmarshal(rec.Body, &o) != nil {
		r.log.Emit(event.PeerMessageWrong, "record", rec.Key)
		return
	}
	r.deliveryMu.Lock()
	defer r.deliveryMu.Unlock()
	if !r.addRecord(rec) {
		return
	}
	r.mu.Lock()
	target := r.targets[kind]
	r.noteEra(kind, mirror.Position{Era: o.GetEra(), Revision: o.GetRevision()})
	r.mu.Unlock()
	if target == nil {
		return
	}
	target.Apply(mirror.Change{
		Object: mirror.Object{
			Name: name, Era: o.GetEra(), Revision: o.GetRevision(), CreatedRevision: o.GetCreated(), Spec: o.GetSpec(), Status: o.GetStatus(),
		},
		Deleted: o.GetDeleted(), MayReturn: o.GetDeleted() && o.GetLapsed(), Restored: !o.GetDeleted() && o.GetLapsed(),
	})
}

// addRecord includes a record in the digest and reports whether it is newer than the one included before.
func (r *Replica) addRecord(rec relay.Record) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.versions[rec.Key] >= rec.Version {
		return false
	}
	r.versions[rec.Key] = rec.Version
	h := hashRecord(rec)
	r.digest ^= r.hashes[rec.Key] ^ h
	r.hashes[rec.Key] = h
	r.checkAgreement(time.Now())
	return true
}

// AddToDigest includes the revision of something that is shared by other means than records in the digest.
func (r *Replica) AddToDigest(name string, revision int64) {
	r.addRecord(relay.Record{Key: name, Version: revision})
}

func hashRecord(rec relay.Record) uint64 {
	var version [8]byte
	binary.LittleEndian.PutUint64(version[:], uint64(rec.Version))
	h := xxhash.New()
	_, _ = h.WriteString(rec.Key)
	_, _ = h.Write(version[:])
	return h.Sum64()
}

// checkAgreement compares this daemon's digest with the last beacon; r.mu is held.
func (r *Replica) checkAgreement(now time.Time) {
	if r.readersContact.IsZero() || r.beaconDigest != r.digest {
		return
	}
	r.lastAgreement = now
	if !r.isContactOld(now) {
		r.nextProbe = time.Time{}
	}
	r.markLoaded()
}

// markLoaded closes loaded if it is open; r.mu is held.
func (r *Replica) markLoaded() {
	select {
	case <-r.loaded:
	default:
		close(r.loaded)
	}
}

// Loaded is closed once this daemon has read all kinds from the store or has agreed with a reader's digest.
func (r *Replica) Loaded() <-chan struct{} { return r.loaded }

// Dump shows whether this daemon reads the store and when its digest last agreed with a reader's.
func (r *Replica) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	var newest int64
	for _, era := range r.eras {
		newest = max(newest, era)
	}
	return struct {
		Objects int       `json:"objects"`
		Reading bool      `json:"reading"`
		Why     string    `json:"why"`
		Era     int64     `json:"era"`
		Own     time.Time `json:"ownContact"`
		Readers time.Time `json:"readersContact"`
		Agreed  time.Time `json:"agreed"`
	}{len(r.hashes), r.reading, string(r.why), newest, r.opts.LastContact(), r.readersContact, r.lastAgreement}
}
