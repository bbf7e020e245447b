package decisions

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/fleet/evidence"
)

// TestAFleetWideLimitIsKeptAndUsed offers three times the rate limit of an account to seven daemons,
// evenly and with one daemon getting five times as many requests as each of the others. The daemons divide
// the limit by the demand that they report; together they have to pass 95 to 105 % of it.
func TestAFleetWideLimitIsKeptAndUsed(t *testing.T) {
	const daemons, limit = 7, 100.0
	for _, skew := range []float64{1, 5} {
		var passedShares []float64
		for seed := range uint64(5) {
			passedShares = append(passedShares, passedPerSecond(t, seed, daemons, limit, skew)/limit)
		}
		low, high := quantile(passedShares, 0), quantile(passedShares, 1)
		measured(fmt.Sprintf("share.used.uneven=%g", skew), low, "of limit", "0.95")
		measured(fmt.Sprintf("share.passed.uneven=%g", skew), high, "of limit", "1.05")
		require.GreaterOrEqual(t, low, 0.95)
		require.LessOrEqual(t, high, 1.05)
	}
}

// passedPerSecond returns the rate of requests that the daemons pass, after 10 s in which they learn
// the demand.
func passedPerSecond(t *testing.T, seed uint64, daemons int, limit, skew float64) float64 {
	passed := 0
	const duration = 60 * time.Second
	inVirtualTime(t, func(ctx context.Context) {
		rng := rand.New(rand.NewPCG(seed, 5))
		f := newFleet(daemons)
		var services []*evidence.Service
		var limiters []*rate.Limiter
		for rank := range daemons {
			s := evidence.New(f.members[rank].Node, daemonView{f, rank}, daemonView{f, rank}, rollOutPolicies(1), time.Second, event.Discard())
			services = append(services, s)
			limiters = append(limiters, rate.NewLimiter(rate.Limit(limit/float64(daemons)), int(limit)/daemons))
			go func() { _ = s.Run(ctx) }()
		}
		began := time.Now()
		for time.Since(began) < duration+10*time.Second {
			time.Sleep(time.Duration(rng.ExpFloat64() / (3 * limit) * float64(time.Second)))
			i := pickSkewed(rng, daemons, skew)
			services[i].Arrive("karamu")
			limiters[i].SetLimit(rate.Limit(services[i].Limit("karamu", limit)))
			if limiters[i].Allow() && time.Since(began) > 10*time.Second {
				passed++
			}
		}
	})
	return float64(passed) / duration.Seconds()
}

// pickSkewed picks a daemon. The first one is skew times as likely as each of the others.
func pickSkewed(rng *rand.Rand, daemons int, skew float64) int {
	x := rng.Float64() * (skew + float64(daemons-1))
	if x < skew {
		return 0
	}
	return 1 + int(x-skew)%(daemons-1)
}
