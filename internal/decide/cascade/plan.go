package cascade

import (
	"math"
	"time"
)

// Candidate is a version that may answer a request.
type Candidate struct {
	ID string
	// Cost is the expected cost of one answer, in micro-units.
	Cost float64
	// Latency is the expected time to the complete answer.
	Latency  time.Duration
	Evidence *Evidence
}

// Plan names the version that gets the request first and, in a cascade, the version that it is escalated to.
type Plan struct {
	First string
	// Second is empty in a direct plan.
	Second string
	// Threshold is the lowest confidence at which the first answer is kept.
	Threshold float64
	// Cost is the expected cost in micro-units, with the cost of the expected latency.
	Cost float64
	// Quality is the lower bound of the expected quality: the mean less Requirements.Z standard deviations.
	Quality float64
}

// Mix is Plan with probability 1 - Weight and Other with probability Weight.
type Mix struct {
	Plan   Plan
	Other  Plan
	Weight float64
}

// Pick returns one of the plans for a uniform random number in [0, 1).
func (m Mix) Pick(u float64) Plan {
	if u < m.Weight {
		return m.Other
	}
	return m.Plan
}

// Requirements holds the bounds that a request's plan must keep to and the cost of its latency.
type Requirements struct {
	// QualityTarget is the mean quality to reach, in [0, 1].
	QualityTarget float64
	// TimeLeft bounds the sum of the expected latencies of a plan's versions; 0 means no bound.
	TimeLeft time.Duration
	// Z is how many standard deviations the lower bound of the quality is below the mean.
	Z float64
	// LatencyCostPerSecond is the cost of a second of latency, in micro-units.
	LatencyCostPerSecond float64
	// DirectOnly forbids cascades; it is set for streams.
	DirectOnly bool
}

// Choose returns the cheapest mix of plans that reaches the quality target, or the plan of the highest quality if none
// does. It returns false without candidates.
func Choose(candidates []Candidate, req Requirements) (Mix, bool) {
	plans := enumeratePlans(candidates, req)
	if len(plans) == 0 {
		return Mix{}, false
	}
	best, ok := cheapestFeasible(plans, req.QualityTarget)
	if !ok {
		return Mix{Plan: highestQuality(plans)}, true
	}
	return cheapestMix(plans, best, req.QualityTarget), true
}

func cheapestFeasible(plans []Plan, target float64) (Plan, bool) {
	best := Plan{Cost: math.Inf(1)}
	for _, p := range plans {
		if p.Quality >= target && p.Cost < best.Cost {
			best = p
		}
	}
	return best, !math.IsInf(best.Cost, 1)
}

func highestQuality(plans []Plan) Plan {
	best := plans[0]
	for _, p := range plans[1:] {
		if p.Quality > best.Quality {
			best = p
		}
	}
	return best
}

// cheapestMix returns the cheapest mix of one plan that reaches the target and one that doesn't, if it costs less than
// the best single plan.
func cheapestMix(plans []Plan, best Plan, target float64) Mix {
	out := Mix{Plan: best}
	cost := best.Cost
	for _, above := range plans {
		if above.Quality < target {
			continue
		}
		for _, below := range plans {
			if below.Quality >= target || below.Cost >= above.Cost {
				continue
			}
			w := (above.Quality - target) / (above.Quality - below.Quality)
			if c := w*below.Cost + (1-w)*above.Cost; c < cost {
				cost = c
				out = Mix{Plan: above, Other: below, Weight: w}
			}
		}
	}
	return out
}

func enumeratePlans(candidates []Candidate, req Requirements) []Plan {
	var plans []Plan
	for _, c := range candidates {
		if fitsIn(c.Latency, req.TimeLeft) {
			plans = append(plans, Plan{First: c.ID, Cost: req.costWithLatency(c), Quality: c.Evidence.directQuality().lowerBound(req.Z)})
		}
	}
	if len(plans) == 0 {
		plans = append(plans, fastestPlan(candidates, req)...)
	}
	if req.DirectOnly {
		return plans
	}
	for _, a := range candidates {
		for _, b := range candidates {
			if a.ID != b.ID && a.Cost < b.Cost && fitsIn(a.Latency+b.Latency, req.TimeLeft) {
				plans = append(plans, cascadePlans(a, b, req)...)
			}
		}
	}
	return plans
}

// fastestPlan returns the plan with the fastest version, for when no version is expected to finish in time.
func fastestPlan(candidates []Candidate, req Requirements) []Plan {
	if len(candidates) == 0 {
		return nil
	}
	best := candidates[0]
	for _, c := range candidates[1:] {
		if c.Latency < best.Latency {
			best = c
		}
	}
	return []Plan{{First: best.ID, Cost: req.costWithLatency(best), Quality: best.Evidence.directQuality().lowerBound(req.Z)}}
}

// costWithLatency returns the cost of a version's answer plus the cost of its latency.
func (r Requirements) costWithLatency(c Candidate) float64 {
	return c.Cost + r.LatencyCostPerSecond*c.Latency.Seconds()
}

func fitsIn(d, left time.Duration) bool { return left == 0 || d <= left }

func cascadePlans(a, b Candidate, req Requirements) []Plan {
	var plans []Plan
	escalated := b.Evidence.escalatedQuality()
	for firstBin := 1; firstBin < BinCount; firstBin++ {
		acceptedShare, quality := a.Evidence.accepted(firstBin)
		if acceptedShare == 0 {
			continue
		}
		escalatedShare := 1 - acceptedShare
		overall := estimate{
			mean:     acceptedShare*quality.mean + escalatedShare*escalated.mean,
			variance: acceptedShare*acceptedShare*quality.variance + escalatedShare*escalatedShare*escalated.variance,
		}
		plans = append(plans, Plan{
			First: a.ID, Second: b.ID, Threshold: float64(firstBin) / BinCount,
			Cost: req.costWithLatency(a) + escalatedShare*req.costWithLatency(b), Quality: overall.lowerBound(req.Z),
		})
	}
	return plans
}
