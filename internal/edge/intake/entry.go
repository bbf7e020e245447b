package intake

import (
	"sync/atomic"
	"time"

	"github.com/pollencourse/pollencourse/internal/core/event"
)

// Phase is what a connection is doing.
type Phase int32

// The phases of a connection. Writing is a request in service whose caller does not read as fast as the response is sent.
const (
	Header Phase = iota
	Idle
	Body
	Busy
	Writing
)

// String returns the name of the phase, as logs and counters show it.
func (p Phase) String() string {
	return [...]string{"header", "idle", "body", "busy", "writing"}[p]
}

// Entry is what one connection holds.
type Entry struct {
	account *Account
	// drop ends the connection, or only the request body that is being read if closes is false.
	drop func(closes bool)
	// progressAt is when bytes last arrived or were taken, in nanoseconds since the account's start; the time of day may
	// step.
	progressAt atomic.Int64
	phase      atomic.Int32
	// writing is true while a write to the connection waits for the caller.
	writing atomic.Bool

	// The account's mutex guards the fields below.
	owner   string
	held    holding
	dropped bool
}

func (e *Entry) progressed() { e.progressAt.Store(int64(time.Since(e.account.startedAt))) }

// idleFor returns the time since the last progress.
func (e *Entry) idleFor(now time.Time) time.Duration {
	return now.Sub(e.account.startedAt) - time.Duration(e.progressAt.Load())
}

func (e *Entry) currentPhase() Phase {
	p := Phase(e.phase.Load())
	if p == Busy && e.writing.Load() {
		return Writing
	}
	return p
}

// received counts bytes that arrived; it reports false if there is no room for the header that they belong to.
func (e *Entry) received(n int) bool {
	e.progressed()
	p := e.currentPhase()
	if p != Header && p != Idle {
		return true
	}
	e.phase.Store(int32(Header))
	return e.Grow(int64(headerFactor * n))
}

// waits records that a kept connection waits for the next request.
func (e *Entry) waits() {
	e.progressed()
	e.phase.Store(int32(Idle))
	e.reset()
}

// Grow counts bytes that are about to be held; it reports false if there is no room for them or the entry was dropped.
func (e *Entry) Grow(bytes int64) bool { return e.take(bytes, 0) }

// Shrink counts bytes that are no longer held.
func (e *Entry) Shrink(bytes int64) {
	a := e.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !e.dropped {
		a.charge(e, -min(bytes, e.held.bytes), 0)
	}
}

func (e *Entry) take(bytes int64, descriptors int) bool {
	a := e.account
	a.mu.Lock()
	var victims []victim
	ok := !e.dropped
	if ok {
		victims, ok = a.makeRoom(e, bytes, descriptors)
	}
	if ok {
		a.charge(e, bytes, descriptors)
	}
	a.mu.Unlock()
	a.dropAll(victims)
	return ok
}

// BeginRequest counts a request whose header is read; it reports false if there is no room to serve it.
func (e *Entry) BeginRequest() bool {
	e.phase.Store(int32(Busy))
	if e.take(requestBytes, requestDescriptors) {
		return true
	}
	e.Refused("request")
	return false
}

// Refused counts and logs a request that is refused for lack of room.
func (e *Entry) Refused(what string) {
	a := e.account
	a.mu.Lock()
	a.counts.RefusedRequests++
	owner, used := e.owner, a.used
	a.mu.Unlock()
	a.scope.Counter("caller_requests_refused").Inc(1)
	a.log.Emit(event.CallerRefused, "owner", owner, "what", what, "bytes", used.bytes, "descriptors", used.descriptors)
}

// SetOwner counts what the entry holds under a client account instead of an address.
func (e *Entry) SetOwner(owner string) {
	a := e.account
	a.mu.Lock()
	defer a.mu.Unlock()
	held := e.held
	a.charge(e, -held.bytes, -held.descriptors)
	e.owner = owner
	a.charge(e, held.bytes, held.descriptors)
}

// ReadBody records that the request's body is being read until the function that it returns is called.
func (e *Entry) ReadBody() (done func()) {
	e.progressed()
	e.phase.Store(int32(Body))
	return func() { e.phase.Store(int32(Busy)) }
}

// EndRequest ends the count of a request. The connection stays in service until the rest of the response is written.
func (e *Entry) EndRequest() {
	e.progressed()
	e.reset()
}

// reset counts nothing but the connection, unless that was dropped.
func (e *Entry) reset() {
	a := e.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.entries[e]; ok {
		a.charge(e, connectionBytes-e.held.bytes, 1-e.held.descriptors)
	}
}

// close ends the count of the connection.
func (e *Entry) close() {
	a := e.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.entries[e]; ok {
		a.remove(e)
	}
}
