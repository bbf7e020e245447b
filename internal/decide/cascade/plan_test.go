package cascade

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func evidenceOf(t *rapid.T, name string) *Evidence {
	e := &Evidence{Prior: rapid.Float64Range(0, 1).Draw(t, name+" prior")}
	quality := rapid.Float64Range(0, 1).Draw(t, name+" quality")
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, name+" seed"), 1))
	for range rapid.IntRange(0, 400).Draw(t, name+" ratings") {
		good := rng.Float64() < quality
		c := rng.Float64()
		e.Observe(c)
		e.Rate(c, good)
	}
	return e
}

func candidates(t *rapid.T) []Candidate {
	var out []Candidate
	for i, id := range []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "versions")] {
		out = append(out, Candidate{
			ID: id, Cost: float64(i+1) * 100, Latency: time.Duration(i+1) * 100 * time.Millisecond, Evidence: evidenceOf(t, id),
		})
	}
	return out
}

func TestTheChosenMixReachesTheTargetAndCostsNoMoreThanTheCheapestPlanThatDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := candidates(t)
		req := Requirements{QualityTarget: rapid.Float64Range(0, 1).Draw(t, "target"), Z: 1}
		mix, ok := Choose(versions, req)
		require.True(t, ok)
		plans := enumeratePlans(versions, req)
		best, feasible := cheapestFeasible(plans, req.QualityTarget)
		if !feasible {
			require.Equal(t, highestQuality(plans), mix.Plan)
			return
		}
		quality := mix.Weight*mix.Other.Quality + (1-mix.Weight)*mix.Plan.Quality
		cost := mix.Weight*mix.Other.Cost + (1-mix.Weight)*mix.Plan.Cost
		require.GreaterOrEqual(t, quality, req.QualityTarget-1e-9)
		require.LessOrEqual(t, cost, best.Cost+1e-9)
	})
}

func TestACascadeThatExceedsTheTimeLeftIsNotChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := candidates(t)
		mix, _ := Choose(versions, Requirements{QualityTarget: 0.9, Z: 1, TimeLeft: 250 * time.Millisecond})
		for _, p := range []Plan{mix.Plan, mix.Other} {
			require.Empty(t, p.Second, "the fastest cascade takes 300 ms")
		}
	})
}

func TestALatencyCostFavoursTheFasterVersion(t *testing.T) {
	good := &Evidence{}
	for range 1000 {
		good.RateWithoutConfidence(true)
	}
	versions := []Candidate{
		{ID: "cheap", Cost: 100, Latency: 2 * time.Second, Evidence: good},
		{ID: "fast", Cost: 300, Latency: 200 * time.Millisecond, Evidence: good},
	}
	mix, _ := Choose(versions, Requirements{QualityTarget: 0.9, DirectOnly: true})
	require.Equal(t, "cheap", mix.Plan.First)
	mix, _ = Choose(versions, Requirements{QualityTarget: 0.9, DirectOnly: true, LatencyCostPerSecond: 1000})
	require.Equal(t, "fast", mix.Plan.First)
}
