package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestTheSessionShareIsConstantInTheFirstHalfAndNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Ramp{Duration: time.Duration(rapid.IntRange(1, 600).Draw(t, "s")) * time.Second, FirstShare: rapid.Float64Range(0.01, 0.2).Draw(t, "first")}
		last := 0.0
		for percent := range 101 {
			at := time.Duration(percent) * r.Duration / 100
			share := r.Share(at)
			require.GreaterOrEqual(t, share, last)
			if percent <= 50 {
				require.Equal(t, r.FirstShare, share)
			}
			if percent < 78 {
				require.False(t, r.MayComplete(at, true))
			}
			last = share
		}
		require.Equal(t, 1.0, last)
		require.True(t, r.MayComplete(r.Duration*93/100, false), "it completes before its duration is over")
	})
}

// TestRegressedDistinguishesBadVersionsFromColdOnes guards against stopping a version that only starts with empty
// caches, and against stopping a bad one too late. It simulates versions with a known share of bad responses.
func TestRegressedDistinguishesBadVersionsFromColdOnes(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	stoppedAfter := func(oldRate, newRate float64, responses int) int {
		var c Comparison
		for range 300 {
			c.Old = c.Old.withRandomResponse(rng, oldRate)
		}
		for n := range responses {
			c.New = c.New.withRandomResponse(rng, newRate)
			if Regressed([]Comparison{c}, nil) {
				return n + 1
			}
		}
		return 0
	}
	const runs = 300
	falseStops := 0
	for range runs {
		if stoppedAfter(0.05, 0.1, 150) > 0 {
			falseStops++
		}
	}
	require.LessOrEqual(t, falseStops, runs/20, "a version that starts with empty caches is not stopped")
	// Some seconds after the fiftieth bad response, the platform no longer allows any request to the version.
	const maxBadResponses = 50
	for _, bad := range []float64{0.3, 0.5} {
		for range runs {
			n := stoppedAfter(0.02, bad, 400)
			require.Positive(t, n)
			require.Less(t, float64(n)*bad, float64(maxBadResponses), "share %v", bad)
		}
	}
}

func (r Responses) withRandomResponse(rng *rand.Rand, bad float64) Responses {
	if rng.Float64() < bad {
		r.Bad++
	} else {
		r.Good++
	}
	return r
}
