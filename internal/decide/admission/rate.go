package admission

import "time"

// rateMeter measures how many requests are served a second, over the last few seconds.
type rateMeter struct {
	start   time.Time
	current float64
	last    float64
}

const rateWindow = time.Second

// add counts one request.
func (m *rateMeter) add(now time.Time) {
	m.roll(now)
	m.current++
}

// roll starts a new window when the present one is over.
func (m *rateMeter) roll(now time.Time) {
	if m.start.IsZero() {
		m.start = now
	}
	elapsed := now.Sub(m.start)
	if elapsed < rateWindow {
		return
	}
	measured := m.current / elapsed.Seconds()
	m.last = (m.last + measured) / 2
	if m.last < measured/2 || elapsed > 4*rateWindow {
		m.last = measured
	}
	m.current = 0
	m.start = now
}

// perSecond returns the rate, or 0 while it is not known.
func (m *rateMeter) perSecond(now time.Time) float64 {
	m.roll(now)
	return m.last
}
