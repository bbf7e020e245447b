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

// TestAFleetWideLimitIsKeptAndUsed offers three times an account's limit, unevenly over the daemons.
func TestAFleetWideLimitIsKeptAndUsed(t *testing.T) {
	const daemons, limit = 7, 100.0
	for _, uneven := range []float64{1, 5} {
		var passed []float64
		for seed := range uint64(5) {
			passed = append(passed, limitRun(t, seed, daemons, limit, uneven)/limit)
		}
		low, high := quantile(passed, 0), quantile(passed, 1)
		measured(fmt.Sprintf("share.used.uneven=%g", uneven), low, "of limit", "0.95")
		measured(fmt.Sprintf("share.passed.uneven=%g", uneven), high, "of limit", "1.05")
		require.GreaterOrEqual(t, low, 0.95)
		require.LessOrEqual(t, high, 1.05)
	}
}

// limitRun returns the rate that passes the limit once demand is known.
func limitRun(t *testing.T, seed uint64, daemons int, limit, uneven float64) float64 {
	passed := 0
	const during = 60 * time.Second
	bubble(t, func(ctx context.Context) {
		rng := rand.New(rand.NewPCG(seed, 5))
		f := newFleet(daemons)
		var services []*evidence.Service
		var buckets []*rate.Limiter
		for rank := range daemons {
			s := evidence.New(f.members[rank].Node, seat{f, rank}, seat{f, rank}, rollingPolicy(1), time.Second, event.Discard())
			services = append(services, s)
			buckets = append(buckets, rate.NewLimiter(rate.Limit(limit/float64(daemons)), int(limit)/daemons))
			go func() { _ = s.Run(ctx) }()
		}
		began := time.Now()
		for time.Since(began) < during+10*time.Second {
			time.Sleep(time.Duration(rng.ExpFloat64() / (3 * limit) * float64(time.Second)))
			i := pickUneven(rng, daemons, uneven)
			services[i].Arrive("karamu")
			buckets[i].SetLimit(rate.Limit(services[i].Limit("karamu", limit)))
			if buckets[i].Allow() && time.Since(began) > 10*time.Second {
				passed++
			}
		}
	})
	return float64(passed) / during.Seconds()
}

// pickUneven picks a daemon; the first one is uneven times as likely as each other.
func pickUneven(rng *rand.Rand, daemons int, uneven float64) int {
	x := rng.Float64() * (uneven + float64(daemons-1))
	if x < uneven {
		return 0
	}
	return 1 + int(x-uneven)%(daemons-1)
}
