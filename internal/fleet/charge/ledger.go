package charge

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/external/store"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

const serviceHold = "charge.hold"

// Objects is what the ledger needs of the store.
type Objects interface {
	Create(ctx context.Context, key string, body []byte) (int64, error)
	Get(ctx context.Context, key string) (store.Object, error)
	ListAll(ctx context.Context, prefix string) (store.Page, error)
}

// Caller calls services of other daemons.
type Caller interface {
	Self() peer.Node
	Call(ctx context.Context, to peer.Node, service string, req, resp proto.Message) error
	Handle(service string, fn peer.Handler)
}

// Members is what the ledger needs of the membership.
type Members interface {
	Live() []member.Member
	Members() []member.Member
}

// Options sets the bounds of the ledger.
type Options struct {
	FlushInterval       time.Duration
	MaxHeldCharges     int
	HoldTimeout time.Duration
}

// Ledger holds this daemon's charges and those it is stand-by for.
type Ledger struct {
	objects Objects
	calls   Caller
	members Members
	opts    Options
	log     *event.Log
	self    origin

	// flushing serialises flushes, so that a refused batch is batched again only once.
	flushing sync.Mutex

	mu       sync.Mutex
	sequence int64
	open     []*peerpb.Charge
	sealed   []*batch
	held     map[origin]map[int64]*batch
	// passedTo is the daemon that holds the charges of a lost origin as well, while the store is down.
	passedTo map[origin]origin
	stored   int64
	standBy  origin
	waiting  []holdWaiter
	// holders is the number of calls to the stand-by in flight.
	holders int
	full    bool
	counts  counts
}

type counts struct {
	Added       int64 `json:"added"`
	Stored      int64 `json:"stored"`
	Batches     int64 `json:"batches"`
	TakenOver   int64 `json:"takenOver"`
	Unprotected int64 `json:"unprotected"`
}

// New returns an empty ledger.
func New(objects Objects, calls Caller, members Members, opts Options, log *event.Log) *Ledger {
	self := calls.Self()
	l := &Ledger{
		objects: objects, calls: calls, members: members, opts: opts, log: log,
		self: origin{self.ID, self.Incarnation}, sequence: 1,
		held: map[origin]map[int64]*batch{}, passedTo: map[origin]origin{},
	}
	calls.Handle(serviceHold, l.handleHold)
	return l
}

// Accepts reports whether more charges can be held; otherwise new work must be refused.
func (l *Ledger) Accepts() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	full := l.heldCount() >= l.opts.MaxHeldCharges
	if full && !l.full {
		l.log.Emit(event.ChargeBufferFull, "held", l.heldCount())
	}
	l.full = full
	if full {
		return fault.New(fault.Unavailable, "try another entry VM; the store has been down for long", "too many charges wait for the store")
	}
	return nil
}

func (l *Ledger) heldCount() int {
	n := len(l.open)
	for _, b := range l.sealed {
		n += len(b.charges)
	}
	for _, byseq := range l.held {
		for _, b := range byseq {
			n += len(b.charges)
		}
	}
	return n
}

// Add takes a charge and returns once a second daemon holds it, or the store has it.
//
// If neither can be reached the charge is kept here alone, which is logged.
func (l *Ledger) Add(c *peerpb.Charge) {
	done := make(chan struct{})
	l.mu.Lock()
	l.counts.Added++
	l.append(c)
	l.waiting = append(l.waiting, holdWaiter{charge: c, sequence: l.sequence, done: done})
	free := l.holders < maxHolders
	if free {
		l.holders++
	}
	l.mu.Unlock()
	if free {
		l.holdHere()
	}
	<-done
}

// append puts a charge into the open batch and seals a full one first.
func (l *Ledger) append(c *peerpb.Charge) {
	if len(l.open) >= maxBatch {
		l.seal()
	}
	l.open = append(l.open, c)
}

// seal closes the open batch, so that it can be written.
func (l *Ledger) seal() {
	if len(l.open) == 0 {
		return
	}
	l.sealed = append(l.sealed, &batch{origin: l.self, sequence: l.sequence, charges: l.open})
	l.sequence++
	l.open = nil
}

// daemonsPerFlushSecond spreads the writes of a large fleet: so many batches a second are written in all.
const daemonsPerFlushSecond = 100

func (l *Ledger) flushInterval() time.Duration {
	spread := time.Duration(len(l.members.Live())) * time.Second / daemonsPerFlushSecond
	return max(l.opts.FlushInterval, spread)
}

// Run writes batches until ctx ends, then writes what is left.
func (l *Ledger) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return l.finish()
		case <-time.After(l.flushInterval()):
		}
		l.Flush(ctx)
		l.protectAgain()
		l.takeOver(ctx)
	}
}

const finishTimeout = 5 * time.Second

// finish writes what is left; what the store does not take, the stand-by writes.
func (l *Ledger) finish() error {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	for ctx.Err() == nil {
		l.Flush(ctx)
		l.mu.Lock()
		left := len(l.sealed) + len(l.open)
		protected := l.standBy != origin{}
		l.mu.Unlock()
		if left == 0 || protected {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(l.opts.FlushInterval):
		}
	}
	return nil
}

// Flush writes all sealed batches and the open one.
func (l *Ledger) Flush(ctx context.Context) {
	l.flushing.Lock()
	defer l.flushing.Unlock()
	l.mu.Lock()
	l.seal()
	sealed := slices.Clone(l.sealed)
	l.mu.Unlock()
	for _, b := range sealed {
		if !l.write(ctx, b) {
			break
		}
		l.mu.Lock()
		l.sealed = slices.DeleteFunc(l.sealed, func(x *batch) bool { return x == b })
		l.stored = b.sequence
		l.mu.Unlock()
	}
	if len(sealed) > 0 {
		l.announceStored()
	}
}

// write stores one batch, or what the stored one of its name lacks, and reports success.
func (l *Ledger) write(ctx context.Context, b *batch) bool {
	body, err := b.marshal(l.self.id)
	if err != nil {
		return false
	}
	_, err = l.objects.Create(ctx, b.key(), body)
	if err == nil {
		l.countStored(b)
		return true
	}
	if !isConflict(err) {
		return false
	}
	return l.reconcile(ctx, b)
}

func (l *Ledger) countStored(b *batch) {
	l.mu.Lock()
	l.counts.Stored += int64(len(b.charges))
	l.counts.Batches++
	l.mu.Unlock()
	l.log.Emit(event.ChargeBatchStored, "key", b.key(), "charges", len(b.charges))
}

// reconcile batches again what the stored batch of the same name lacks.
func (l *Ledger) reconcile(ctx context.Context, b *batch) bool {
	o, err := l.objects.Get(ctx, b.key())
	if err != nil {
		return false
	}
	var stored peerpb.ChargeBatch
	if proto.Unmarshal(o.Body, &stored) != nil {
		return false
	}
	missing := b.missing(&stored)
	if len(missing) == 0 {
		return true
	}
	l.log.Emit(event.ChargeBatchRefused, "key", b.key(), "missing", len(missing))
	l.mu.Lock()
	for _, c := range missing {
		l.append(c)
		l.waiting = append(l.waiting, holdWaiter{charge: c, sequence: l.sequence, done: make(chan struct{})})
	}
	l.startHolding()
	l.mu.Unlock()
	return true
}

// Dump shows what is held and for whom.
func (l *Ledger) Dump() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := map[string]int{}
	for o, byseq := range l.held {
		for _, b := range byseq {
			held[o.id] += len(b.charges)
		}
	}
	return struct {
		Open     int            `json:"open"`
		Sealed   int            `json:"sealedBatches"`
		Sequence int64          `json:"sequence"`
		StandBy  string         `json:"standBy"`
		Held     map[string]int `json:"heldForOthers"`
		Counts   counts         `json:"counts"`
	}{len(l.open), len(l.sealed), l.sequence, l.standBy.id, held, l.counts}
}
