package sizing

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAnAnswerOfLowConfidenceIsEscalatedToTheLargestModel(t *testing.T) {
	models := []string{"s", "m", "l"}
	p := Policy{MinConfidence: 50}
	require.Equal(t, "s", p.First(models))
	for _, tc := range []struct {
		model      string
		confidence int
		want       string
	}{{"s", 49, "l"}, {"s", 50, ""}, {"s", -1, ""}, {"m", 10, "l"}, {"l", 0, ""}} {
		next, ok := p.Next(models, tc.model, tc.confidence)
		require.Equal(t, tc.want != "", ok, tc)
		require.Equal(t, tc.want, next, tc)
	}
	_, ok := p.Next([]string{"only"}, "only", 0)
	require.False(t, ok)
}

// Guards against unsure answers where no second run may follow, and against long streams on busy servers.
func TestARequestThatMayRunOnlyOnceGetsTheLargestModelWhileThereIsRoom(t *testing.T) {
	models := []string{"s", "m", "l"}
	for room, want := range map[string]string{"s m l": "l", "s m": "s", "s": "s", "": "s"} {
		require.Equal(t, want, Policy{MinConfidence: 50}.ForSingleRun(models, func(model string) bool { return strings.Contains(room, model) }), room)
	}
}
