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
	exposureDaemons           = 7
	exposureRequestsPerSecond = 40.0
	ratingDelay               = 5 * time.Second
	oldQuality                = 0.92
	// newVersionExposure bounds the unrated answers of the new version over the whole fleet.
	newVersionExposure = 14
)

// rollOutResult is the result of one simulated roll-out.
type rollOutResult struct {
	poorAnswers int
	stopped     bool
	// newVersionShare is the new version's share of the requests at the end, as a moving average over
	// about 100 requests.
	newVersionShare float64
}

// rollOutPolicies returns a configuration in which new@2 rolls in and replaces old@1.
func rollOutPolicies(exposureWeight float64) *policies {
	p := &template.Policy{Weights: template.Weights{Exposure: exposureWeight}, Template: "quotes", Account: "kppd", Versions: []template.Version{
		{ID: "old@1", Model: "old", State: template.Serving, Trial: 1, PriorQuality: oldQuality},
		{ID: "new@2", Model: "new", State: template.RollingIn, Trial: 1, PriorQuality: oldQuality, Replaces: "old@1", Exposure: newVersionExposure, MaxShare: 0.5},
	}}
	return &policies{policy: p}
}

var (
	oldKey = evidence.Key{Template: "quotes", Version: "old@1", Trial: 1}
	newKey = evidence.Key{Template: "quotes", Version: "new@2", Trial: 1}
)

// runRollOut runs the evidence services of a fleet while a version of some quality rolls in. Each
// request goes to a random daemon, which sends it to the new version with probability 0.5
// while the version isn't stopped and its allowance permits.
func runRollOut(t *testing.T, seed uint64, quality, exposureWeight float64, duration time.Duration) rollOutResult {
	var result rollOutResult
	inVirtualTime(t, func(ctx context.Context) {
		rng := rand.New(rand.NewPCG(seed, 3))
		p, f := rollOutPolicies(exposureWeight), newFleet(exposureDaemons)
		var services []*evidence.Service
		for rank := range exposureDaemons {
			s := evidence.New(f.members[rank].Node, daemonView{f, rank}, daemonView{f, rank}, p, time.Second, event.Discard())
			services = append(services, s)
			go func() { _ = s.Run(ctx) }()
		}
		// Ratings of the old version from before the roll-out.
		for range 300 {
			s := services[rng.IntN(exposureDaemons)]
			s.Start(oldKey, true)
			s.Rated(oldKey, rng.Float64() < oldQuality)
		}
		time.Sleep(5 * time.Second)
		began := time.Now()
		newVersionShare := 0.0
		for time.Since(began) < duration {
			time.Sleep(time.Duration(rng.ExpFloat64() / exposureRequestsPerSecond * float64(time.Second)))
			s := services[rng.IntN(exposureDaemons)]
			usesNew := !s.Stopped(newKey) && rng.Float64() < 0.5 && s.Allows(newKey, newVersionExposure, exposureWeight)
			newVersionShare += 0.01 * (boolToFloat(usesNew) - newVersionShare)
			if !usesNew {
				continue
			}
			isGood := rng.Float64() < quality
			if !isGood {
				result.poorAnswers++
			}
			s.Start(newKey, true)
			time.AfterFunc(ratingDelay, func() { s.Rated(newKey, isGood) })
		}
		result.stopped = services[0].Stopped(newKey)
		result.newVersionShare = newVersionShare
	})
	return result
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// informationBound is the least mean number of ratings after which any test with error rate
// rollout.Alpha can stop a version of this quality.
func informationBound(quality float64) float64 {
	return math.Log(1/rollout.Alpha) / rollout.KL(1-quality, 1-oldQuality)
}

// TestABadVersionIsStoppedNearTheInformationBound rolls in versions that are worse than the one they
// replace. Each has to be stopped in every run, after at most 1.5 times the information bound plus
// the exposure in poor answers (median).
func TestABadVersionIsStoppedNearTheInformationBound(t *testing.T) {
	for _, quality := range []float64{0.30, 0.50, 0.70} {
		var poorAnswers []float64
		for seed := range uint64(15) {
			r := runRollOut(t, seed, quality, 1, 4*time.Minute)
			require.True(t, r.stopped, "seed %d", seed)
			poorAnswers = append(poorAnswers, float64(r.poorAnswers))
		}
		bound := informationBound(quality)
		allowed := 1.5*bound + newVersionExposure
		canary := timedCanaryPoorAnswers(quality)
		measured(fmt.Sprintf("exposure.bad.quality=%.2f", quality), median(poorAnswers), "answers",
			fmt.Sprintf("bound:%.1f,allowed:%.1f,clockCanary:%.0f", bound, allowed, canary))
		require.LessOrEqual(t, median(poorAnswers), allowed, "quality %.2f: %v", quality, poorAnswers)
	}
}

// timedCanaryPoorAnswers is the mean number of poor answers with the baseline, a canary on a timetable:
// 1, 5, 25 and 100 % of the requests for two minutes each, stopped at the end of the first step that
// has at least 20 answers and more than twice the old version's share of poor ones.
func timedCanaryPoorAnswers(quality float64) float64 {
	poorAnswers := 0.0
	for _, share := range []float64{0.01, 0.05, 0.25, 1} {
		answers := share * exposureRequestsPerSecond * 120
		poorAnswers += answers * (1 - quality)
		if answers >= 20 && 1-quality > 2*(1-oldQuality) {
			break
		}
	}
	return poorAnswers
}

// TestAGoodVersionIsRarelyStoppedAndTakesItsShare rolls in versions as good as the one they replace.
// At most 1 % may be stopped by mistake, and the median share after two minutes has to exceed 0.3.
func TestAGoodVersionIsRarelyStoppedAndTakesItsShare(t *testing.T) {
	const runs = 100
	stopped := 0
	var shares []float64
	for seed := range uint64(runs) {
		r := runRollOut(t, 1000+seed, oldQuality, 1, 2*time.Minute)
		if r.stopped {
			stopped++
		}
		shares = append(shares, r.newVersionShare)
	}
	measured("exposure.goodStopped", float64(stopped)/runs, "share", "0.01")
	measured("exposure.goodShareAfter2Min", median(shares), "share", "0.5")
	require.LessOrEqual(t, float64(stopped)/runs, 0.01)
	require.Greater(t, median(shares), 0.3, "a good version gets a growing share")
}

// TestAServingVersionThatTurnsBadIsStopped lowers the quality of a serving version from 0.92 to 0.50
// after 2000 ratings. It must not be stopped before, and has to be stopped after at most 1.5 times
// the ratings that a detector with rare false alarms needs, plus one second's ratings (median).
func TestAServingVersionThatTurnsBadIsStopped(t *testing.T) {
	var ratings []float64
	const qualityAfter = 0.50
	for seed := range uint64(10) {
		ratings = append(ratings, float64(ratingsUntilStopped(t, seed, qualityAfter)))
	}
	// A detector with one false alarm in 100,000 ratings needs about log(100000)/KL ratings.
	bound := math.Log(100_000) / rollout.KL(1-qualityAfter, 1-oldQuality)
	measured("exposure.turnedBad.ratings", median(ratings), "ratings", fmt.Sprintf("bound:%.0f", bound))
	require.LessOrEqual(t, median(ratings), 1.5*bound+exposureRequestsPerSecond)
}

// ratingsUntilStopped returns how many ratings of a serving version arrive between the loss of
// quality and the stop.
func ratingsUntilStopped(t *testing.T, seed uint64, qualityAfter float64) int {
	ratings, stoppedWhileGood := 0, false
	inVirtualTime(t, func(ctx context.Context) {
		rng := rand.New(rand.NewPCG(seed, 4))
		p, f := rollOutPolicies(1), newFleet(1)
		s := evidence.New(f.members[0].Node, daemonView{f, 0}, daemonView{f, 0}, p, time.Second, event.Discard())
		go func() { _ = s.Run(ctx) }()
		rate := func(quality float64) {
			time.Sleep(time.Duration(rng.ExpFloat64() / exposureRequestsPerSecond * float64(time.Second)))
			s.Start(oldKey, true)
			s.Rated(oldKey, rng.Float64() < quality)
		}
		for range 2000 {
			rate(oldQuality)
		}
		stoppedWhileGood = s.Stopped(oldKey)
		for !s.Stopped(oldKey) && ratings < 2000 {
			rate(qualityAfter)
			ratings++
		}
	})
	require.False(t, stoppedWhileGood, "seed %d: stopped while it was good", seed)
	return ratings
}

// TestAHigherExposureWeightGivesNoMorePoorAnswers rolls in a bad version under an exposure weight of 1,
// as the client account Karamu has it, and of 3, as the client account KPPD has it. Both have to stop
// it, and the higher weight must not cost more poor answers (median).
func TestAHigherExposureWeightGivesNoMorePoorAnswers(t *testing.T) {
	var poorAnswers [2]float64
	for i, exposureWeight := range []float64{1, 3} {
		var perSeed []float64
		for seed := range uint64(15) {
			r := runRollOut(t, seed, 0.6, exposureWeight, 4*time.Minute)
			require.True(t, r.stopped)
			perSeed = append(perSeed, float64(r.poorAnswers))
		}
		poorAnswers[i] = median(perSeed)
		measured(fmt.Sprintf("exposure.bad.weight=%g", exposureWeight), poorAnswers[i], "answers", "-")
	}
	require.LessOrEqual(t, poorAnswers[1], poorAnswers[0])
}

// TestARollOutWaitsWhileRatingsAreDown sends answers of a new version while no ratings arrive. The
// fleet must not give out more unrated answers than the exposure.
func TestARollOutWaitsWhileRatingsAreDown(t *testing.T) {
	unrated := 0
	inVirtualTime(t, func(ctx context.Context) {
		p, f := rollOutPolicies(1), newFleet(exposureDaemons)
		var services []*evidence.Service
		for rank := range exposureDaemons {
			s := evidence.New(f.members[rank].Node, daemonView{f, rank}, daemonView{f, rank}, p, time.Second, event.Discard())
			services = append(services, s)
			go func() { _ = s.Run(ctx) }()
		}
		for i := range 5000 {
			time.Sleep(20 * time.Millisecond)
			s := services[i%exposureDaemons]
			if s.Allows(newKey, newVersionExposure, 1) {
				s.Start(newKey, true)
				unrated++
			}
		}
	})
	measured("exposure.withoutRatings", float64(unrated), "answers", fmt.Sprint(newVersionExposure))
	require.LessOrEqual(t, unrated, newVersionExposure)
}

// TestAnInterruptedRollOutStillStopsABadVersion stops three of seven daemons 2.5 s into the roll-out
// of a bad version. From then on they get no requests and publish no counts, so the fleet misses the
// ratings that still arrive at them. The version has to be stopped all the same, in every run.
func TestAnInterruptedRollOutStillStopsABadVersion(t *testing.T) {
	for seed := range uint64(10) {
		require.True(t, stoppedDespiteLostDaemons(t, seed), "seed %d", seed)
	}
}

func stoppedDespiteLostDaemons(t *testing.T, seed uint64) bool {
	stopped := false
	inVirtualTime(t, func(ctx context.Context) {
		rng := rand.New(rand.NewPCG(seed, 6))
		p, f := rollOutPolicies(1), newFleet(exposureDaemons)
		var services []*evidence.Service
		lostDaemonsCtx, stopLostDaemons := context.WithCancel(ctx)
		for rank := range exposureDaemons {
			s := evidence.New(f.members[rank].Node, daemonView{f, rank}, daemonView{f, rank}, p, time.Second, event.Discard())
			services = append(services, s)
			runCtx := ctx
			if rank >= exposureDaemons-3 {
				runCtx = lostDaemonsCtx
			}
			go func() { _ = s.Run(runCtx) }()
		}
		liveDaemons := exposureDaemons
		for i := range 4000 {
			time.Sleep(25 * time.Millisecond)
			if i == 100 {
				stopLostDaemons()
				liveDaemons -= 3
			}
			s := services[rng.IntN(liveDaemons)]
			if s.Stopped(newKey) || !s.Allows(newKey, newVersionExposure, 1) {
				continue
			}
			s.Start(newKey, true)
			isGood := rng.Float64() < 0.5
			time.AfterFunc(ratingDelay, func() { s.Rated(newKey, isGood) })
		}
		stopped = services[0].Stopped(newKey)
		stopLostDaemons()
	})
	return stopped
}
