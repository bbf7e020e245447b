package intake

import "time"

// stalledAfter is the time without progress after which a header, a body or a response counts as stalled when there is a
// lack. Callers inside the limits send and read without pauses of a second.
const stalledAfter = time.Second

// slowReadAfter is the time without progress after which a response may be dropped as part of the largest owner; a response
// that its caller reads goes on within milliseconds.
const slowReadAfter = 100 * time.Millisecond

// choose returns the entry to drop so that e may hold more; nil if there is none, or if e is to be refused itself. The
// caller holds a.mu.
//
// Stalled entries come first, the oldest before the others. Then it is the turn of the largest owner, which is refused if
// it is the one that asks for more bytes. A kept connection without a request is dropped for bytes only if nothing else is
// left.
func (a *Account) choose(e *Entry, ofDescriptors bool, now time.Time) *Entry {
	var stalled, idle oldest
	var largest *Entry
	for c := range a.entries {
		if c == e {
			continue
		}
		switch kindOf(c, ofDescriptors, now) {
		case keptIdle:
			idle.consider(c)
		case isStalled:
			stalled.consider(c)
		case isDroppable:
			if largest == nil || a.isLarger(c, largest, ofDescriptors) {
				largest = c
			}
		}
	}
	switch {
	case stalled.entry != nil:
		return stalled.entry
	case largest == nil:
		return idle.entry
	case ofDescriptors || a.size(largest, false) > a.size(e, false):
		return largest
	default:
		return nil
	}
}

// candidate says in which turn an entry may be dropped.
type candidate int

const (
	isKept candidate = iota
	isStalled
	isDroppable
	keptIdle
)

func kindOf(c *Entry, ofDescriptors bool, now time.Time) candidate {
	phase, age := c.currentPhase(), c.idleFor(now)
	switch {
	case phase == Busy, phase == Writing && age < slowReadAfter:
		return isKept
	case phase == Idle && !ofDescriptors:
		return keptIdle
	case !ofDescriptors && c.held.bytes <= connectionBytes:
		return isKept // dropping it gains nothing
	case phase != Idle && age >= stalledAfter:
		return isStalled
	default:
		return isDroppable
	}
}

// size returns what an entry's owner holds, of descriptors or of bytes.
func (a *Account) size(e *Entry, ofDescriptors bool) int64 {
	o := a.owners[e.owner]
	switch {
	case o == nil:
		return 0
	case ofDescriptors:
		return int64(o.descriptors)
	default:
		return o.bytes
	}
}

// isLarger reports whether c is to be dropped before d: its owner holds more, or it holds more of the same owner's bytes,
// or has made no progress for longer.
func (a *Account) isLarger(c, d *Entry, ofDescriptors bool) bool {
	if x, y := a.size(c, ofDescriptors), a.size(d, ofDescriptors); x != y {
		return x > y
	}
	if !ofDescriptors && c.held.bytes != d.held.bytes {
		return c.held.bytes > d.held.bytes
	}
	return c.progressAt.Load() < d.progressAt.Load()
}

// oldest is the entry of a kind without progress for the longest time.
type oldest struct{ entry *Entry }

func (o *oldest) consider(e *Entry) {
	if o.entry == nil || e.progressAt.Load() < o.entry.progressAt.Load() {
		o.entry = e
	}
}
