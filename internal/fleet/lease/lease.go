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

// Objects is the part of the store's client that Lease uses.
type Objects interface {
	Get(ctx context.Context, key string) (store.Object, error)
	Create(ctx context.Context, key string, body []byte) (int64, error)
	Update(ctx context.Context, key string, body []byte, version int64) (int64, error)
}

// record is a lease as it is stored.
type record struct {
	Holder string `json:"holder"`
	// Nonce differs in each write, so that a daemon whose write got no response can tell whether it took effect.
	Nonce   string `json:"nonce"`
	Fencing int64  `json:"fencing"`
	// DurationMs is how long the lease lasts after a write.
	DurationMs int64 `json:"durationMs"`
	Released   bool  `json:"released"`
}

// Options sets the timing of a lease.
type Options struct {
	Duration time.Duration
	// SafetyMargin is how long before the end of the lease its holder stops using it.
	SafetyMargin time.Duration
}

// Lease is one daemon's view of a lease, which it may hold.
type Lease struct {
	objects Objects
	key     string
	holder  string
	opts    Options
	log     *event.Log

	mu         sync.Mutex
	held       bool
	fencing    int64
	validUntil time.Time
	version    int64
	// seenVersion is the last version written by another holder, first seen at seenSince.
	seenVersion int64
	seenSince   time.Time
}

// storePrefix is the key prefix of leases in the store.
const storePrefix = "leases/"

// New returns a Lease that is not held.
func New(objects Objects, name, holder string, opts Options, log *event.Log) *Lease {
	return &Lease{objects: objects, key: storePrefix + name, holder: holder, opts: opts, log: log}
}

// Valid returns the fencing number if the lease remains held for at least the given period from now.
func (l *Lease) Valid(period time.Duration) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || time.Now().Add(period).After(l.validUntil) {
		return 0, fault.New(fault.Conflict, "none; another daemon does this work", "lease %s is not held", l.key)
	}
	return l.fencing, nil
}

// AcquireOrRenew tries once to acquire or renew the lease; it is to be called about three times per duration.
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
		return fault.New(fault.Internal, "inspect the object in the store", "lease %s can't be decoded", l.key).WithCause(err)
	}
	if l.mayTake(r, o.Version) {
		return l.write(ctx, r, o.Version)
	}
	return nil
}

// mayTake reports whether the lease is held by this daemon, released, or unchanged for its full duration.
func (l *Lease) mayTake(r record, version int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held && version == l.version {
		return true
	}
	l.markLost()
	if r.Released {
		return true
	}
	if version != l.seenVersion {
		l.seenVersion, l.seenSince = version, time.Now()
		return false
	}
	return time.Since(l.seenSince) > time.Duration(r.DurationMs)*time.Millisecond
}

// markLost records that this daemon does not hold the lease. The caller holds l.mu.
func (l *Lease) markLost() {
	if l.held {
		l.log.Emit(event.LeaseLost, "lease", l.key)
	}
	l.held = false
}

// write acquires or renews the lease; an acquisition increments the fencing number.
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
	sentAt := time.Now()
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
	l.markHeld(next.Fencing, v, sentAt, renewal)
	return nil
}

// readBack finds out whether a write whose response was lost took effect.
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

func (l *Lease) markHeld(fencing, version int64, sentAt time.Time, renewal bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.fencing, l.version = true, fencing, version
	l.validUntil = sentAt.Add(l.opts.Duration - l.opts.SafetyMargin)
	if !renewal {
		l.log.Emit(event.LeaseTaken, "lease", l.key, "fencing", fencing)
	}
}

// Release gives up the lease, so that another daemon can acquire it at once.
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

// Dump returns the state of the lease for inspection.
func (l *Lease) Dump() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return struct {
		Held    bool      `json:"held"`
		Fencing int64     `json:"fencing"`
		Until   time.Time `json:"until"`
	}{l.held, l.fencing, l.validUntil}
}
