package rollout

import "math"

// arlPerFalseAlarm is the mean number of ratings between false alarms of a good version.
const arlPerFalseAlarm = 100_000

// Change watches a serving version for a change to the worse.
//
// It is a Shiryaev-Roberts sum for each alternative rate; the mean over the
// alternatives is an e-detector, so that the threshold is the mean run to a false alarm.
type ChangeDetector struct {
	logSums []float64
}

// NewChange returns a detector that has seen nothing.
func NewChangeDetector() *ChangeDetector {
	c := &ChangeDetector{logSums: make([]float64, len(drops))}
	for i := range c.logSums {
		c.logSums[i] = math.Inf(-1)
	}
	return c
}

// Add takes a batch of ratings whose order is not known.
//
// They are taken as evenly mixed: poor ones in a row, which the batch need not have had,
// would raise the sum for nothing.
func (c *ChangeDetector) AddBatch(good, poor int, baseline float64) {
	p0 := clamp(1 - baseline)
	n := good + poor
	for i, d := range drops {
		p1 := alternative(p0, d)
		onGood, onPoor := math.Log((1-p1)/(1-p0)), math.Log(p1/p0)
		for j := range n {
			// The j-th rating is poor if the evenly spread count of poor ones steps up at it.
			ratio := onGood
			if (j+1)*poor/n > j*poor/n {
				ratio = onPoor
			}
			c.logSums[i] = step(c.logSums[i], ratio)
		}
	}
}

// step computes log((1 + R) * ratio).
func step(logR, logRatio float64) float64 {
	return logSumExp([]float64{0, logR}) + logRatio
}

// Changed reports whether the version is worse than its baseline by now.
func (c *ChangeDetector) Changed() bool {
	return logSumExp(c.logSums)-math.Log(float64(len(c.logSums))) >= math.Log(arlPerFalseAlarm)
}
