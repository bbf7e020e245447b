package decisions

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/decide/cascade"
)

const (
	costSeeds  = 5
	costTarget = 0.90
	// warmUp and watch are how long a scenario learns and how long it is measured then.
	warmUp    = 1000 * time.Second
	watch     = 200 * time.Second
	costRate  = 25.0
	truthSize = 100_000
)

// truth is the evidence that a clairvoyant policy has: very many ratings of each version.
func truth(models []model) []cascade.Candidate {
	var out []cascade.Candidate
	best := models[len(models)-1]
	for _, m := range models {
		e := &cascade.Evidence{}
		for i := range truthSize {
			prompt := fmt.Sprint("truth-", i)
			isGood := good(prompt, m.quality)
			c := confidenceOf(prompt, m.id, isGood)
			e.Observe(c)
			e.Rate(c, isGood)
		}
		out = append(out, cascade.Candidate{ID: m.id, Cost: m.price, Evidence: e})
	}
	// What a version does with requests that a cheaper one failed is known as well.
	for i := range truthSize {
		prompt := fmt.Sprint("truth-", i)
		if !good(prompt, models[0].quality) {
			out[len(out)-1].Evidence.RateEscalated(good(prompt, best.quality))
			out[1].Evidence.RateEscalated(good(prompt, models[1].quality))
		}
	}
	return out
}

// expected is the mean cost and quality of a fixed rule over fresh prompts.
func expected(rule func(prompt string) (cost float64, isGood bool)) (cost, quality float64) {
	for i := range truthSize {
		c, g := rule(fmt.Sprint("fresh-", i))
		cost += c / truthSize
		if g {
			quality += 1.0 / truthSize
		}
	}
	return cost, quality
}

func fixedThreshold(models []model, threshold float64) func(string) (float64, bool) {
	first, last := models[0], models[len(models)-1]
	return func(prompt string) (float64, bool) {
		g := good(prompt, first.quality)
		if confidenceOf(prompt, first.id, g) >= threshold {
			return first.price, g
		}
		return first.price + last.price, good(prompt, last.quality)
	}
}

func TestCostAtTheQualityTarget(t *testing.T) {
	models := threeModels()
	mix, ok := cascade.Choose(truth(models), cascade.Requirements{QualityTarget: costTarget})
	require.True(t, ok)
	clairvoyant := mix.Weight*mix.Other.Cost + (1-mix.Weight)*mix.Plan.Cost
	best := models[len(models)-1].price
	fixedCost, fixedQuality := expected(fixedThreshold(models, 0.6))
	var costs, qualities []float64
	missed := 0
	for seed := range uint64(costSeeds) {
		cost, quality, n := costRun(t, seed, models)
		costs, qualities = append(costs, cost), append(qualities, quality)
		if quality < costTarget-1.64*math.Sqrt(costTarget*(1-costTarget)/float64(n)) {
			missed++
		}
	}
	ratio := middle(costs) / clairvoyant
	measured("cost.perRequest", middle(costs), "microUnits", fmt.Sprintf("clairvoyant:%.0f,alwaysBest:%.0f,cheapest:%.0f,fixedThreshold:%.0f@%.3f", clairvoyant, best, models[0].price, fixedCost, fixedQuality))
	measured("cost.toClairvoyant", ratio, "ratio", "1.10")
	measured("cost.toAlwaysBest", middle(costs)/best, "ratio", "0.5")
	measured("cost.quality", middle(qualities), "share", fmt.Sprint(costTarget))
	measured("cost.qualityMissed", float64(missed), "seeds", "0")
	t.Logf("costs %.0f, qualities %.3f, plan %+v", costs, qualities, mix)
	require.Zero(t, missed, "seeds that missed the quality target by more than chance")
	require.LessOrEqual(t, ratio, 1.10)
	require.LessOrEqual(t, middle(costs)/best, 0.5)
}

// costRun serves an ordinary evening and returns cost and quality after the warm-up.
func costRun(t *testing.T, seed uint64, models []model) (cost, quality float64, n int) {
	bubble(t, func(ctx context.Context) {
		w := newWorld(seed, models...)
		for _, m := range models {
			w.add(4, 16, "pwani-a", m.id)
		}
		p := &policies{policy: policyFor(costTarget, models...)}
		d := newDaemon(ctx, w, p, seat{newFleet(1), 0}, seed, rater{late: 3 * time.Second})
		constant := func(time.Duration) float64 { return costRate }
		arrivals(seed, constant, warmUp, func(i int) shown { return d.ask(ctx, w, p, fmt.Sprintf("warm-%d-%d", seed, i), false) })
		d.charges.reset()
		got := arrivals(seed+1000, constant, watch, func(i int) shown { return d.ask(ctx, w, p, fmt.Sprintf("ask-%d-%d", seed, i), false) })
		for _, s := range got {
			require.True(t, s.ok, "%s", s.kind)
			if s.good {
				quality++
			}
		}
		n = len(got)
		t.Logf("seed %d: %+v", seed, d.evidence.Dump())
		quality /= float64(n)
		cost = d.charges.cost / float64(d.charges.n)
	})
	return cost, quality, n
}
