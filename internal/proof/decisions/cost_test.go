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
	// The daemon learns during warmUpPeriod; cost and quality are measured during measuredPeriod.
	warmUpPeriod          = 1000 * time.Second
	measuredPeriod        = 200 * time.Second
	costRequestsPerSecond = 25.0
	// samplePrompts is the number of prompts from which the figures of a baseline are computed.
	samplePrompts = 100_000
)

// clairvoyantCandidates returns the versions with the evidence of the clairvoyant baseline: ratings of
// samplePrompts answers of each.
func clairvoyantCandidates(versions []simulatedVersion) []cascade.Candidate {
	var candidates []cascade.Candidate
	best := versions[len(versions)-1]
	for _, v := range versions {
		e := &cascade.Evidence{}
		for i := range samplePrompts {
			prompt := fmt.Sprint("truth-", i)
			isGood := answersWell(prompt, v.quality)
			confidence := reportedConfidence(prompt, v.id, isGood)
			e.Observe(confidence)
			e.Rate(confidence, isGood)
		}
		candidates = append(candidates, cascade.Candidate{ID: v.id, Cost: v.answerCost, Evidence: e})
	}
	// Include how well the others answer prompts that the cheapest version answers badly.
	for i := range samplePrompts {
		prompt := fmt.Sprint("truth-", i)
		if !answersWell(prompt, versions[0].quality) {
			candidates[len(candidates)-1].Evidence.RateEscalated(answersWell(prompt, best.quality))
			candidates[1].Evidence.RateEscalated(answersWell(prompt, versions[1].quality))
		}
	}
	return candidates
}

// meanCostAndQuality applies a stateless rule to samplePrompts prompts, none of which clairvoyantCandidates has
// rated, and returns the mean cost and quality.
func meanCostAndQuality(rule func(prompt string) (cost float64, isGood bool)) (cost, quality float64) {
	for i := range samplePrompts {
		c, isGood := rule(fmt.Sprint("fresh-", i))
		cost += c / samplePrompts
		if isGood {
			quality += 1.0 / samplePrompts
		}
	}
	return cost, quality
}

// fixedThreshold is the baseline that escalates from the cheapest to the best version when the
// reported confidence is below a constant.
func fixedThreshold(versions []simulatedVersion, threshold float64) func(string) (float64, bool) {
	first, last := versions[0], versions[len(versions)-1]
	return func(prompt string) (float64, bool) {
		isGood := answersWell(prompt, first.quality)
		if reportedConfidence(prompt, first.id, isGood) >= threshold {
			return first.answerCost, isGood
		}
		return first.answerCost + last.answerCost, answersWell(prompt, last.quality)
	}
}

// TestCostAtTheQualityTarget routes requests over three versions with a quality target of 0.90. The
// daemon has to learn which version to ask and when to escalate: no seed may miss the target by more
// than chance (one-sided, 5 %), and the median cost is at most 1.1 times that of the clairvoyant mix
// and half that of always using the best version.
func TestCostAtTheQualityTarget(t *testing.T) {
	versions := threeVersions()
	mix, ok := cascade.Choose(clairvoyantCandidates(versions), cascade.Requirements{QualityTarget: costTarget})
	require.True(t, ok)
	clairvoyantCost := mix.Weight*mix.Other.Cost + (1-mix.Weight)*mix.Plan.Cost
	bestCost := versions[len(versions)-1].answerCost
	fixedCost, fixedQuality := meanCostAndQuality(fixedThreshold(versions, 0.6))
	var costs, qualities []float64
	missed := 0
	for seed := range uint64(costSeeds) {
		cost, quality, n := costRun(t, seed, versions)
		costs, qualities = append(costs, cost), append(qualities, quality)
		if quality < costTarget-1.64*math.Sqrt(costTarget*(1-costTarget)/float64(n)) {
			missed++
		}
	}
	ratio := median(costs) / clairvoyantCost
	measured("cost.perRequest", median(costs), "microUnits", fmt.Sprintf("clairvoyant:%.0f,alwaysBest:%.0f,cheapest:%.0f,fixedThreshold:%.0f@%.3f", clairvoyantCost, bestCost, versions[0].answerCost, fixedCost, fixedQuality))
	measured("cost.toClairvoyant", ratio, "ratio", "1.10")
	measured("cost.toAlwaysBest", median(costs)/bestCost, "ratio", "0.5")
	measured("cost.quality", median(qualities), "share", fmt.Sprint(costTarget))
	measured("cost.qualityMissed", float64(missed), "seeds", "0")
	t.Logf("costs %.0f, qualities %.3f, plan %+v", costs, qualities, mix)
	require.Zero(t, missed, "seeds that missed the quality target by more than chance")
	require.LessOrEqual(t, ratio, 1.10)
	require.LessOrEqual(t, median(costs)/bestCost, 0.5)
}

// costRun serves requests at a constant mean rate and returns mean cost and quality of the n requests
// after the warm-up.
func costRun(t *testing.T, seed uint64, versions []simulatedVersion) (cost, quality float64, n int) {
	inVirtualTime(t, func(ctx context.Context) {
		w := newWorld(seed, versions...)
		for _, v := range versions {
			w.addServers(4, 16, "pwani-a", v.id)
		}
		p := &policies{policy: servingPolicy(costTarget, versions...)}
		d := newDaemon(ctx, w, p, daemonView{newFleet(1), 0}, seed, rater{delay: 3 * time.Second})
		constant := func(time.Duration) float64 { return costRequestsPerSecond }
		sendPoisson(seed, constant, warmUpPeriod, func(i int) outcome { return d.sendChat(ctx, w, p, fmt.Sprintf("warm-%d-%d", seed, i), false) })
		d.charges.reset()
		outcomes := sendPoisson(seed+1000, constant, measuredPeriod, func(i int) outcome { return d.sendChat(ctx, w, p, fmt.Sprintf("ask-%d-%d", seed, i), false) })
		for _, o := range outcomes {
			require.True(t, o.answered, "%s", o.faultKind)
			if o.good {
				quality++
			}
		}
		n = len(outcomes)
		t.Logf("seed %d: %+v", seed, d.evidence.Dump())
		quality /= float64(n)
		cost = d.charges.microUnits / float64(d.charges.count)
	})
	return cost, quality, n
}
