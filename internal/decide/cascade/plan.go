package cascade

import (
	"math"
	"time"
)

// Candidate is one version that a request may use.
type Candidate struct {
	ID string
	// Cost is the expected cost of one answer, in micro-units.
	Cost float64
	// Latency is the expected time to a whole answer.
	Latency  time.Duration
	Evidence *Evidence
}

// Plan says which version is tried first and, in a cascade, when the second follows.
type Plan struct {
	First string
	// Second is empty in a direct plan.
	Second string
	// Threshold is the lowest confidence at which the first answer is kept.
	Threshold float64
	// Cost is the expected cost with what the expected latency is worth, in micro-units.
	Cost float64
	// Quality is the lower confidence bound of the quality.
	Quality float64
}

// Mix is a plan, or two of which the second is taken with probability Weight.
type Mix struct {
	Plan   Plan
	Other  Plan
	Weight float64
}

// Pick returns the plan for a uniform random number in [0, 1).
func (m Mix) Pick(u float64) Plan {
	if u < m.Weight {
		return m.Other
	}
	return m.Plan
}

// Goal is what a plan has to reach.
type Requirements struct {
	// Quality is the target of the mean quality, in [0, 1].
	QualityTarget float64
	// TimeLeft bounds the expected latency of all tries; 0 means no bound.
	TimeLeft time.Duration
	// Z is the number of standard deviations of the lower bound.
	Z float64
	// SecondCost is what a second of latency is worth, in micro-units.
	LatencyCostPerSecond float64
	// Direct forbids cascades, as for streams.
	DirectOnly bool
}

// Choose returns the cheapest mix of plans that reaches the goal, or the best plan if none does.
func Choose(candidates []Candidate, goal Requirements) (Mix, bool) {
	plans := enumerate(candidates, goal)
	if len(plans) == 0 {
		return Mix{}, false
	}
	best, ok := cheapestFeasible(plans, goal.QualityTarget)
	if !ok {
		return Mix{Plan: highestQuality(plans)}, true
	}
	return mixDown(plans, best, goal.QualityTarget), true
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

// mixDown looks for two plans around the target whose mix costs less than the best single one.
func mixDown(plans []Plan, best Plan, target float64) Mix {
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

func enumerate(candidates []Candidate, goal Requirements) []Plan {
	var plans []Plan
	for _, c := range candidates {
		if fits(c.Latency, goal.TimeLeft) {
			plans = append(plans, Plan{First: c.ID, Cost: goal.worth(c), Quality: c.Evidence.direct().lower(goal.Z)})
		}
	}
	if len(plans) == 0 {
		plans = append(plans, fastest(candidates, goal)...)
	}
	if goal.DirectOnly {
		return plans
	}
	for _, a := range candidates {
		for _, b := range candidates {
			if a.ID != b.ID && a.Cost < b.Cost && fits(a.Latency+b.Latency, goal.TimeLeft) {
				plans = append(plans, cascades(a, b, goal)...)
			}
		}
	}
	return plans
}

// fastest is the plan when no version is expected to finish in time.
func fastest(candidates []Candidate, goal Requirements) []Plan {
	if len(candidates) == 0 {
		return nil
	}
	best := candidates[0]
	for _, c := range candidates[1:] {
		if c.Latency < best.Latency {
			best = c
		}
	}
	return []Plan{{First: best.ID, Cost: goal.worth(best), Quality: best.Evidence.direct().lower(goal.Z)}}
}

// worth is a version's cost with what its latency is worth.
func (g Requirements) worth(c Candidate) float64 {
	return c.Cost + g.LatencyCostPerSecond*c.Latency.Seconds()
}

func fits(d, left time.Duration) bool { return left == 0 || d <= left }

func cascades(a, b Candidate, goal Requirements) []Plan {
	var plans []Plan
	after := b.Evidence.after()
	for first := 1; first < BinCount; first++ {
		share, q := a.Evidence.accepted(first)
		if share == 0 {
			continue
		}
		rest := 1 - share
		all := estimate{
			mean:     share*q.mean + rest*after.mean,
			variance: share*share*q.variance + rest*rest*after.variance,
		}
		plans = append(plans, Plan{
			First: a.ID, Second: b.ID, Threshold: float64(first) / BinCount,
			Cost: goal.worth(a) + rest*goal.worth(b), Quality: all.lower(goal.Z),
		})
	}
	return plans
}
