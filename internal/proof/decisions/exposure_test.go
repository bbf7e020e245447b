package decisions

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/decide/rollout"
	"github.com/pollencourse/pollencourse/internal/fleet/evidence"
)

const (
	exposureDaemons = 7
	exposureRate    = 40.0
	ratingLate      = 5 * time.Second
	oldQuality      = 0.92
	exposureBudget  = 14
)

// trial is one roll-out of a version of some quality, replacing a version that serves.
type trial struct {
	bad     int
	stopped bool
	// shareAtEnd is the part of the last hundred requests that the new version got.
	shareAtEnd float64
}

func rollingPolicy(weight float64) *policies {
	p := &template.Policy{Weights: template.Weights{Exposure: weight}, Template: "quotes", Account: "kppd", Versions: []template.Version{
		{ID: "old@1", Model: "old", State: template.Serving, Trial: 1, PriorQuality: oldQuality},
		{ID: "new@2", Model: "new", State: template.RollingIn, Trial: 1, PriorQuality: oldQuality, Replaces: "old@1", Exposure: exposureBudget, MaxShare: 0.5},
	}}
	return &policies{policy: p}
}

var (
	oldKey = evidence.Key{Template: "quotes", Version: "old@1", Trial: 1}
	newKey = evidence.Key{Template: "quotes", Version: "new@2", Trial: 1}
)

// rollOut runs the evidence of a fleet while a version of some quality rolls in.
func rollOut(t *testing.T, seed uint64, quality, weight float64, during time.Duration) trial {
	var out trial
	bubble(t, func(ctx context.Context) {
		rng := rand.New(rand.NewPCG(seed, 3))
		p, f := rollingPolicy(weight), newFleet(exposureDaemons)
		var services []*evidence.Service
		for rank := range exposureDaemons {
			s := evidence.New(f.members[rank].Node, seat{f, rank}, seat{f, rank}, p, time.Second, event.Discard())
			services = append(services, s)
			go func() { _ = s.Run(ctx) }()
		}
		// The old version has served for a while.
		for range 300 {
			s := services[rng.IntN(exposureDaemons)]
			s.Start(oldKey, true)
			s.Rated(oldKey, rng.Float64() < oldQuality)
		}
		time.Sleep(5 * time.Second)
		began := time.Now()
		recent := 0.0
		for time.Since(began) < during {
			time.Sleep(time.Duration(rng.ExpFloat64() / exposureRate * float64(time.Second)))
			s := services[rng.IntN(exposureDaemons)]
			usesNew := !s.Stopped(newKey) && rng.Float64() < 0.5 && s.Allows(newKey, exposureBudget, weight)
			recent += 0.01 * (boolTo(usesNew) - recent)
			if !usesNew {
				continue
			}
			isGood := rng.Float64() < quality
			if !isGood {
				out.bad++
			}
			s.Start(newKey, true)
			time.AfterFunc(ratingLate, func() { s.Rated(newKey, isGood) })
		}
		out.stopped = services[0].Stopped(newKey)
		out.shareAtEnd = recent
	})
	return out
}

func boolTo(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// informationBound is the least number of ratings after which any test with error alpha can stop, on average.
func informationBound(quality float64) float64 {
	return math.Log(1/rollout.Alpha) / rollout.KL(1-quality, 1-oldQuality)
}

func TestABadVersionIsStoppedNearTheInformationBound(t *testing.T) {
	for _, quality := range []float64{0.30, 0.50, 0.70} {
		var bad []float64
		for seed := range uint64(15) {
			r := rollOut(t, seed, quality, 1, 4*time.Minute)
			require.True(t, r.stopped, "seed %d", seed)
			bad = append(bad, float64(r.bad))
		}
		bound := informationBound(quality)
		allowed := 1.5*bound + exposureBudget
		canary := clockCanary(quality)
		measured(fmt.Sprintf("exposure.bad.quality=%.2f", quality), middle(bad), "answers",
			fmt.Sprintf("bound:%.1f,allowed:%.1f,clockCanary:%.0f", bound, allowed, canary))
		require.LessOrEqual(t, middle(bad), allowed, "quality %.2f: %v", quality, bad)
	}
}

// clockCanary is the baseline: 1, 5, 25 and 100 % for two minutes each, stopped at the end of a
// step in which more than twice the usual rate of answers was poor.
func clockCanary(quality float64) float64 {
	bad := 0.0
	for _, share := range []float64{0.01, 0.05, 0.25, 1} {
		answers := share * exposureRate * 120
		bad += answers * (1 - quality)
		if answers >= 20 && 1-quality > 2*(1-oldQuality) {
			break
		}
	}
	return bad
}

func TestAGoodVersionIsRarelyStoppedAndTakesItsShare(t *testing.T) {
	const runs = 100
	stopped := 0
	var shares []float64
	for seed := range uint64(runs) {
		r := rollOut(t, 1000+seed, oldQuality, 1, 2*time.Minute)
		if r.stopped {
			stopped++
		}
		shares = append(shares, r.shareAtEnd)
	}
	measured("exposure.goodStopped", float64(stopped)/runs, "share", "0.01")
	measured("exposure.goodShareAfter2Min", middle(shares), "share", "0.5")
	require.LessOrEqual(t, float64(stopped)/runs, 0.01)
	require.Greater(t, middle(shares), 0.3, "a good version widens")
}

func TestAServingVersionThatTurnsBadIsStopped(t *testing.T) {
	var bad []float64
	const after = 0.50
	for seed := range uint64(10) {
		bad = append(bad, float64(turnsBad(t, seed, after)))
	}
	// A detector that errs once in 100,000 ratings needs about log(100000)/KL ratings.
	bound := math.Log(100_000) / rollout.KL(1-after, 1-oldQuality)
	measured("exposure.turnedBad.ratings", middle(bad), "ratings", fmt.Sprintf("bound:%.0f", bound))
	require.LessOrEqual(t, middle(bad), 1.5*bound+exposureRate)
}

// turnsBad returns how many ratings of a version that serves came after it turned bad and before its stop.
func turnsBad(t *testing.T, seed uint64, after float64) int {
	ratings, early := 0, false
	bubble(t, func(ctx context.Context) {
		rng := rand.New(rand.NewPCG(seed, 4))
		p, f := rollingPolicy(1), newFleet(1)
		s := evidence.New(f.members[0].Node, seat{f, 0}, seat{f, 0}, p, time.Second, event.Discard())
		go func() { _ = s.Run(ctx) }()
		rate := func(quality float64) {
			time.Sleep(time.Duration(rng.ExpFloat64() / exposureRate * float64(time.Second)))
			s.Start(oldKey, true)
			s.Rated(oldKey, rng.Float64() < quality)
		}
		for range 2000 {
			rate(oldQuality)
		}
		early = s.Stopped(oldKey)
		for !s.Stopped(oldKey) && ratings < 2000 {
			rate(after)
			ratings++
		}
	})
	require.False(t, early, "seed %d: stopped while it was good", seed)
	return ratings
}

// TestTheWeightOfExposureTradesSpeedForBadAnswers compares a weight as of Karamu with one as of KPPD.
func TestTheWeightOfExposureTradesSpeedForBadAnswers(t *testing.T) {
	var bad [2]float64
	for i, weight := range []float64{1, 3} {
		var all []float64
		for seed := range uint64(15) {
			r := rollOut(t, seed, 0.6, weight, 4*time.Minute)
			require.True(t, r.stopped)
			all = append(all, float64(r.bad))
		}
		bad[i] = middle(all)
		measured(fmt.Sprintf("exposure.bad.weight=%g", weight), bad[i], "answers", "-")
	}
	require.LessOrEqual(t, bad[1], bad[0])
}

// TestARollOutWaitsWhileRatingsAreDown sends answers that nobody rates.
func TestARollOutWaitsWhileRatingsAreDown(t *testing.T) {
	out := 0
	bubble(t, func(ctx context.Context) {
		p, f := rollingPolicy(1), newFleet(exposureDaemons)
		var services []*evidence.Service
		for rank := range exposureDaemons {
			s := evidence.New(f.members[rank].Node, seat{f, rank}, seat{f, rank}, p, time.Second, event.Discard())
			services = append(services, s)
			go func() { _ = s.Run(ctx) }()
		}
		for i := range 5000 {
			time.Sleep(20 * time.Millisecond)
			s := services[i%exposureDaemons]
			if s.Allows(newKey, exposureBudget, 1) {
				s.Start(newKey, true)
				out++
			}
		}
	})
	measured("exposure.withoutRatings", float64(out), "answers", fmt.Sprint(exposureBudget))
	require.LessOrEqual(t, out, exposureBudget)
}

// TestAnInterruptedRollOutStillStopsABadVersion loses three of seven daemons in the middle.
func TestAnInterruptedRollOutStillStopsABadVersion(t *testing.T) {
	for seed := range uint64(10) {
		require.True(t, interruptedRollOut(t, seed), "seed %d", seed)
	}
}

func interruptedRollOut(t *testing.T, seed uint64) bool {
	stopped := false
	bubble(t, func(ctx context.Context) {
		rng := rand.New(rand.NewPCG(seed, 6))
		p, f := rollingPolicy(1), newFleet(exposureDaemons)
		var services []*evidence.Service
		lostCtx, lose := context.WithCancel(ctx)
		for rank := range exposureDaemons {
			s := evidence.New(f.members[rank].Node, seat{f, rank}, seat{f, rank}, p, time.Second, event.Discard())
			services = append(services, s)
			run := ctx
			if rank >= exposureDaemons-3 {
				run = lostCtx
			}
			go func() { _ = s.Run(run) }()
		}
		living := exposureDaemons
		for i := range 4000 {
			time.Sleep(25 * time.Millisecond)
			if i == 100 {
				lose()
				living -= 3
			}
			s := services[rng.IntN(living)]
			if s.Stopped(newKey) || !s.Allows(newKey, exposureBudget, 1) {
				continue
			}
			s.Start(newKey, true)
			isGood := rng.Float64() < 0.5
			time.AfterFunc(ratingLate, func() { s.Rated(newKey, isGood) })
		}
		stopped = services[0].Stopped(newKey)
		lose()
	})
	return stopped
}
