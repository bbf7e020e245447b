package trial

import (
	"slices"

	"github.com/pollencourse/pollencourse/internal/decide/rollout"
	"github.com/pollencourse/pollencourse/internal/fleet/peerpb"
)

// routeComparison compares both versions on one route.
type routeComparison struct {
	// Results counts good and bad responses.
	Results rollout.Comparison
	// Speeds counts the target's fast streams as good and its slow ones as bad.
	Speeds rollout.Responses
}

// routeCounts counts the responses of both versions by route.
type routeCounts map[string]routeComparison

func (counts routeCounts) addResult(route string, target, bad bool) {
	c := counts[route]
	if target {
		addResponse(&c.Results.New, bad)
	} else {
		addResponse(&c.Results.Old, bad)
	}
	counts[route] = c
}

func (counts routeCounts) addSpeed(route string, slow bool) {
	c := counts[route]
	addResponse(&c.Speeds, slow)
	counts[route] = c
}

func addResponse(r *rollout.Responses, bad bool) {
	if bad {
		r.Bad++
	} else {
		r.Good++
	}
}

func (counts routeCounts) merge(routes []*peerpb.RouteTrial) {
	for _, r := range routes {
		c := counts[r.GetRoute()]
		c.Results.New.Good += float64(r.GetNewGood())
		c.Results.New.Bad += float64(r.GetNewBad())
		c.Results.Old.Good += float64(r.GetOldGood())
		c.Results.Old.Bad += float64(r.GetOldBad())
		c.Speeds.Good += float64(r.GetNewFast())
		c.Speeds.Bad += float64(r.GetNewSlow())
		counts[r.GetRoute()] = c
	}
}

func (counts routeCounts) toProto() []*peerpb.RouteTrial {
	out := make([]*peerpb.RouteTrial, 0, len(counts))
	for route, c := range counts {
		out = append(out, &peerpb.RouteTrial{
			Route:   route,
			NewGood: int64(c.Results.New.Good), NewBad: int64(c.Results.New.Bad), OldGood: int64(c.Results.Old.Good), OldBad: int64(c.Results.Old.Bad),
			NewFast: int64(c.Speeds.Good), NewSlow: int64(c.Speeds.Bad),
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

// resultsSince returns a comparison for each route and one over all routes. They hold the new version's responses after
// the earlier counts and all responses of the old version, which is the baseline.
func (counts routeCounts) resultsSince(earlier routeCounts) []rollout.Comparison {
	var out []rollout.Comparison
	var sum rollout.Comparison
	for route := range counts {
		c, e := counts[route].Results, earlier[route].Results
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

// speeds returns the speeds of the new version's streams for each route and over all routes.
func (counts routeCounts) speeds() []rollout.Responses {
	var out []rollout.Responses
	var sum rollout.Responses
	for _, c := range counts {
		out = append(out, c.Speeds)
		sum.Good += c.Speeds.Good
		sum.Bad += c.Speeds.Bad
	}
	return append(out, sum)
}
