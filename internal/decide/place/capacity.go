package place

import (
	"math"
	"time"
)

// Capacity returns the free slots at the servers of a query by own attempts, and the least expected time to first chunk at
// a server without other work; free is not 0 if the slots of a server are unknown.
func (c *Chooser) Capacity(query Query, now time.Time) (free int, idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	load := c.estimateLoad(&query, now)
	preferred := c.preferredServer(&query)
	least := math.Inf(1)
	for i := range query.Candidates {
		cand, s := &query.Candidates[i], c.found[i]
		if now.Before(s.ejectedUntil) || !c.usable(&query, cand, now) {
			continue
		}
		if cand.Slots <= 0 {
			free++
		}
		free += max(0, cand.Slots-s.inFlight)
		_, work := c.estimateWork(&query, &load, i, i == preferred, now)
		least = math.Min(least, work)
	}
	if math.IsInf(least, 1) {
		return 0, 0
	}
	return free, time.Duration(least * float64(time.Second))
}
