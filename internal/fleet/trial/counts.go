package trial

import (
	"math"
	"slices"
	"time"

	"github.com/pollencourse/pollencourse/internal/decide/rollout"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

const (
	// slowDurationRatio is the multiple of the old version's usual chunk time above which a response counts as bad.
	slowDurationRatio = 4.0
	// minSmoothingWeight is the least weight of a new sample in the moving average, which is a plain mean while
	// 1/samples is higher.
	minSmoothingWeight = 0.05
	// minBaselineSamples is the number of samples below which no response counts as slow.
	minBaselineSamples = 8
)

// durationBaseline is a moving average of the logarithm of the old version's chunk times, in seconds. Times below 1 µs
// count as 1 µs, since 0 has no logarithm.
type durationBaseline struct {
	meanLogSeconds float64
	samples        int
}

func (b *durationBaseline) observe(d time.Duration) {
	l := math.Log(max(d.Seconds(), 1e-6))
	if b.samples++; b.samples == 1 {
		b.meanLogSeconds = l
		return
	}
	b.meanLogSeconds += max(minSmoothingWeight, 1/float64(b.samples)) * (l - b.meanLogSeconds)
}

func (b *durationBaseline) isSlow(d time.Duration) bool {
	return b.samples >= minBaselineSamples && math.Log(max(d.Seconds(), 1e-6)) > b.meanLogSeconds+math.Log(slowDurationRatio)
}

// routeCounts counts the responses of both versions by route.
type routeCounts map[string]rollout.Comparison

func (counts routeCounts) add(route string, target, bad bool) {
	c := counts[route]
	side := &c.Old
	if target {
		side = &c.New
	}
	if bad {
		side.Bad++
	} else {
		side.Good++
	}
	counts[route] = c
}

func (counts routeCounts) merge(routes []*peerpb.RouteTrial) {
	for _, r := range routes {
		c := counts[r.GetRoute()]
		c.New.Good += float64(r.GetNewGood())
		c.New.Bad += float64(r.GetNewBad())
		c.Old.Good += float64(r.GetOldGood())
		c.Old.Bad += float64(r.GetOldBad())
		counts[r.GetRoute()] = c
	}
}

func (counts routeCounts) toProto() []*peerpb.RouteTrial {
	out := make([]*peerpb.RouteTrial, 0, len(counts))
	for route, c := range counts {
		out = append(out, &peerpb.RouteTrial{
			Route: route, NewGood: int64(c.New.Good), NewBad: int64(c.New.Bad), OldGood: int64(c.Old.Good), OldBad: int64(c.Old.Bad),
		})
	}
	slices.SortFunc(out, func(a, b *peerpb.RouteTrial) int {
		if a.GetRoute() < b.GetRoute() {
			return -1
		}
		return 1
	})
	return out
}

// since returns a comparison for each route and one over all routes. They hold the new version's responses after the
// earlier counts and all responses of the old version, which is the baseline.
func (counts routeCounts) since(earlier routeCounts) []rollout.Comparison {
	var out []rollout.Comparison
	var sum rollout.Comparison
	for route, c := range counts {
		e := earlier[route]
		d := rollout.Comparison{
			New: rollout.Responses{Good: c.New.Good - e.New.Good, Bad: c.New.Bad - e.New.Bad},
			Old: c.Old,
		}
		out = append(out, d)
		sum.New.Good += d.New.Good
		sum.New.Bad += d.New.Bad
		sum.Old.Good += d.Old.Good
		sum.Old.Bad += d.Old.Bad
	}
	return append(out, sum)
}
