package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestAttemptsExceedRequestsByATenthAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget()
		requests, retries := 0, 0
		for range rapid.IntRange(600, 3000).Draw(t, "requests") {
			requests++
			b.Earn()
			for range rapid.IntRange(0, 3).Draw(t, "wanted") {
				if b.Spend() {
					retries++
				}
			}
		}
		require.LessOrEqual(t, float64(requests+retries), 1.1*float64(requests))
	})
}
