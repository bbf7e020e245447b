package rollout

import "math"

// arlPerFalseAlarm is the mean number of ratings between false alarms of a good version.
const arlPerFalseAlarm = 100_000

// Change watches a serving version for a change to the worse.
//
// It is a Shiryaev-Roberts sum for each alternative rate; the mean over the
// alternatives is an e-detector, so that the threshold is the mean run to a false alarm.
type Change struct {
	logSums []float64
}

// NewChange returns a detector that has seen nothing.
func NewChange() *Change {
	c := &Change{logSums: make([]float64, len(drops))}
	for i := range c.logSums {
		c.logSums[i] = math.Inf(-1)
	}
	return c
}

// Add takes ratings in the order in which they came, poor ones of a batch last.
func (c *Change) Add(good, poor int, baseline float64) {
	p0 := clamp(1 - baseline)
	for i, d := range drops {
		p1 := alternative(p0, d)
		for range good {
			c.logSums[i] = step(c.logSums[i], math.Log((1-p1)/(1-p0)))
		}
		for range poor {
			c.logSums[i] = step(c.logSums[i], math.Log(p1/p0))
		}
	}
}

// step computes log((1 + R) * ratio).
func step(logR, logRatio float64) float64 {
	return logSumExp([]float64{0, logR}) + logRatio
}

// Changed reports whether the version is worse than its baseline by now.
func (c *Change) Changed() bool {
	return logSumExp(c.logSums)-math.Log(float64(len(c.logSums))) >= math.Log(arlPerFalseAlarm)
}
