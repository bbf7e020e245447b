package charge

import (
	"context"
	"slices"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// takeOver writes the batches of lost origins, that is, of daemons that are suspected, gone or restarted.
//
// It does not wait until the loss is certain: an origin that was only paused finds the
// keys taken and writes the missing charges in a new batch.
func (l *Ledger) takeOver(ctx context.Context) {
	lost := l.lostBatches()
	for _, b := range lost {
		if !l.writeBatch(ctx, b) {
			l.forwardHeld(ctx, lost)
			return
		}
		l.mu.Lock()
		l.counts.TakenOver += int64(len(b.charges))
		l.removeWritten(b)
		l.mu.Unlock()
		l.log.Emit(event.ChargeBatchTaken, "key", b.key(), "charges", len(b.charges))
	}
}

// removeWritten drops the charges of a written batch but keeps those that have arrived meanwhile.
// The caller holds l.mu.
func (l *Ledger) removeWritten(b *batch) {
	if cur := l.heldForOthers[b.origin][b.sequence]; cur != nil && len(cur.charges) > len(b.charges) {
		cur.charges = cur.charges[len(b.charges):]
		return
	}
	delete(l.heldForOthers[b.origin], b.sequence)
	if len(l.heldForOthers[b.origin]) == 0 {
		delete(l.heldForOthers, b.origin)
		delete(l.forwardedTo, b.origin)
	}
}

// lostBatches returns copies of the batches held for lost origins, ordered by sequence number.
func (l *Ledger) lostBatches() []*batch {
	live := map[origin]bool{}
	for _, m := range l.members.Live() {
		if !m.Suspected {
			live[origin{m.ID, m.Incarnation}] = true
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*batch
	for o, bySequence := range l.heldForOthers {
		if live[o] {
			continue
		}
		for _, b := range bySequence {
			out = append(out, &batch{origin: b.origin, sequence: b.sequence, charges: slices.Clone(b.charges)})
		}
	}
	slices.SortFunc(out, func(a, b *batch) int { return int(a.sequence - b.sequence) })
	return out
}

// forwardHeld sends the charges of lost origins to a further daemon while the store is down,
// so that they still have two holders.
func (l *Ledger) forwardHeld(ctx context.Context, lost []*batch) {
	for _, o := range l.notForwarded(lost) {
		req := &peerpb.HoldRequest{Origin: o.id, Incarnation: o.incarnation}
		for _, b := range lost {
			if b.origin != o {
				continue
			}
			for _, c := range b.charges {
				req.Charges = append(req.Charges, &peerpb.HeldCharge{Sequence: b.sequence, Charge: c})
			}
		}
		l.forwardToStandby(ctx, o, req)
	}
}

// notForwarded returns the lost origins whose charges this daemon has not yet forwarded to a live daemon.
func (l *Ledger) notForwarded(lost []*batch) []origin {
	var out []origin
	for _, b := range lost {
		l.mu.Lock()
		to := l.forwardedTo[b.origin]
		l.mu.Unlock()
		if !slices.Contains(out, b.origin) && !l.isLive(to) {
			out = append(out, b.origin)
		}
	}
	return out
}

func (l *Ledger) forwardToStandby(ctx context.Context, o origin, req *peerpb.HoldRequest) {
	for _, n := range l.standbyCandidates() {
		if l.callHold(ctx, n, req) == nil {
			l.mu.Lock()
			l.forwardedTo[o] = origin{n.ID, n.Incarnation}
			l.mu.Unlock()
			return
		}
	}
}

func (l *Ledger) callHold(ctx context.Context, n peer.Node, req *peerpb.HoldRequest) error {
	ctx, cancel := context.WithTimeout(ctx, l.opts.HoldTimeout)
	defer cancel()
	return l.calls.Call(ctx, n, serviceHold, req, nil)
}

func (l *Ledger) isLive(o origin) bool {
	return slices.ContainsFunc(l.members.Live(), func(m member.Member) bool {
		return m.ID == o.id && m.Incarnation == o.incarnation && !m.Suspected
	})
}
