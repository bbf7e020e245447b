package charge

import (
	"context"
	"slices"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
	"github.com/pollencourse/pollencourse/internal/fleet/peer"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// takeOver writes the batches of origins that are lost: suspected, gone, or restarted.
//
// It does not wait for certainty: if the origin is only paused it finds the names taken
// and batches again what is missing.
func (l *Ledger) takeOver(ctx context.Context) {
	lost := l.lostBatches()
	for _, b := range lost {
		if !l.write(ctx, b) {
			l.passOn(ctx, lost)
			return
		}
		l.mu.Lock()
		l.counts.TakenOver += int64(len(b.charges))
		l.forget(b)
		l.mu.Unlock()
		l.log.Emit(event.ChargeBatchTaken, "key", b.key(), "charges", len(b.charges))
	}
}

// forget drops the charges of a written batch, but not those that came meanwhile; l.mu is held.
func (l *Ledger) forget(b *batch) {
	if cur := l.held[b.origin][b.sequence]; cur != nil && len(cur.charges) > len(b.charges) {
		cur.charges = cur.charges[len(b.charges):]
		return
	}
	delete(l.held[b.origin], b.sequence)
	if len(l.held[b.origin]) == 0 {
		delete(l.held, b.origin)
		delete(l.passedTo, b.origin)
	}
}

// lostBatches returns what is held for origins that are not live, by sequence.
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
	for o, byseq := range l.held {
		if live[o] {
			continue
		}
		for _, b := range byseq {
			out = append(out, &batch{origin: b.origin, sequence: b.sequence, charges: slices.Clone(b.charges)})
		}
	}
	slices.SortFunc(out, func(a, b *batch) int { return int(a.sequence - b.sequence) })
	return out
}

// passOn has another daemon hold the charges of lost origins as well, while the store does not take them.
func (l *Ledger) passOn(ctx context.Context, lost []*batch) {
	for _, o := range l.unpassed(lost) {
		req := &peerpb.HoldRequest{Origin: o.id, Incarnation: o.incarnation}
		for _, b := range lost {
			if b.origin != o {
				continue
			}
			for _, c := range b.charges {
				req.Charges = append(req.Charges, &peerpb.HeldCharge{Sequence: b.sequence, Charge: c})
			}
		}
		l.passTo(ctx, o, req)
	}
}

// unpassed returns the lost origins whose charges no other live daemon got from here.
func (l *Ledger) unpassed(lost []*batch) []origin {
	var out []origin
	for _, b := range lost {
		l.mu.Lock()
		to := l.passedTo[b.origin]
		l.mu.Unlock()
		if !slices.Contains(out, b.origin) && !l.isLive(to) {
			out = append(out, b.origin)
		}
	}
	return out
}

func (l *Ledger) passTo(ctx context.Context, o origin, req *peerpb.HoldRequest) {
	for _, n := range l.standBys() {
		if l.holdOnce(ctx, n, req) == nil {
			l.mu.Lock()
			l.passedTo[o] = origin{n.ID, n.Incarnation}
			l.mu.Unlock()
			return
		}
	}
}

func (l *Ledger) holdOnce(ctx context.Context, n peer.Node, req *peerpb.HoldRequest) error {
	ctx, cancel := context.WithTimeout(ctx, l.opts.HoldTimeout)
	defer cancel()
	return l.calls.Call(ctx, n, serviceHold, req, nil)
}

func (l *Ledger) isLive(o origin) bool {
	return slices.ContainsFunc(l.members.Live(), func(m member.Member) bool {
		return m.ID == o.id && m.Incarnation == o.incarnation && !m.Suspected
	})
}
