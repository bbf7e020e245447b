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

// Objects is the part of the store's client that the ledger uses.
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

// Members is the part of the membership that the ledger uses.
type Members interface {
	Live() []member.Member
	Members() []member.Member
}

// Options configures a Ledger.
type Options struct {
	FlushInterval time.Duration
	// MaxHeldCharges bounds the buffered charges, own and held for others: at this number new work is refused, and at
	// twice the number further charges of other daemons.
	MaxHeldCharges int
	// HoldTimeout bounds one call to a standby.
	HoldTimeout time.Duration
}

// Ledger buffers this daemon's charges and those of the origins that it is standby for.
type Ledger struct {
	objects Objects
	calls   Caller
	members Members
	opts    Options
	log     *event.Log
	self    origin

	// flushMu serialises flushes, so that the charges of a batch whose key is taken go into only one new batch.
	flushMu sync.Mutex

	mu sync.Mutex
	// sequence is the sequence number of the open batch.
	sequence      int64
	openCharges   []*peerpb.Charge
	sealedBatches []*batch
	heldForOthers map[origin]map[int64]*batch
	// forwardedTo maps a lost origin to the further daemon that also holds its charges while the store is down.
	forwardedTo map[origin]origin
	// storedThrough is the sequence number of the last own batch that is stored.
	storedThrough int64
	standby       origin
	waiting       []holdWaiter
	// holdCalls is the number of calls to the standby in flight.
	holdCalls int
	wasFull   bool
	counts    counts
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
		heldForOthers: map[origin]map[int64]*batch{}, forwardedTo: map[origin]origin{},
	}
	calls.Handle(serviceHold, l.handleHold)
	return l
}

// Accepts returns an error if no more charges can be buffered, so that new work must be refused.
func (l *Ledger) Accepts() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	full := l.chargeCount() >= l.opts.MaxHeldCharges
	if full && !l.wasFull {
		l.log.Emit(event.ChargeBufferFull, "held", l.chargeCount())
	}
	l.wasFull = full
	if full {
		return fault.New(fault.Unavailable, "try another entry VM; the store has been unavailable for too long", "too many charges are waiting to be stored")
	}
	return nil
}

func (l *Ledger) chargeCount() int {
	n := len(l.openCharges)
	for _, b := range l.sealedBatches {
		n += len(b.charges)
	}
	for _, bySequence := range l.heldForOthers {
		for _, b := range bySequence {
			n += len(b.charges)
		}
	}
	return n
}

// Add buffers a charge and returns once a standby holds it or the store has it.
//
// If neither can be reached, only this daemon has the charge, which is logged.
func (l *Ledger) Add(c *peerpb.Charge) {
	done := make(chan struct{})
	l.mu.Lock()
	l.counts.Added++
	l.appendCharge(c)
	l.waiting = append(l.waiting, holdWaiter{charge: c, sequence: l.sequence, done: done})
	free := l.holdCalls < maxHoldCalls
	if free {
		l.holdCalls++
	}
	l.mu.Unlock()
	if free {
		l.holdInline()
	}
	<-done
}

// appendCharge adds a charge to the open batch; a full batch is sealed first.
func (l *Ledger) appendCharge(c *peerpb.Charge) {
	if len(l.openCharges) >= maxChargesPerBatch {
		l.seal()
	}
	l.openCharges = append(l.openCharges, c)
}

// seal turns the open batch into a sealed one, which can be written.
func (l *Ledger) seal() {
	if len(l.openCharges) == 0 {
		return
	}
	l.sealedBatches = append(l.sealedBatches, &batch{origin: l.self, sequence: l.sequence, charges: l.openCharges})
	l.sequence++
	l.openCharges = nil
}

// fleetBatchesPerSecond is how many batches the whole fleet writes per second at most; in a large
// fleet, each daemon flushes less often.
const fleetBatchesPerSecond = 100

func (l *Ledger) flushInterval() time.Duration {
	spread := time.Duration(len(l.members.Live())) * time.Second / fleetBatchesPerSecond
	return max(l.opts.FlushInterval, spread)
}

// Run writes batches until ctx is done, then flushes the remaining charges.
func (l *Ledger) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return l.flushOnShutdown()
		case <-time.After(l.flushInterval()):
		}
		l.Flush(ctx)
		l.replaceLostStandby()
		l.takeOver(ctx)
	}
}

const shutdownFlushTimeout = 5 * time.Second

// flushOnShutdown writes the remaining charges. If the store fails, it leaves them to the standby,
// or retries until shutdownFlushTimeout if there is none.
func (l *Ledger) flushOnShutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownFlushTimeout)
	defer cancel()
	for ctx.Err() == nil {
		l.Flush(ctx)
		l.mu.Lock()
		left := len(l.sealedBatches) + len(l.openCharges)
		protected := l.standby != origin{}
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
	l.flushMu.Lock()
	defer l.flushMu.Unlock()
	l.mu.Lock()
	l.seal()
	sealed := slices.Clone(l.sealedBatches)
	l.mu.Unlock()
	for _, b := range sealed {
		if !l.writeBatch(ctx, b) {
			break
		}
		l.mu.Lock()
		l.sealedBatches = slices.DeleteFunc(l.sealedBatches, func(x *batch) bool { return x == b })
		l.storedThrough = b.sequence
		l.mu.Unlock()
	}
	if len(sealed) > 0 {
		l.announceStored()
	}
}

// writeBatch stores one batch and reports success; if its key is taken, only the missing charges are batched again.
func (l *Ledger) writeBatch(ctx context.Context, b *batch) bool {
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

// reconcile puts the charges that are missing from the stored batch with b's key into a new batch.
func (l *Ledger) reconcile(ctx context.Context, b *batch) bool {
	o, err := l.objects.Get(ctx, b.key())
	if err != nil {
		return false
	}
	var stored peerpb.ChargeBatch
	if proto.Unmarshal(o.Body, &stored) != nil {
		return false
	}
	missing := b.missingFrom(&stored)
	if len(missing) == 0 {
		return true
	}
	l.log.Emit(event.ChargeBatchRefused, "key", b.key(), "missing", len(missing))
	l.mu.Lock()
	for _, c := range missing {
		l.appendCharge(c)
		l.waiting = append(l.waiting, holdWaiter{charge: c, sequence: l.sequence, done: make(chan struct{})})
	}
	l.startHoldLoop()
	l.mu.Unlock()
	return true
}

// Dump returns the state of the buffers for inspection.
func (l *Ledger) Dump() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := map[string]int{}
	for o, bySequence := range l.heldForOthers {
		for _, b := range bySequence {
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
	}{len(l.openCharges), len(l.sealedBatches), l.sequence, l.standby.id, held, l.counts}
}
