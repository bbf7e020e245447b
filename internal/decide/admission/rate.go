package admission

import (
	"math"
	"time"
)

const (
	// rateMemory is the time constant with which older observations fade: long enough for about ten events at the three a
	// second that a daemon has to one service.
	rateMemory = 4 * time.Second
	// minRateTime and minRateCount are the least waiting time and events that make a rate known.
	minRateTime  = 500 * time.Millisecond
	minRateCount = 3
	// maxRateAge is how long after the last waiting request the rate stays known.
	maxRateAge = 5 * time.Second
)

// rateMeter estimates how many requests are served per second while requests wait. Time without a waiting request does
// not count, since the rate is then that of the demand.
type rateMeter struct {
	updatedAt time.Time
	busy      bool
	count     float64
	seconds   float64
}

// advance accounts for the time since the last call; busy reports whether requests wait from now on.
func (m *rateMeter) advance(now time.Time, busy bool) {
	elapsed := now.Sub(m.updatedAt)
	switch {
	case m.busy:
		fade := math.Exp(-elapsed.Seconds() / rateMemory.Seconds())
		m.count *= fade
		m.seconds = m.seconds*fade + rateMemory.Seconds()*(1-fade)
		m.updatedAt = now
	case elapsed > maxRateAge:
		m.count, m.seconds = 0, 0
	}
	if busy && !m.busy {
		m.updatedAt = now
	}
	m.busy = busy
}

// add counts a request that was served while others wait.
func (m *rateMeter) add(now time.Time) {
	if m.busy {
		m.advance(now, true)
		m.count++
	}
}

// perSecond returns the rate, or 0 while it is unknown.
func (m *rateMeter) perSecond(now time.Time) float64 {
	m.advance(now, m.busy)
	if m.seconds < minRateTime.Seconds() || m.count < minRateCount {
		return 0
	}
	return m.count / m.seconds
}
