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

// bucketCount is the number of digests by which two tables are compared.
const bucketCount = 32

// Record is one versioned entry; records are not changed after they are published.
type Record struct {
	Key     string
	Version int64
	Body    []byte
}

// Table holds records by key; only a higher version replaces a record.
type Table struct {
	name string

	mu      sync.RWMutex
	records map[string]Record
	buckets [bucketCount]uint64
	bytes   int
	watch   []subscription
	// frequent holds the prefixes of records that are left out of the digests.
	frequent []string
}

type subscription struct {
	prefix string
	fn     func(Record)
}

// NewTable returns an empty table.
func NewTable(name string) *Table {
	return &Table{name: name, records: map[string]Record{}}
}

// Subscribe calls fn for every record under a prefix that is applied from now on, in the applying goroutine.
func (t *Table) Subscribe(prefix string, fn func(Record)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watch = append(t.watch, subscription{prefix, fn})
}

// Apply takes the records that are newer than those held and returns them.
func (t *Table) Apply(records ...Record) []Record {
	var changed []Record
	t.mu.Lock()
	for _, r := range records {
		if t.replace(r) {
			changed = append(changed, r)
		}
	}
	watch := t.watch
	t.mu.Unlock()
	for _, r := range changed {
		for _, s := range watch {
			if strings.HasPrefix(r.Key, s.prefix) {
				s.fn(r)
			}
		}
	}
	return changed
}

func (t *Table) replace(r Record) bool {
	old, ok := t.records[r.Key]
	if ok && old.Version >= r.Version {
		return false
	}
	b := bucketOf(r.Key)
	if ok {
		t.buckets[b] ^= t.digest(old)
		t.bytes -= len(old.Key) + len(old.Body)
	}
	t.buckets[b] ^= t.digest(r)
	t.bytes += len(r.Key) + len(r.Body)
	t.records[r.Key] = r
	return true
}

// Remove forgets records; it is for keys that no daemon publishes any more.
func (t *Table) Remove(keys ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range keys {
		if old, ok := t.records[k]; ok {
			t.buckets[bucketOf(k)] ^= t.digest(old)
			t.bytes -= len(old.Key) + len(old.Body)
			delete(t.records, k)
		}
	}
}

// Get returns the record of a key.
func (t *Table) Get(key string) (Record, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.records[key]
	return r, ok
}

// Prefix returns the records under a prefix, by key.
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

// Size returns the number of records and their bytes.
func (t *Table) Size() (records, bytes int) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.records), t.bytes
}

// Buckets returns the digests of all buckets.
func (t *Table) Buckets() []uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Clone(t.buckets[:])
}

// Root returns one digest of the whole table.
func (t *Table) Root() uint64 {
	var buf []byte
	for _, b := range t.Buckets() {
		buf = binary.LittleEndian.AppendUint64(buf, b)
	}
	return xxhash.Sum64(buf)
}

// compare answers a sync request: which buckets differ, and what stands in them here.
func (t *Table) compare(theirs []uint64) *peerpb.SyncResponse {
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

// split says which keys to pull and which records to push after a comparison.
func (t *Table) split(resp *peerpb.SyncResponse) (pull []string, push []Record) {
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

// leaveOut keeps records under a prefix out of the digests; it must precede such records.
//
// They change all the time, so that two tables would hardly ever be alike, and are
// published again soon; a daemon that is new gets them with the rest of its first exchange.
func (t *Table) leaveOut(prefix string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.frequent = append(t.frequent, prefix)
}

// digest is what a record adds to its bucket; t.mu is held.
func (t *Table) digest(r Record) uint64 {
	if slices.ContainsFunc(t.frequent, func(p string) bool { return strings.HasPrefix(r.Key, p) }) {
		return 0
	}
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], uint64(r.Version))
	h := xxhash.New()
	_, _ = h.WriteString(r.Key)
	_, _ = h.Write(buf[:])
	return h.Sum64()
}
