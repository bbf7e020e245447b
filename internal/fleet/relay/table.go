package relay

import (
	"encoding/binary"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// Names of the tables.
const (
	FleetTable = "fleet"
	ZoneTable  = "zone"
)

// bucketCount is the number of buckets that keys are hashed to; two tables are compared by a digest per bucket.
const bucketCount = 32

// Record is one versioned entry of a table. It must not be modified after it is published.
type Record struct {
	Key     string
	Version int64
	Body    []byte
}

// Table holds records by key; a record is replaced only by one with a higher version.
type Table struct {
	name string

	mu            sync.RWMutex
	records       map[string]Record
	buckets       [bucketCount]uint64
	bytes         int
	subscriptions []subscription
	// undigestedPrefixes holds the key prefixes of records that are left out of the digests.
	undigestedPrefixes []string
}

type subscription struct {
	prefix string
	fn     func(Record)
}

// NewTable returns an empty table.
func NewTable(name string) *Table {
	return &Table{name: name, records: map[string]Record{}}
}

// Subscribe calls fn for every changed record with the given key prefix that is applied from now on. Calls are made
// synchronously by Apply, without the table's lock.
func (t *Table) Subscribe(prefix string, fn func(Record)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subscriptions = append(t.subscriptions, subscription{prefix, fn})
}

// Apply stores the records that are newer than the held ones, notifies subscribers and returns the stored records.
func (t *Table) Apply(records ...Record) []Record {
	var changed []Record
	t.mu.Lock()
	for _, r := range records {
		if t.replaceIfNewer(r) {
			changed = append(changed, r)
		}
	}
	subscriptions := t.subscriptions
	t.mu.Unlock()
	for _, r := range changed {
		for _, s := range subscriptions {
			if strings.HasPrefix(r.Key, s.prefix) {
				s.fn(r)
			}
		}
	}
	return changed
}

func (t *Table) replaceIfNewer(r Record) bool {
	old, ok := t.records[r.Key]
	if ok && old.Version >= r.Version {
		return false
	}
	b := bucketOf(r.Key)
	if ok {
		t.buckets[b] ^= t.recordDigest(old)
		t.bytes -= len(old.Key) + len(old.Body)
	}
	t.buckets[b] ^= t.recordDigest(r)
	t.bytes += len(r.Key) + len(r.Body)
	t.records[r.Key] = r
	return true
}

// Remove deletes records. It is meant for keys that no daemon publishes any more: a sync with a daemon
// that still holds such a record brings it back.
func (t *Table) Remove(keys ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range keys {
		if old, ok := t.records[k]; ok {
			t.buckets[bucketOf(k)] ^= t.recordDigest(old)
			t.bytes -= len(old.Key) + len(old.Body)
			delete(t.records, k)
		}
	}
}

// Get returns the record of a key, if there is one.
func (t *Table) Get(key string) (Record, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.records[key]
	return r, ok
}

// Prefix returns the records with the given key prefix, ordered by key.
func (t *Table) Prefix(prefix string) []Record {
	t.mu.RLock()
	var out []Record
	for k, r := range t.records {
		if strings.HasPrefix(k, prefix) {
			out = append(out, r)
		}
	}
	t.mu.RUnlock()
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Size returns the number of records and the total length of their keys and bodies.
func (t *Table) Size() (records, bytes int) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.records), t.bytes
}

// Buckets returns the digest of each bucket.
func (t *Table) Buckets() []uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Clone(t.buckets[:])
}

// Root returns one digest over all buckets.
func (t *Table) Root() uint64 {
	var buf []byte
	for _, b := range t.Buckets() {
		buf = binary.LittleEndian.AppendUint64(buf, b)
	}
	return xxhash.Sum64(buf)
}

// diffBuckets returns the buckets whose digests differ from theirs, with the keys and versions held in them here.
func (t *Table) diffBuckets(theirs []uint64) *peerpb.SyncResponse {
	t.mu.RLock()
	defer t.mu.RUnlock()
	resp := &peerpb.SyncResponse{}
	differs := map[int]bool{}
	for i := range t.buckets {
		if i >= len(theirs) || theirs[i] != t.buckets[i] {
			differs[i] = true
			resp.Buckets = append(resp.Buckets, uint32(i))
		}
	}
	for k, r := range t.records {
		if differs[bucketOf(k)] {
			resp.Keys = append(resp.Keys, &peerpb.KeyVersion{Key: k, Version: r.Version})
		}
	}
	return resp
}

// planSync returns the keys to pull from a peer and the records to push to it, given the peer's response to a sync request.
func (t *Table) planSync(resp *peerpb.SyncResponse) (pull []string, push []Record) {
	theirs := map[string]int64{}
	for _, k := range resp.GetKeys() {
		theirs[k.GetKey()] = k.GetVersion()
	}
	differs := map[int]bool{}
	for _, b := range resp.GetBuckets() {
		differs[int(b)] = true
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	for k, v := range theirs {
		if own, ok := t.records[k]; !ok || own.Version < v {
			pull = append(pull, k)
		}
	}
	for k, r := range t.records {
		if v, ok := theirs[k]; differs[bucketOf(k)] && (!ok || v < r.Version) {
			push = append(push, r)
		}
	}
	slices.Sort(pull)
	return pull, push
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

// excludeFromDigest leaves records with the given key prefix out of the digests. It must be called before such
// records are applied.
//
// These records change so often that the digests of two tables would hardly ever be equal. Lost ones need no
// repair, since they are published again soon; a daemon that joins gets them in its first sync.
func (t *Table) excludeFromDigest(prefix string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.undigestedPrefixes = append(t.undigestedPrefixes, prefix)
}

// recordDigest returns the hash that is XORed into the digest of a record's bucket, 0 for an excluded prefix. Callers
// hold t.mu.
func (t *Table) recordDigest(r Record) uint64 {
	if slices.ContainsFunc(t.undigestedPrefixes, func(p string) bool { return strings.HasPrefix(r.Key, p) }) {
		return 0
	}
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], uint64(r.Version))
	h := xxhash.New()
	_, _ = h.WriteString(r.Key)
	_, _ = h.Write(buf[:])
	return h.Sum64()
}
