package rollout

import "math"

// ratingsPerFalseAlarm is the average run length: the mean number of ratings of a good version until a false alarm.
const ratingsPerFalseAlarm = 100_000

// ChangeDetector detects when a serving version gets worse.
//
// It keeps a Shiryaev-Roberts sum for each alternative rate. The mean over the
// alternatives is an e-detector, so its threshold bounds the average run length to a
// false alarm from below.
type ChangeDetector struct {
	logSums []float64
}

// NewChangeDetector returns a detector without ratings.
func NewChangeDetector() *ChangeDetector {
	c := &ChangeDetector{logSums: make([]float64, len(oddsRatios))}
	for i := range c.logSums {
		c.logSums[i] = math.Inf(-1)
	}
	return c
}

// AddBatch adds a batch of ratings of unknown order.
//
// The poor ratings are assumed to be evenly spread: several in a row, which the batch
// may not have had, would raise the sum without evidence.
func (c *ChangeDetector) AddBatch(good, poor int, baseline float64) {
	p0 := clampRate(1 - baseline)
	n := good + poor
	for i, d := range oddsRatios {
		p1 := alternativeRate(p0, d)
		logRatioGood, logRatioPoor := math.Log((1-p1)/(1-p0)), math.Log(p1/p0)
		for j := range n {
			// The j-th rating is poor if the count of evenly spread poor ratings increases there.
			logRatio := logRatioGood
			if (j+1)*poor/n > j*poor/n {
				logRatio = logRatioPoor
			}
			c.logSums[i] = step(c.logSums[i], logRatio)
		}
	}
}

// step computes log((1 + R) * ratio), the Shiryaev-Roberts recursion, from logarithms.
func step(logR, logRatio float64) float64 {
	return logSumExp([]float64{0, logR}) + logRatio
}

// Changed reports whether the version has become worse than its baseline.
func (c *ChangeDetector) Changed() bool {
	return logSumExp(c.logSums)-math.Log(float64(len(c.logSums))) >= math.Log(ratingsPerFalseAlarm)
}
