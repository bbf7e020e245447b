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

// holdWaiter is a charge that is not yet held by a standby.
type holdWaiter struct {
	charge   *peerpb.Charge
	sequence int64
	done     chan struct{}
}

func isConflict(err error) bool { return errors.Is(err, store.ErrConflict) }

// maxHoldCalls bounds the calls to the standby in flight; further charges wait and are sent in one call.
const maxHoldCalls = 2

// startHoldLoop starts a goroutine that sends waiting charges, unless maxHoldCalls is reached.
// The caller holds l.mu.
func (l *Ledger) startHoldLoop() {
	if l.holdCalls < maxHoldCalls {
		l.holdCalls++
		go l.holdLoop()
	}
}

// holdLoop sends waiting charges to the standby until none are left.
func (l *Ledger) holdLoop() {
	for {
		l.holdWaiting()
		l.mu.Lock()
		if len(l.waiting) == 0 {
			l.holdCalls--
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
	}
}

// holdInline sends the waiting charges in the caller's goroutine and starts another goroutine
// for those that have arrived meanwhile.
func (l *Ledger) holdInline() {
	l.holdWaiting()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		l.holdCalls--
		return
	}
	go l.holdLoop()
}

// holdWaiting sends all waiting charges in one call and wakes their callers.
func (l *Ledger) holdWaiting() {
	l.mu.Lock()
	waiting := l.waiting
	l.waiting = nil
	l.mu.Unlock()
	if len(waiting) > 0 && !l.holdAtAnyStandby(waiting) {
		l.storeUnprotected(waiting)
	}
	for _, w := range waiting {
		close(w.done)
	}
}

// holdAtAnyStandby sends the charges to each standby candidate in turn until one holds them.
func (l *Ledger) holdAtAnyStandby(waiting []holdWaiter) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 3*l.opts.HoldTimeout)
	defer cancel()
	for _, n := range l.standbyCandidates() {
		if l.holdAtStandby(ctx, n, waiting) {
			return true
		}
	}
	return false
}

// holdAtStandby sends the charges to one daemon; a new standby gets all charges that are not stored yet.
func (l *Ledger) holdAtStandby(ctx context.Context, n peer.Node, waiting []holdWaiter) bool {
	l.mu.Lock()
	req := &peerpb.HoldRequest{Origin: l.self.id, Incarnation: l.self.incarnation, StoredThrough: l.storedThrough}
	if l.standby != (origin{n.ID, n.Incarnation}) {
		req.Charges = l.unstored()
	} else {
		for _, w := range waiting {
			req.Charges = append(req.Charges, &peerpb.HeldCharge{Sequence: w.sequence, Charge: w.charge})
		}
	}
	l.mu.Unlock()
	if l.callHold(ctx, n, req) != nil {
		return false
	}
	l.mu.Lock()
	l.standby = origin{n.ID, n.Incarnation}
	l.mu.Unlock()
	return true
}

// unstored returns all charges of this daemon that are not stored yet. The caller holds l.mu.
func (l *Ledger) unstored() []*peerpb.HeldCharge {
	var out []*peerpb.HeldCharge
	for _, b := range l.sealedBatches {
		for _, c := range b.charges {
			out = append(out, &peerpb.HeldCharge{Sequence: b.sequence, Charge: c})
		}
	}
	for _, c := range l.openCharges {
		out = append(out, &peerpb.HeldCharge{Sequence: l.sequence, Charge: c})
	}
	return out
}

// maxStandbyCandidates is how many daemons are tried before charges stay without a standby.
const maxStandbyCandidates = 3

// standbyCandidates returns the daemons that may hold charges, in order of preference: the
// current standby, other availability zones of the region, the own availability zone, other regions.
func (l *Ledger) standbyCandidates() []peer.Node {
	self := l.calls.Self()
	l.mu.Lock()
	current := l.standby
	l.mu.Unlock()
	candidates := slices.DeleteFunc(l.members.Live(), func(m member.Member) bool {
		return m.ID == self.ID || m.Suspected || m.Leaving
	})
	rank := func(m member.Member) int {
		switch {
		case m.ID == current.id:
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
		return compareByHash(self.ID, a.ID, b.ID)
	})
	var out []peer.Node
	for _, m := range candidates[:min(maxStandbyCandidates, len(candidates))] {
		out = append(out, m.Node)
	}
	return out
}

// compareByHash orders a and b by rendezvous hash with self, which spreads the origins evenly over the standbys.
func compareByHash(self, a, b string) int {
	ha, hb := xxhash.Sum64String(self+a), xxhash.Sum64String(self+b)
	if ha < hb {
		return -1
	}
	return 1
}

// storeUnprotected writes the charges to the store at once, since no standby holds them. If that fails too, only this
// daemon has them, which is counted and logged.
func (l *Ledger) storeUnprotected(waiting []holdWaiter) {
	ctx, cancel := context.WithTimeout(context.Background(), l.opts.HoldTimeout)
	defer cancel()
	l.mu.Lock()
	l.standby = origin{}
	l.mu.Unlock()
	l.Flush(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sealedBatches) == 0 {
		return
	}
	l.counts.Unprotected += int64(len(waiting))
	l.log.Emit(event.ChargeUnprotected, "charges", len(waiting))
}

// replaceLostStandby sends the charges that are not stored yet to a new standby if the current one is lost.
func (l *Ledger) replaceLostStandby() {
	l.mu.Lock()
	current := l.standby
	skip := len(l.sealedBatches) == 0 || l.holdCalls > 0
	l.mu.Unlock()
	if skip || l.isLive(current) {
		return
	}
	l.holdAtAnyStandby(nil)
}

// announceStored tells the standby which charges are stored, so that it can drop them.
func (l *Ledger) announceStored() {
	l.mu.Lock()
	current := l.standby
	req := &peerpb.HoldRequest{Origin: l.self.id, Incarnation: l.self.incarnation, StoredThrough: l.storedThrough}
	l.mu.Unlock()
	for _, m := range l.members.Live() {
		if m.ID == current.id {
			_ = l.callHold(context.Background(), m.Node, req)
		}
	}
}

// handleHold adds charges of another daemon and drops those that are stored.
func (l *Ledger) handleHold(_ context.Context, _ peer.Node, body []byte) (proto.Message, error) {
	var req peerpb.HoldRequest
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, fault.New(fault.BadRequest, "run the same version on every daemon", "message can't be read").WithCause(err)
	}
	o := origin{req.GetOrigin(), req.GetIncarnation()}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.chargeCount()+len(req.GetCharges()) > 2*l.opts.MaxHeldCharges {
		return nil, fault.New(fault.Overloaded, "choose another stand-by", "too many charges are held")
	}
	if l.heldForOthers[o] == nil {
		l.heldForOthers[o] = map[int64]*batch{}
	}
	for _, h := range req.GetCharges() {
		l.addHeld(o, h)
	}
	for seq := range l.heldForOthers[o] {
		if seq <= req.GetStoredThrough() {
			delete(l.heldForOthers[o], seq)
		}
	}
	if len(l.heldForOthers[o]) == 0 {
		delete(l.heldForOthers, o)
	}
	return nil, nil
}

func (l *Ledger) addHeld(o origin, h *peerpb.HeldCharge) {
	b := l.heldForOthers[o][h.GetSequence()]
	if b == nil {
		b = &batch{origin: o, sequence: h.GetSequence()}
		l.heldForOthers[o][h.GetSequence()] = b
	}
	b.charges = append(b.charges, h.GetCharge())
}
