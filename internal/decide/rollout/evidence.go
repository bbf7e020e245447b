package rollout

import "math"

// Alpha bounds the probability that a version as good as its baseline is ever stopped.
const Alpha = 0.01

// drops are the factors on the odds of a poor answer that the mixture looks for.
var drops = []float64{1.5, 2, 3, 5, 8, 12}

// ceiling keeps rates away from 0 and 1, where a single rating would decide.
const ceiling = 0.98

// LogEvidence returns the logarithm of the e-value against "the rate of good answers is at least baseline".
func LogEvidence(good, poor, baseline float64) float64 {
	p0 := clamp(1 - baseline)
	logs := make([]float64, 0, len(drops))
	for _, d := range drops {
		p1 := alternative(p0, d)
		logs = append(logs, poor*math.Log(p1/p0)+good*math.Log((1-p1)/(1-p0)))
	}
	return logSumExp(logs) - math.Log(float64(len(drops)))
}

// alternative is the rate of poor answers whose odds are factor times those of p0.
func alternative(p0, factor float64) float64 {
	return factor * p0 / (1 - p0 + factor*p0)
}

func clamp(p float64) float64 { return math.Min(ceiling, math.Max(1-ceiling, p)) }

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
// A weight of exposure above 1 asks for less evidence: the error is Alpha times the weight.
func Worse(good, poor, baseline, weight float64) bool {
	return LogEvidence(good, poor, baseline) >= math.Log(1/(Alpha*weight))
}

// KL is the divergence between two rates of poor answers, in nats a rating.
func KL(p1, p0 float64) float64 {
	p1, p0 = clamp(p1), clamp(p0)
	return p1*math.Log(p1/p0) + (1-p1)*math.Log((1-p1)/(1-p0))
}
