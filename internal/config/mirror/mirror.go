package mirror

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/pollencourse/pollencourse/internal/core/event"
)

// ErrUnavailable ends the calls of a mirror when another mirror finds that the store does not respond.
var ErrUnavailable = errors.New("another call found the store unavailable")

// ErrHistoryGone is returned by a [Source] that no longer has the changes after the requested revision.
var ErrHistoryGone = errors.New("the store no longer has the changes after the requested revision")

// Object is one stored object.
type Object struct {
	Name string
	// Era is the era of the store in which the object was read; see [Position].
	Era      int64
	Revision int64
	// CreatedRevision is the store's revision at which the object was created.
	CreatedRevision int64
	Spec            []byte
	Status          []byte
}

// Change is an object that was written or deleted.
type Change struct {
	Object  Object
	Deleted bool
	// MayReturn is true for a deletion observed shortly after a store outage, when objects can be missing for a while.
	MayReturn bool
	// Restored is true for an object that the store may have had in the copy from which its era began: one that was not
	// written after the first list of that era.
	Restored bool
}

// Source reads the objects of the store by kind.
type Source interface {
	// List returns all objects of a kind and the store's position.
	List(ctx context.Context, kind string) (objects []Object, at Position, err error)
	// Watch waits for changes after a revision and returns the position to continue from. If its era is not that of the
	// revision, changes may be missing.
	Watch(ctx context.Context, kind string, from int64, wait time.Duration) (changes []Change, at Position, err error)
}

// Sink receives the objects of one kind.
type Sink interface {
	// Replace sets the complete state at a position; after an outage, objects may be missing for a while.
	Replace(objects []Object, at Position, afterOutage bool)
	// Apply applies one change.
	Apply(c Change)
	// Reading is called with true once a list is applied, and with false when the mirror stops following the store.
	Reading(ok bool)
}

// Gate decides when a mirror reads the store.
type Gate interface {
	Active() bool
	Wait(ctx context.Context)
	// Failed reports that a call to the store failed.
	Failed()
}

const (
	// watchTimeoutJitter is the largest fraction by which a watch timeout is shortened at random, so that the watches
	// of different daemons do not end together.
	watchTimeoutJitter = 0.4
	// initialListTimeout bounds the first call of List. A call that hangs during an outage gets no response even after
	// the store has recovered, so the timeout is short; it grows on retries in case the store is only slow.
	initialListTimeout = 600 * time.Millisecond
	// listTimeoutSteps is the number of timeouts, each twice the one before, that consecutive failures cycle through.
	listTimeoutSteps = 3
	// initialBackoff is the shortest delay between calls while the store is unavailable.
	initialBackoff = 150 * time.Millisecond
)

// Options sets how often a mirror calls the store.
type Options struct {
	// BatchWindow is the delay after a watch that returned changes; it lets many changes share one call.
	BatchWindow time.Duration
	// MaxBackoff is the longest delay between calls while the store is unavailable.
	MaxBackoff time.Duration
	// WatchTimeout is the longest time that one watch waits for a change. A store that hangs, and changes that a watch
	// missed, are detected only when the watch ends.
	WatchTimeout time.Duration
	// Probes is true for the mirror that calls an unavailable store; the daemon's other mirrors wait until it succeeds.
	Probes bool
}

// Mirror follows the objects of one kind.
type Mirror struct {
	source Source
	kind   string
	sink   Sink
	gate   Gate
	health *Health
	opts   Options
	log    *event.Log

	mu             sync.Mutex
	failing        bool
	lastResponse   time.Time
	at             Position
	completedLists int64
	// failedLists counts the calls of List that failed since the last success.
	failedLists int
}

// New returns a mirror of a kind; all mirrors of a store share one health.
func New(source Source, kind string, sink Sink, gate Gate, health *Health, opts Options, log *event.Log) *Mirror {
	return &Mirror{source: source, kind: kind, sink: sink, gate: gate, health: health, opts: opts, log: log}
}

// Run follows the kind until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = initialBackoff, m.opts.MaxBackoff
	for ctx.Err() == nil {
		m.gate.Wait(ctx)
		if !m.opts.Probes && m.health.WaitIfUnavailable(ctx, m.opts.MaxBackoff) {
			continue
		}
		err := m.follow(ctx, retryBackoff.Reset)
		m.sink.Reading(false)
		if err == nil || ctx.Err() != nil {
			continue
		}
		m.gate.Failed()
		m.health.Wait(ctx, retryBackoff.NextBackOff())
	}
	return nil
}

// follow lists and then watches until a call fails, the history is gone or the gate is no longer active.
func (m *Mirror) follow(ctx context.Context, listed func()) error {
	callCtx, cancel := m.callContext(ctx)
	defer cancel()
	asked := time.Now()
	objects, at, err := m.list(callCtx)
	if err != nil {
		m.recordOutcome(ctx, err)
		return err
	}
	m.sink.Replace(objects, at, m.recordOutcome(ctx, nil))
	m.recordPosition(at, asked)
	m.sink.Reading(true)
	listed()
	for m.gate.Active() {
		changes, next, err := m.source.Watch(callCtx, m.kind, at.Revision, m.nextWatchTimeout())
		if err != nil && errors.Is(context.Cause(callCtx), ErrUnavailable) {
			err = ErrUnavailable
		}
		switch {
		case errors.Is(err, ErrHistoryGone):
			m.log.Emit(event.StoreHistoryGone, "kind", m.kind, "era", at.Era, "revision", at.Revision)
			return nil
		case err != nil:
			m.recordOutcome(ctx, err)
			return err
		case next.Era != at.Era:
			// The store was restored during the watch and assigns revisions again, so changes up to the old revision are
			// not among the returned ones.
			m.log.Emit(event.StoreHistoryGone, "kind", m.kind, "era", at.Era, "revision", at.Revision, "newEra", next.Era)
			return nil
		}
		for _, c := range changes {
			m.sink.Apply(c)
		}
		if len(changes) == 0 {
			// A watch without changes doesn't prove that there were none, since the store may have failed to deliver
			// them. Watching again from the same revision returns them or ErrHistoryGone.
			m.recordPosition(at, time.Now())
			continue
		}
		at.Revision = max(at.Revision, next.Revision)
		m.recordPosition(at, time.Now())
		sleep(ctx, m.opts.BatchWindow)
	}
	return nil
}

// callContext returns the context of the calls of one round. Those of a mirror that does not probe end as soon as the one
// that probes finds the store unavailable, since their watches would wait much longer for a store that is silent.
func (m *Mirror) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if m.opts.Probes {
		return context.WithCancel(ctx)
	}
	return m.health.WithAvailability(ctx)
}

// nextWatchTimeout returns the timeout of the next watch.
func (m *Mirror) nextWatchTimeout() time.Duration {
	return time.Duration(float64(m.opts.WatchTimeout) * (1 - watchTimeoutJitter*rand.Float64()))
}

// list calls List with a timeout that doubles with each consecutive failure, and starts over every listTimeoutSteps.
func (m *Mirror) list(ctx context.Context) ([]Object, Position, error) {
	listCtx, cancel := context.WithTimeout(ctx, initialListTimeout<<(m.failedLists%listTimeoutSteps))
	defer cancel()
	objects, at, err := m.source.List(listCtx, m.kind)
	if err != nil {
		m.failedLists++
	} else {
		m.failedLists = 0
	}
	return objects, at, err
}

// recordPosition records that this mirror has applied every change that the store had accepted at a time.
func (m *Mirror) recordPosition(position Position, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.at = position
	m.lastResponse = time.Now()
	if m.opts.Probes {
		m.health.RecordContact(at)
	}
}

// recordOutcome logs when the store becomes unavailable or recovers, and reports whether the previous call failed.
func (m *Mirror) recordOutcome(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	m.mu.Lock()
	if err == nil || m.opts.Probes {
		m.health.Record(err == nil)
	}
	wasFailing := m.failing
	m.failing = err != nil
	if err == nil {
		m.completedLists++
	}
	m.mu.Unlock()
	switch {
	case err != nil && !wasFailing:
		m.log.Emit(event.StoreUnavailable, "kind", m.kind, "error", err.Error())
	case err == nil && wasFailing:
		m.log.Emit(event.StoreReturned, "kind", m.kind)
	}
	return wasFailing
}

// Dump shows the position reached and the time of the store's last response.
func (m *Mirror) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return struct {
		Kind     string    `json:"kind"`
		Era      int64     `json:"era"`
		Revision int64     `json:"revision"`
		Answered time.Time `json:"answered"`
		Failing  bool      `json:"failing"`
		Lists    int64     `json:"lists"`
	}{m.kind, m.at.Era, m.at.Revision, m.lastResponse, m.failing, m.completedLists}
}
