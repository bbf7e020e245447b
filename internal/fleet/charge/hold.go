package charge

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/external/store"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// holdWaiter is a charge that waits to be held by a second daemon.
type holdWaiter struct {
	charge   *peerpb.Charge
	sequence int64
	done     chan struct{}
}

func isConflict(err error) bool { return errors.Is(err, store.ErrConflict) }

// maxHolders is how many calls to the stand-by may be in flight; more charges wait and go together.
const maxHolders = 2

// startHolding sends what waits in a new goroutine unless enough senders run; l.mu is held.
func (l *Ledger) startHolding() {
	if l.holders < maxHolders {
		l.holders++
		go l.holdLoop()
	}
}

// holdLoop sends waiting charges to the stand-by until none wait.
func (l *Ledger) holdLoop() {
	for {
		l.holdBatch()
		l.mu.Lock()
		if len(l.waiting) == 0 {
			l.holders--
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
	}
}

// holdHere sends what waits in the caller's goroutine and leaves what comes meanwhile to another.
func (l *Ledger) holdHere() {
	l.holdBatch()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		l.holders--
		return
	}
	go l.holdLoop()
}

// holdBatch sends all charges that wait in one call.
func (l *Ledger) holdBatch() {
	l.mu.Lock()
	waiting := l.waiting
	l.waiting = nil
	l.mu.Unlock()
	if len(waiting) > 0 && !l.protect(waiting) {
		l.keepAlone(waiting)
	}
	for _, w := range waiting {
		close(w.done)
	}
}

// protect has a second daemon hold the charges, trying the next one if the first fails.
func (l *Ledger) protect(waiting []holdWaiter) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 3*l.opts.HoldTimeout)
	defer cancel()
	for _, n := range l.standBys() {
		if l.holdAt(ctx, n, waiting) {
			return true
		}
	}
	return false
}

// holdAt sends the charges to one daemon; a new stand-by gets all that is not stored yet.
func (l *Ledger) holdAt(ctx context.Context, n peer.Node, waiting []holdWaiter) bool {
	l.mu.Lock()
	req := &peerpb.HoldRequest{Origin: l.self.id, Incarnation: l.self.incarnation, StoredThrough: l.stored}
	if l.standBy != (origin{n.ID, n.Incarnation}) {
		req.Charges = l.unstored()
	} else {
		for _, w := range waiting {
			req.Charges = append(req.Charges, &peerpb.HeldCharge{Sequence: w.sequence, Charge: w.charge})
		}
	}
	l.mu.Unlock()
	if l.holdOnce(ctx, n, req) != nil {
		return false
	}
	l.mu.Lock()
	l.standBy = origin{n.ID, n.Incarnation}
	l.mu.Unlock()
	return true
}

// unstored lists every charge of this daemon that the store lacks; l.mu is held.
func (l *Ledger) unstored() []*peerpb.HeldCharge {
	var out []*peerpb.HeldCharge
	for _, b := range l.sealed {
		for _, c := range b.charges {
			out = append(out, &peerpb.HeldCharge{Sequence: b.sequence, Charge: c})
		}
	}
	for _, c := range l.open {
		out = append(out, &peerpb.HeldCharge{Sequence: l.sequence, Charge: c})
	}
	return out
}

// maxStandBys is how many daemons are tried before a charge is kept alone.
const maxStandBys = 3

// standBys orders the daemons that may hold charges: the present one, then other
// availability zones of the region, the own zone, and other regions.
func (l *Ledger) standBys() []peer.Node {
	self := l.calls.Self()
	l.mu.Lock()
	present := l.standBy
	l.mu.Unlock()
	candidates := slices.DeleteFunc(l.members.Live(), func(m member.Member) bool {
		return m.ID == self.ID || m.Suspected || m.Leaving
	})
	rank := func(m member.Member) int {
		switch {
		case m.ID == present.id:
			return 0
		case m.Region == self.Region && m.AvailabilityZone != self.AvailabilityZone:
			return 1
		case m.Region == self.Region:
			return 2
		default:
			return 3
		}
	}
	slices.SortFunc(candidates, func(a, b member.Member) int {
		if d := rank(a) - rank(b); d != 0 {
			return d
		}
		return compareWith(self.ID, a.ID, b.ID)
	})
	var out []peer.Node
	for _, m := range candidates[:min(maxStandBys, len(candidates))] {
		out = append(out, m.Node)
	}
	return out
}

// compareWith orders two daemons by their hash together with a third, which spreads stand-bys evenly.
func compareWith(self, a, b string) int {
	ha, hb := xxhash.Sum64String(self+a), xxhash.Sum64String(self+b)
	if ha < hb {
		return -1
	}
	return 1
}

// keepAlone writes to the store at once, since no second daemon holds the charges.
func (l *Ledger) keepAlone(waiting []holdWaiter) {
	ctx, cancel := context.WithTimeout(context.Background(), l.opts.HoldTimeout)
	defer cancel()
	l.mu.Lock()
	l.standBy = origin{}
	l.mu.Unlock()
	l.Flush(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sealed) == 0 {
		return
	}
	l.counts.Unprotected += int64(len(waiting))
	l.log.Emit(event.ChargeUnprotected, "charges", len(waiting))
}

// protectAgain finds a new stand-by for what is not stored yet once the present one is lost.
func (l *Ledger) protectAgain() {
	l.mu.Lock()
	present := l.standBy
	idle := len(l.sealed) == 0 || l.holders > 0
	l.mu.Unlock()
	if idle || l.isLive(present) {
		return
	}
	l.protect(nil)
}

// announceStored lets the stand-by forget what the store has.
func (l *Ledger) announceStored() {
	l.mu.Lock()
	present := l.standBy
	req := &peerpb.HoldRequest{Origin: l.self.id, Incarnation: l.self.incarnation, StoredThrough: l.stored}
	l.mu.Unlock()
	for _, m := range l.members.Live() {
		if m.ID == present.id {
			_ = l.holdOnce(context.Background(), m.Node, req)
		}
	}
}

// handleHold holds charges of another daemon and forgets those that are stored.
func (l *Ledger) handleHold(_ context.Context, _ peer.Node, body []byte) (proto.Message, error) {
	var req peerpb.HoldRequest
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, fault.New(fault.BadRequest, "run the same version on every daemon", "message can't be read").WithCause(err)
	}
	o := origin{req.GetOrigin(), req.GetIncarnation()}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heldCount()+len(req.GetCharges()) > 2*l.opts.MaxHeldCharges {
		return nil, fault.New(fault.Overloaded, "choose another stand-by", "too many charges are held")
	}
	if l.held[o] == nil {
		l.held[o] = map[int64]*batch{}
	}
	for _, h := range req.GetCharges() {
		l.hold(o, h)
	}
	for seq := range l.held[o] {
		if seq <= req.GetStoredThrough() {
			delete(l.held[o], seq)
		}
	}
	if len(l.held[o]) == 0 {
		delete(l.held, o)
	}
	return nil, nil
}

func (l *Ledger) hold(o origin, h *peerpb.HeldCharge) {
	b := l.held[o][h.GetSequence()]
	if b == nil {
		b = &batch{origin: o, sequence: h.GetSequence()}
		l.held[o][h.GetSequence()] = b
	}
	b.charges = append(b.charges, h.GetCharge())
}
