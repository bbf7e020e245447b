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
	// storeSeenKey is the key of the fleet table's record that watchers refresh while they are in contact with the store.
	storeSeenKey = "storeSeen"
	// resyncInterval is how often a watcher compares the versions of all templates, in case its watch lost an event.
	resyncInterval = 3 * time.Second
	// storeSeenInterval is the shortest time between refreshes of the storeSeen record by all watchers together.
	storeSeenInterval = 2 * time.Second
	maxBackoff        = 2 * time.Second
)

// Objects is the part of the store that this package uses.
type Objects interface {
	Get(ctx context.Context, key string) (store.Object, error)
	Create(ctx context.Context, key string, body []byte) (int64, error)
	Update(ctx context.Context, key string, body []byte, version int64) (int64, error)
	ListVersions(ctx context.Context, prefix string) (store.Page, error)
	ListAll(ctx context.Context, prefix string) (store.Page, error)
	Watch(ctx context.Context, prefix string, from int64, fn func(store.Object)) error
}

// Gossip is the part of the gossip tables that this package uses.
type Gossip interface {
	Fleet() *relay.Table
	Zone() *relay.Table
	MarkFrequent(prefix string)
	Publish(records ...relay.Record)
	PublishOwn(key string, m proto.Message) error
	Report(key string, m proto.Message) error
}

// Watcher publishes the store's templates in the fleet table while this daemon is a watcher.
type Watcher struct {
	objects   Objects
	gossip    Gossip
	isWatcher func() bool
	log       *event.Log

	mu               sync.Mutex
	lastStoreContact time.Time
	hasRead          bool
	reportedOlder    map[string]bool
}

// NewWatcher returns a watcher that watches the store while isWatcher reports true.
func NewWatcher(objects Objects, gossip Gossip, isWatcher func() bool, log *event.Log) *Watcher {
	w := &Watcher{objects: objects, gossip: gossip, isWatcher: isWatcher, log: log, reportedOlder: map[string]bool{}}
	gossip.MarkFrequent(storeSeenKey)
	gossip.Fleet().Subscribe(storeSeenKey, func(relay.Record) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.lastStoreContact = time.Now()
	})
	return w
}

// SinceStoreContact returns the time since this daemon last learned of a store contact, its own or another daemon's.
func (w *Watcher) SinceStoreContact() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.lastStoreContact)
}

// HasRead reports whether this daemon itself has read all templates from the store.
func (w *Watcher) HasRead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hasRead
}

// Run watches the store until ctx ends; a daemon that is not a watcher only reads it once, when it starts.
func (w *Watcher) Run(ctx context.Context) error {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = maxBackoff
	for ctx.Err() == nil {
		if w.isWatcher() || !w.HasRead() {
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

// follow reads all templates, then watches for changes and compares versions periodically.
func (w *Watcher) follow(ctx context.Context) error {
	revision, err := w.resync(ctx)
	if err != nil || !w.isWatcher() {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go w.resyncPeriodically(ctx, cancel)
	return w.objects.Watch(ctx, storePrefix, revision, func(o store.Object) {
		w.publish(o)
		w.markSeen()
	})
}

// resyncPeriodically calls resync until that fails or this daemon is no longer a watcher, and then calls cancel.
func (w *Watcher) resyncPeriodically(ctx context.Context, cancel func()) {
	defer cancel()
	ticker := time.NewTicker(storeSeenInterval)
	defer ticker.Stop()
	lastResync := time.Now()
	for w.isWatcher() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// A resync is due early if no watcher has refreshed the storeSeen record lately; it then refreshes it.
		if time.Since(lastResync) < resyncInterval && w.SinceStoreContact() < storeSeenInterval {
			continue
		}
		lastResync = time.Now()
		if _, err := w.resync(ctx); err != nil {
			return
		}
	}
}

// resync lists the versions of all templates, publishes those that are newer in the store and returns its revision.
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
	w.hasRead = true
	w.mu.Unlock()
	return page.Revision, nil
}

func (w *Watcher) readNewer(ctx context.Context, o store.Object) error {
	have, ok := w.gossip.Fleet().Get(templateKey(o.Key))
	if ok && have.Version >= o.Version {
		w.reportOlder(o, have.Version)
		return nil
	}
	full, err := w.objects.Get(ctx, o.Key)
	if err != nil {
		return err
	}
	w.publish(full)
	return nil
}

// reportOlder logs once for each object that the store returns in an older version than the fleet table has.
func (w *Watcher) reportOlder(o store.Object, have int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if have == o.Version {
		delete(w.reportedOlder, o.Key)
		return
	}
	if !w.reportedOlder[o.Key] {
		w.reportedOlder[o.Key] = true
		w.log.Emit(event.StoreWentBack, "key", o.Key, "storeVersion", o.Version, "seenVersion", have)
	}
}

// publish publishes a template; deletions are ignored, since a configuration in force is only replaced by a newer one.
func (w *Watcher) publish(o store.Object) {
	if o.Deleted {
		return
	}
	w.gossip.Publish(relay.Record{Key: templateKey(o.Key), Version: o.Version, Body: o.Body})
}

func (w *Watcher) markSeen() {
	if w.SinceStoreContact() < storeSeenInterval {
		return
	}
	_ = w.gossip.PublishOwn(storeSeenKey, &peerpb.KeyVersion{Key: storeSeenKey})
}

func templateKey(storeKey string) string {
	return templatePrefix + strings.TrimPrefix(storeKey, storePrefix)
}

// Dump shows whether this daemon is a watcher, whether it has read the store, and the age of the last store contact.
func (w *Watcher) Dump() any {
	return struct {
		Chosen      bool    `json:"chosen"`
		Read        bool    `json:"read"`
		SecondsSeen float64 `json:"secondsSinceStoreSeen"`
	}{w.isWatcher(), w.HasRead(), w.SinceStoreContact().Seconds()}
}
