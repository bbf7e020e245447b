package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/external/store"
)

// Objects is what a lease needs of the store.
type Objects interface {
	Get(ctx context.Context, key string) (store.Object, error)
	Create(ctx context.Context, key string, body []byte) (int64, error)
	Update(ctx context.Context, key string, body []byte, version int64) (int64, error)
}

// record is the lease as it stands in the store.
type record struct {
	Holder string `json:"holder"`
	// Nonce differs for each renewal, so that a lost answer can be recognised.
	Nonce   string `json:"nonce"`
	Fencing int64  `json:"fencing"`
	// DurationMs is how long the lease lasts after a renewal, in milliseconds.
	DurationMs int64 `json:"durationMs"`
	Released   bool  `json:"released"`
}

// Options sets the timing of a lease.
type Options struct {
	Duration time.Duration
	// Margin is how much earlier the holder stops than others may take over.
	SafetyMargin time.Duration
}

// Lease is one daemon's side of a lease.
type Lease struct {
	objects Objects
	key     string
	holder  string
	opts    Options
	log     *event.Log

	mu      sync.Mutex
	held    bool
	fencing int64
	until   time.Time
	version int64
	// seen and seenAt are the version of another holder and when it was first seen.
	seen   int64
	seenAt time.Time
}

// storePrefix is the prefix of leases in the store.
const storePrefix = "leases/"

// New returns a lease that is not held.
func New(objects Objects, name, holder string, opts Options, log *event.Log) *Lease {
	return &Lease{objects: objects, key: storePrefix + name, holder: holder, opts: opts, log: log}
}

// Valid returns the fencing number if the lease is held for at least the given time to come.
func (l *Lease) Valid(during time.Duration) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || time.Now().Add(during).After(l.until) {
		return 0, fault.New(fault.Conflict, "none; another daemon does it", "lease %s is not held", l.key)
	}
	return l.fencing, nil
}

// Keep acquires or renews the lease once; call it about three times in each duration.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	o, err := l.objects.Get(ctx, l.key)
	if errors.Is(err, store.ErrNotFound) {
		return l.write(ctx, record{Fencing: 1}, 0)
	}
	if err != nil {
		return err
	}
	var r record
	if err := json.Unmarshal(o.Body, &r); err != nil {
		return fault.New(fault.Internal, "look at the object in the store", "lease %s can't be read", l.key).WithCause(err)
	}
	if l.mayTake(r, o.Version) {
		return l.write(ctx, r, o.Version)
	}
	return nil
}

// mayTake reports whether the lease is this daemon's, released, or unchanged for its duration.
func (l *Lease) mayTake(r record, version int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held && version == l.version {
		return true
	}
	l.lose()
	if r.Released {
		return true
	}
	if version != l.seen {
		l.seen, l.seenAt = version, time.Now()
		return false
	}
	return time.Since(l.seenAt) > time.Duration(r.DurationMs)*time.Millisecond
}

// lose notes that another daemon has the lease; l.mu is held.
func (l *Lease) lose() {
	if l.held {
		l.log.Emit(event.LeaseLost, "lease", l.key)
	}
	l.held = false
}

// write takes or renews the lease; a change of holder raises the fencing number.
func (l *Lease) write(ctx context.Context, old record, version int64) error {
	next := record{Holder: l.holder, Nonce: uuid.NewString(), Fencing: old.Fencing, DurationMs: l.opts.Duration.Milliseconds()}
	l.mu.Lock()
	renewal := l.held && old.Holder == l.holder
	l.mu.Unlock()
	if !renewal {
		next.Fencing = old.Fencing + 1
	}
	body, err := json.Marshal(next)
	if err != nil {
		return err
	}
	before := time.Now()
	var v int64
	if version == 0 {
		v, err = l.objects.Create(ctx, l.key, body)
	} else {
		v, err = l.objects.Update(ctx, l.key, body, version)
	}
	if errors.Is(err, store.ErrAmbiguous) {
		v, err = l.readBack(ctx, next.Nonce, err)
	}
	if err != nil {
		return err
	}
	l.hold(next.Fencing, v, before, renewal)
	return nil
}

// readBack finds out whether a write whose answer was lost took effect.
func (l *Lease) readBack(ctx context.Context, nonce string, cause error) (int64, error) {
	o, err := l.objects.Get(ctx, l.key)
	if err != nil {
		return 0, err
	}
	var r record
	if json.Unmarshal(o.Body, &r) == nil && r.Nonce == nonce {
		return o.Version, nil
	}
	return 0, cause
}

func (l *Lease) hold(fencing, version int64, before time.Time, renewal bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.fencing, l.version = true, fencing, version
	l.until = before.Add(l.opts.Duration - l.opts.SafetyMargin)
	if !renewal {
		l.log.Emit(event.LeaseTaken, "lease", l.key, "fencing", fencing)
	}
}

// Release gives the lease up, so that another daemon need not wait.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	held, version, fencing := l.held, l.version, l.fencing
	l.held = false
	l.mu.Unlock()
	if !held {
		return
	}
	body, err := json.Marshal(record{Holder: l.holder, Nonce: uuid.NewString(), Fencing: fencing, DurationMs: l.opts.Duration.Milliseconds(), Released: true})
	if err == nil {
		_, _ = l.objects.Update(ctx, l.key, body, version)
	}
}

// Dump shows whether the lease is held.
func (l *Lease) Dump() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return struct {
		Held    bool      `json:"held"`
		Fencing int64     `json:"fencing"`
		Until   time.Time `json:"until"`
	}{l.held, l.fencing, l.until}
}
