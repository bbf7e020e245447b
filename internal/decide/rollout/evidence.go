package rollout

import "math"

// Alpha is the significance level: it bounds the probability that a version as good as its baseline is ever stopped.
const Alpha = 0.01

// oddsRatios are the alternatives of the mixture: the odds of a poor answer as multiples of the baseline's.
var oddsRatios = []float64{1.5, 2, 3, 5, 8, 12}

// maxRate, and 1 - maxRate as the lower bound, keep rates away from 0 and 1, where a single rating would decide.
const maxRate = 0.98

// LogEvidence returns the logarithm of the e-value against the hypothesis that the rate of good answers is at least
// baseline.
func LogEvidence(good, poor, baseline float64) float64 {
	p0 := clampRate(1 - baseline)
	logs := make([]float64, 0, len(oddsRatios))
	for _, d := range oddsRatios {
		p1 := alternativeRate(p0, d)
		logs = append(logs, poor*math.Log(p1/p0)+good*math.Log((1-p1)/(1-p0)))
	}
	return logSumExp(logs) - math.Log(float64(len(oddsRatios)))
}

// alternativeRate returns the rate of poor answers whose odds are oddsRatio times those of p0.
func alternativeRate(p0, oddsRatio float64) float64 {
	return oddsRatio * p0 / (1 - p0 + oddsRatio*p0)
}

func clampRate(p float64) float64 { return math.Min(maxRate, math.Max(1-maxRate, p)) }

func logSumExp(xs []float64) float64 {
	top := math.Inf(-1)
	for _, x := range xs {
		top = math.Max(top, x)
	}
	sum := 0.0
	for _, x := range xs {
		sum += math.Exp(x - top)
	}
	return top + math.Log(sum)
}

// Worse reports whether the counts show that a version is worse than its baseline.
//
// An exposure weight above 1 requires less evidence: the bound of the probability of a false stop becomes Alpha times
// the weight.
func Worse(good, poor, baseline, weight float64) bool {
	return LogEvidence(good, poor, baseline) >= math.Log(1/(Alpha*weight))
}

// KL returns the Kullback-Leibler divergence between two rates of poor answers, in nats per rating.
func KL(p1, p0 float64) float64 {
	p1, p0 = clampRate(p1), clampRate(p0)
	return p1*math.Log(p1/p0) + (1-p1)*math.Log((1-p1)/(1-p0))
}
