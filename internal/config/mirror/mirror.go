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

// ErrHistoryGone is returned by a source that no longer has the changes asked for.
var ErrHistoryGone = errors.New("the store dropped the history asked for")

// Object is one stored object; Revision is the store's at its last change.
type Object struct {
	Name     string
	Revision int64
	// Created is the revision at which the object was made.
	CreatedRevision int64
	Spec            []byte
	Status          []byte
}

// Change is an object that was written or deleted.
type Change struct {
	Object  Object
	Deleted bool
	// Lapsed is true for a deletion that was seen right after the store was away; the object may come back.
	MayReturn bool
}

// Source reads one kind of objects.
type Source interface {
	// List returns all objects and the store's revision.
	List(ctx context.Context, kind string) (objects []Object, at int64, err error)
	// Watch waits for changes after a revision and returns the revision to go on from.
	Watch(ctx context.Context, kind string, from int64, wait time.Duration) (changes []Change, at int64, err error)
}

// Sink takes what the store holds.
type Sink interface {
	// Replace takes the whole state at a revision; after an outage, entries may be missing for a while.
	Replace(objects []Object, at int64, afterOutage bool)
	// Apply takes one change.
	Apply(c Change)
	// Reading tells that the mirror is no longer in touch with the store.
	Reading(ok bool)
}

// Gate tells when a mirror has to read the store.
type Gate interface {
	Active() bool
	Wait(ctx context.Context)
	// Failed tells that the store did not answer.
	Failed()
}

const (
	// watchSpread is the part of a watch's time by which watches differ, so that those of different daemons do not end
	// together.
	watchSpread = 0.4
	// listTimeout bounds the first try to list a kind; a call to a store that has fallen silent is never answered, not
	// even once the store is back. Further tries may take longer, in turns, for a store that is only slow.
	listTimeout = 600 * time.Millisecond
	// listTurns is the number of tries of which each may take twice as long as the one before.
	listTurns = 3
	// firstPause is the shortest time between calls while the store does not answer.
	firstPause = 150 * time.Millisecond
)

// Options sets the pace of a mirror.
type Options struct {
	// Gather is how long changes are collected before the next call, so that many changes cost few calls.
	BatchWindow time.Duration
	// LongestPause is the longest time between calls while the store does not answer.
	MaxBackoff time.Duration
	// Wait is how long one call waits for a change at most; a store that has fallen silent, and changes that a watch did
	// not hear of, show only at the end of a call.
	WatchTimeout time.Duration
	// Probes has this mirror try the store while it is away; the others of a daemon wait for its success.
	Probes bool
}

// Mirror follows one kind.
type Mirror struct {
	source Source
	kind   string
	sink   Sink
	gate   Gate
	health *Health
	opts   Options
	log    *event.Log

	mu       sync.Mutex
	failing  bool
	answered time.Time
	revision int64
	lists    int64
	// unanswered counts the lists since the last that was answered.
	unanswered int
}

// New returns a mirror of a kind; mirrors of one store share its health.
func New(source Source, kind string, sink Sink, gate Gate, health *Health, opts Options, log *event.Log) *Mirror {
	return &Mirror{source: source, kind: kind, sink: sink, gate: gate, health: health, opts: opts, log: log}
}

// Run follows the kind until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstPause, m.opts.MaxBackoff
	for ctx.Err() == nil {
		m.gate.Wait(ctx)
		if !m.opts.Probes && m.health.WaitWhileAway(ctx, m.opts.MaxBackoff) {
			continue
		}
		err := m.follow(ctx, pause.Reset)
		m.sink.Reading(false)
		if err == nil || ctx.Err() != nil {
			continue
		}
		m.gate.Failed()
		m.health.Wait(ctx, pause.NextBackOff())
	}
	return nil
}

// follow lists and then watches until a call fails, the history is gone or the gate is closed.
func (m *Mirror) follow(ctx context.Context, answered func()) error {
	objects, at, err := m.list(ctx)
	if err != nil {
		m.note(ctx, err)
		return err
	}
	m.sink.Replace(objects, at, m.note(ctx, nil))
	m.at(at)
	answered()
	for m.gate.Active() {
		changes, next, err := m.source.Watch(ctx, m.kind, at, m.watchTime())
		switch {
		case errors.Is(err, ErrHistoryGone):
			m.log.Emit(event.StoreHistoryGone, "kind", m.kind, "revision", at)
			return nil
		case err != nil:
			m.note(ctx, err)
			return err
		}
		for _, c := range changes {
			m.sink.Apply(c)
		}
		if len(changes) == 0 {
			// A watch that heard nothing proves nothing: the store may have dropped the changes. Going on from the
			// same revision either brings them or shows that the history is gone.
			m.at(at)
			continue
		}
		at = max(at, next)
		m.at(at)
		rest(ctx, m.opts.BatchWindow)
	}
	return nil
}

// watchTime returns how long the next watch takes.
func (m *Mirror) watchTime() time.Duration {
	return time.Duration(float64(m.opts.WatchTimeout) * (1 - watchSpread*rand.Float64()))
}

// list lists the kind within a time that grows with the tries that were not answered, in turns.
func (m *Mirror) list(ctx context.Context) ([]Object, int64, error) {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout<<(m.unanswered%listTurns))
	defer cancel()
	objects, at, err := m.source.List(listCtx, m.kind)
	if err != nil {
		m.unanswered++
	} else {
		m.unanswered = 0
	}
	return objects, at, err
}

func (m *Mirror) at(revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision = revision
	m.answered = time.Now()
}

// note logs the loss and the return of the store and reports whether it was away until now.
func (m *Mirror) note(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	m.mu.Lock()
	if err == nil || m.opts.Probes {
		m.health.Note(err == nil)
	}
	was := m.failing
	m.failing = err != nil
	if err == nil {
		m.lists++
	}
	m.mu.Unlock()
	switch {
	case err != nil && !was:
		m.log.Emit(event.StoreUnavailable, "kind", m.kind, "error", err.Error())
	case err == nil && was:
		m.log.Emit(event.StoreReturned, "kind", m.kind)
	}
	return was
}

// Dump shows the revision reached and when the store last answered.
func (m *Mirror) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return struct {
		Kind     string    `json:"kind"`
		Revision int64     `json:"revision"`
		Answered time.Time `json:"answered"`
		Failing  bool      `json:"failing"`
		Lists    int64     `json:"lists"`
	}{m.kind, m.revision, m.answered, m.failing, m.lists}
}
