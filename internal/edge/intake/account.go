package intake

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pollencourse/pollencourse/internal/core/event"
)

// Limits bounds an account; zero fields don't bound it.
type Limits struct {
	Bytes       int64
	Descriptors int
}

const (
	// memoryShare is the part of the machine's memory that callers may take. The runtime collects garbage harder from
	// six tenths on; the rest up to there is for the process itself, some 30 MB, and for garbage.
	memoryShare = 0.35
	// reservedDescriptors and reservedDescriptorShare are kept for peers, the store, the other listeners, and for
	// connections that are being closed.
	reservedDescriptors     = 48
	reservedDescriptorShare = 0.1
)

// LimitsFor returns the limits of a process that has so much memory and so many descriptors; 0 stands for an unknown number,
// which bounds nothing.
func LimitsFor(memoryBytes int64, maxFDs int) Limits {
	l := Limits{Bytes: int64(memoryShare * float64(memoryBytes))}
	if maxFDs > 0 {
		l.Descriptors = max(1, maxFDs-reservedDescriptors-int(reservedDescriptorShare*float64(maxFDs)))
	}
	return l
}

const (
	// connectionBytes is what a connection costs: the two buffers of net/http.
	connectionBytes = 8 << 10
	// requestBytes is what a request costs while it is served, without its bodies: goroutines and the buffers of the
	// connection to its server.
	requestBytes = 32 << 10
	// requestDescriptors is the connection to the server.
	requestDescriptors = 1
	// headerFactor counts a header's bytes as received, parsed and copied for the server.
	headerFactor = 3
)

// Account counts what callers make the process hold.
type Account struct {
	limits Limits
	scope  tally.Scope
	log    *event.Log
	// startedAt is the origin of the entries' times.
	startedAt time.Time

	mu      sync.Mutex
	used    holding
	entries map[*Entry]struct{}
	owners  map[string]*holding
	counts  counts
}

// holding is what one entry, one owner or all of them hold.
type holding struct {
	bytes       int64
	descriptors int
}

func (h *holding) add(bytes int64, descriptors int) {
	h.bytes += bytes
	h.descriptors += descriptors
}

// counts are the totals that the dump shows.
type counts struct {
	Dropped            map[string]int64 `json:"dropped"`
	RefusedConnections int64            `json:"refusedConnections"`
	RefusedRequests    int64            `json:"refusedRequests"`
}

// New returns an empty account.
func New(limits Limits, scope tally.Scope, log *event.Log) *Account {
	return &Account{
		limits: limits, scope: scope, log: log, startedAt: time.Now(), entries: map[*Entry]struct{}{}, owners: map[string]*holding{},
		counts: counts{Dropped: map[string]int64{}},
	}
}

// open adds a connection of an owner, or returns nil if there is no room for it.
func (a *Account) open(owner string, drop func(closes bool)) *Entry {
	e := &Entry{account: a, owner: owner, drop: drop}
	e.progressed()
	a.mu.Lock()
	victims, ok := a.makeRoom(e, connectionBytes, 1)
	if ok {
		a.entries[e] = struct{}{}
		a.charge(e, connectionBytes, 1)
	} else {
		a.counts.RefusedConnections++
	}
	a.mu.Unlock()
	a.dropAll(victims)
	if !ok {
		a.scope.Counter("caller_connections_refused").Inc(1)
		a.log.Emit(event.ConnectionRefused, "owner", owner)
		return nil
	}
	return e
}

// charge adds to what an entry holds, or takes away from it. The caller holds a.mu.
func (a *Account) charge(e *Entry, bytes int64, descriptors int) {
	e.held.add(bytes, descriptors)
	a.used.add(bytes, descriptors)
	o := a.owners[e.owner]
	if o == nil {
		o = &holding{}
		a.owners[e.owner] = o
	}
	o.add(bytes, descriptors)
	if *o == (holding{}) {
		delete(a.owners, e.owner)
	}
}

// remove ends the count of an entry. The caller holds a.mu.
func (a *Account) remove(e *Entry) {
	e.dropped = true
	a.charge(e, -e.held.bytes, -e.held.descriptors)
	delete(a.entries, e)
}

// lacks reports whether the limits leave no room for so much more, and of which kind the lack is.
func (a *Account) lacks(bytes int64, descriptors int) (ofBytes, ofDescriptors bool) {
	ofBytes = a.limits.Bytes > 0 && bytes > 0 && a.used.bytes+bytes > a.limits.Bytes
	ofDescriptors = a.limits.Descriptors > 0 && descriptors > 0 && a.used.descriptors+descriptors > a.limits.Descriptors
	return ofBytes, ofDescriptors
}

// victim is an entry that was dropped, with what the log says about it.
type victim struct {
	entry  *Entry
	phase  Phase
	owner  string
	bytes  int64
	age    time.Duration
	closes bool
}

// makeRoom drops entries until there is room for e to hold more. The caller holds a.mu and passes the victims to dropAll
// once it no longer does.
func (a *Account) makeRoom(e *Entry, bytes int64, descriptors int) (victims []victim, ok bool) {
	now := time.Now()
	for {
		ofBytes, ofDescriptors := a.lacks(bytes, descriptors)
		if !ofBytes && !ofDescriptors {
			return victims, true
		}
		v := a.choose(e, ofDescriptors, now)
		if v == nil {
			return victims, false
		}
		dropped := victim{v, v.currentPhase(), v.owner, v.held.bytes, v.idleFor(now), true}
		if dropped.phase == Body && !ofDescriptors {
			// The caller still gets a response, so the connection stays.
			dropped.closes = false
			v.dropped = true
			a.charge(v, connectionBytes-v.held.bytes, 0)
		} else {
			a.remove(v)
		}
		a.counts.Dropped[dropped.phase.String()]++
		victims = append(victims, dropped)
	}
}

// dropAll ends what was dropped from the account.
func (a *Account) dropAll(victims []victim) {
	for _, v := range victims {
		v.entry.drop(v.closes)
		a.scope.Tagged(map[string]string{"phase": v.phase.String()}).Counter("callers_dropped").Inc(1)
		a.log.Emit(event.CallerDropped, "owner", v.owner, "phase", v.phase.String(), "bytes", v.bytes, "idleMs", v.age.Milliseconds())
	}
}

// Dump shows the limits, what is in use and what was dropped and refused.
func (a *Account) Dump() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.counts
	c.Dropped = map[string]int64{}
	for phase, n := range a.counts.Dropped {
		c.Dropped[phase] = n
	}
	return struct {
		Bytes          int64 `json:"bytes"`
		MaxBytes       int64 `json:"maxBytes"`
		Descriptors    int   `json:"descriptors"`
		MaxDescriptors int   `json:"maxDescriptors"`
		Connections    int   `json:"connections"`
		Owners         int   `json:"owners"`
		counts
	}{a.used.bytes, a.limits.Bytes, a.used.descriptors, a.limits.Descriptors, len(a.entries), len(a.owners), c}
}
