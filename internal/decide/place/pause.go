package place

import "time"

// maxPause bounds the pause that a server can ask for, so that a faulty value does not exclude a server for good.
const maxPause = 5 * time.Minute

// incarnation identifies one start of a server.
type incarnation struct {
	id     string
	number int64
}

// pauses holds until when servers that refused an attempt want no further ones.
//
// It answers an overload of single servers: requests go to other servers at once instead of being refused once more, and
// if all servers are paused, callers learn when the first of them takes requests again. The times are readings of the
// monotonic clock, which does not step.
type pauses map[incarnation]time.Time

// add starts a pause of at most maxPause. It never shortens an earlier one, since each refusal holds for its own time.
func (p pauses) add(inc incarnation, d time.Duration, now time.Time) {
	for other, until := range p {
		if !now.Before(until) {
			delete(p, other)
		}
	}
	if until := now.Add(min(d, maxPause)); until.After(p[inc]) {
		p[inc] = until
	}
}

// remaining returns how long a server is still paused; 0 if it is not.
func (p pauses) remaining(inc incarnation, now time.Time) time.Duration {
	until, ok := p[inc]
	if !ok {
		return 0
	}
	return max(0, until.Sub(now))
}

func (c Candidate) incarnation() incarnation { return incarnation{c.ID, c.Incarnation} }

// Pause keeps a server from being chosen for d.
func (c *Chooser) Pause(cand Candidate, d time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pauses.add(cand.incarnation(), d, now)
}

// ShortestPause returns the time until the first of the candidates is no longer paused; 0 if one of them is not paused,
// or if there are none. Servers to be avoided count only if they are paused.
func (c *Chooser) ShortestPause(query Query, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var shortest time.Duration
	for _, cand := range query.Candidates {
		d := c.pauses.remaining(cand.incarnation(), now)
		switch {
		case d > 0 && (shortest == 0 || d < shortest):
			shortest = d
		case d == 0 && !query.avoids(cand):
			return 0
		}
	}
	return shortest
}
