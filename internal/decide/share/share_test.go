package share

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// sum adds up the parts of the daemons on one side of a partition, which know the demands of that side.
func sum(limit float64, demands []float64, daemons int) float64 {
	reachable := 0.0
	for _, d := range demands {
		reachable += d
	}
	total := 0.0
	for _, d := range demands {
		total += Of(limit, Demand{Own: d, Reachable: reachable, Daemons: daemons, Live: len(demands)})
	}
	return total
}

func TestTheSidesOfAPartitionTogetherNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(1, 1e5).Draw(t, "limit")
		demand := rapid.Float64Range(0, 1e4)
		here := rapid.SliceOfN(demand, 1, 20).Draw(t, "here")
		there := rapid.SliceOfN(demand, 0, 20).Draw(t, "there")
		daemons := len(here) + len(there)
		total := sum(limit, here, daemons) + sum(limit, there, daemons)
		require.LessOrEqual(t, total, limit*1.0001)
		require.GreaterOrEqual(t, sum(limit, here, daemons), limit*float64(len(here))/float64(daemons)*0.9999)
	})
}
