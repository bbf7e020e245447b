package rollout

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestDaemonSharesAddUpToTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowance := rapid.Float64Range(0, 1000).Draw(t, "allowance")
		daemons := rapid.IntRange(1, 600).Draw(t, "daemons")
		total := 0
		for rank := range daemons {
			total += DaemonShare(allowance, daemons, rank)
		}
		require.Equal(t, int(allowance), total)
	})
}

// TestRepeatedEvaluationRarelyStopsAGoodVersion guards against a stopping test that is not anytime-valid: evaluated
// after each rating, it would stop good versions more often than Alpha allows.
func TestRepeatedEvaluationRarelyStopsAGoodVersion(t *testing.T) {
	const runs, ratings, quality = 2000, 500, 0.9
	rng := rand.New(rand.NewPCG(1, 2))
	stopped := 0
	for range runs {
		good, poor := 0.0, 0.0
		for range ratings {
			if rng.Float64() < quality {
				good++
			} else {
				poor++
			}
			if Worse(good, poor, quality, 1) {
				stopped++
				break
			}
		}
	}
	require.LessOrEqual(t, float64(stopped)/runs, Alpha)
}
