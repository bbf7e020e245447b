package admission

import "time"

// rateMeter estimates the requests served per second from the last few seconds.
type rateMeter struct {
	windowStart time.Time
	count       float64
	rate        float64
}

const rateWindow = time.Second

func (m *rateMeter) add(now time.Time) {
	m.advance(now)
	m.count++
}

// advance starts a new window when the current one is over. The new rate is the mean of the previous rate and the rate
// in the window, or the latter alone if, for lack of calls, the window lasted more than four times rateWindow.
func (m *rateMeter) advance(now time.Time) {
	if m.windowStart.IsZero() {
		m.windowStart = now
	}
	elapsed := now.Sub(m.windowStart)
	if elapsed < rateWindow {
		return
	}
	measured := m.count / elapsed.Seconds()
	m.rate = (m.rate + measured) / 2
	if m.rate < measured/2 || elapsed > 4*rateWindow {
		m.rate = measured
	}
	m.count = 0
	m.windowStart = now
}

// perSecond returns the rate, or 0 while it is unknown.
func (m *rateMeter) perSecond(now time.Time) float64 {
	m.advance(now)
	return m.rate
}
