package distribute

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/external/store"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
	"github.com/pollencourse/pollencourse/internal/fleet/relay"
)

const (
	// storePrefix is the prefix of templates in the store.
	storePrefix = "templates/"
	// seenKey is the fleet table's mark of the last contact with the store.
	seenKey = "storeSeen"
	// resyncInterval is how often a watcher compares versions, in case the watch lost an event.
	resyncInterval = 3 * time.Second
	seenInterval   = 2 * time.Second
	maxRetryDelay  = 2 * time.Second
)

// Objects is what the distribution needs of the store.
type Objects interface {
	Get(ctx context.Context, key string) (store.Object, error)
	Create(ctx context.Context, key string, body []byte) (int64, error)
	Update(ctx context.Context, key string, body []byte, version int64) (int64, error)
	ListVersions(ctx context.Context, prefix string) (store.Page, error)
	ListAll(ctx context.Context, prefix string) (store.Page, error)
	Watch(ctx context.Context, prefix string, from int64, fn func(store.Object)) error
}

// Gossip is what the distribution needs of the replicated tables.
type Gossip interface {
	Fleet() *relay.Table
	Zone() *relay.Table
	MarkFrequent(prefix string)
	Publish(records ...relay.Record)
	PublishOwn(key string, m proto.Message) error
	Report(key string, m proto.Message) error
}

// Watcher feeds the fleet table from the store while this daemon is chosen for it.
type Watcher struct {
	objects Objects
	gossip  Gossip
	chosen  func() bool
	log     *event.Log

	mu       sync.Mutex
	lastSeen time.Time
	read     bool
	behind   map[string]bool
}

// NewWatcher returns a watcher that works while chosen reports true.
func NewWatcher(objects Objects, gossip Gossip, chosen func() bool, log *event.Log) *Watcher {
	w := &Watcher{objects: objects, gossip: gossip, chosen: chosen, log: log, behind: map[string]bool{}}
	gossip.MarkFrequent(seenKey)
	gossip.Fleet().Subscribe(seenKey, func(relay.Record) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.lastSeen = time.Now()
	})
	return w
}

// SinceStoreContact returns how long ago any daemon that reaches this one was in contact with the store.
func (w *Watcher) SinceStoreContact() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.lastSeen)
}

// HasRead reports whether this daemon itself has read all templates from the store.
func (w *Watcher) HasRead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.read
}

// Run watches the store until ctx ends; a daemon that is not chosen reads it once at its start.
func (w *Watcher) Run(ctx context.Context) error {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = maxRetryDelay
	for ctx.Err() == nil {
		if w.chosen() || !w.HasRead() {
			if err := w.follow(ctx); err == nil {
				b.Reset()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(b.NextBackOff()):
		}
	}
	return nil
}

// follow reads all templates, then takes changes from a watch and compares versions now and then.
func (w *Watcher) follow(ctx context.Context) error {
	revision, err := w.resync(ctx)
	if err != nil || !w.chosen() {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go w.compare(ctx, cancel)
	return w.objects.Watch(ctx, storePrefix, revision, func(o store.Object) {
		w.publish(o)
		w.markSeen()
	})
}

// compare resyncs until the store fails or this daemon is not chosen any more.
func (w *Watcher) compare(ctx context.Context, cancel func()) {
	defer cancel()
	ticker := time.NewTicker(seenInterval)
	defer ticker.Stop()
	last := time.Now()
	for w.chosen() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if time.Since(last) < resyncInterval && w.SinceStoreContact() < seenInterval {
			continue
		}
		last = time.Now()
		if _, err := w.resync(ctx); err != nil {
			return
		}
	}
}

// resync compares versions and reads the templates that are newer in the store.
func (w *Watcher) resync(ctx context.Context) (int64, error) {
	page, err := w.objects.ListVersions(ctx, storePrefix)
	if err != nil {
		return 0, err
	}
	for _, o := range page.Items {
		if err := w.readNewer(ctx, o); err != nil {
			return 0, err
		}
	}
	w.markSeen()
	w.mu.Lock()
	w.read = true
	w.mu.Unlock()
	return page.Revision, nil
}

func (w *Watcher) readNewer(ctx context.Context, o store.Object) error {
	have, ok := w.gossip.Fleet().Get(templateKey(o.Key))
	if ok && have.Version >= o.Version {
		w.noteOlder(o, have.Version)
		return nil
	}
	full, err := w.objects.Get(ctx, o.Key)
	if err != nil {
		return err
	}
	w.publish(full)
	return nil
}

// noteOlder raises an alarm once for each object that the store shows older than it was.
func (w *Watcher) noteOlder(o store.Object, have int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if have == o.Version {
		delete(w.behind, o.Key)
		return
	}
	if !w.behind[o.Key] {
		w.behind[o.Key] = true
		w.log.Emit(event.StoreWentBack, "key", o.Key, "storeVersion", o.Version, "seenVersion", have)
	}
}

// publish passes a template on; a deletion is ignored, since a configuration never reverts.
func (w *Watcher) publish(o store.Object) {
	if o.Deleted {
		return
	}
	w.gossip.Publish(relay.Record{Key: templateKey(o.Key), Version: o.Version, Body: o.Body})
}

func (w *Watcher) markSeen() {
	if w.SinceStoreContact() < seenInterval {
		return
	}
	_ = w.gossip.PublishOwn(seenKey, &peerpb.KeyVersion{Key: seenKey})
}

func templateKey(storeKey string) string {
	return templatePrefix + strings.TrimPrefix(storeKey, storePrefix)
}

// Dump shows the last contact with the store.
func (w *Watcher) Dump() any {
	return struct {
		Chosen      bool    `json:"chosen"`
		Read        bool    `json:"read"`
		SecondsSeen float64 `json:"secondsSinceStoreSeen"`
	}{w.chosen(), w.HasRead(), w.SinceStoreContact().Seconds()}
}
