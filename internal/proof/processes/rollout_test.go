package processes

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/standin/engine"
)

// rollingInVersion is the template text of a version that rolls in to replace small@1, with an exposure of ten
// answers. Tests put it in place of the line "[class default]".
const rollingInVersion = `[version small@2]
state = rollingIn
replaces = small@1
promptCost = 1
completionCost = 4
exposure = 10
share = 0.5
priorQuality = 0.95
[class default]`

// runsOf counts the runs of a version and how many of its answers were poor.
func (c *cluster) runsOf(version string) (runs, poor int) {
	for _, r := range c.engineRuns() {
		if r.Version == version {
			runs++
			if !r.Good {
				poor++
			}
		}
	}
	return runs, poor
}

// A version with mostly poor answers rolls in, and its ratings arrive late. The roll-out must be stopped after at
// most 20 poor answers, no daemon may start a run on the version afterwards, and no request may fail.
func TestABadVersionThatRollsInIsStoppedOnEveryDaemon(t *testing.T) {
	l := twoVersionLayout(pwaniA, pwaniB)
	l.RatingDelay = 50 * time.Millisecond
	for i := range l.Engines {
		l.Engines[i].Spec.Serves = map[string]float64{"small@1": 0.95, "small@2": 0.3}
	}
	c := startCluster(t, options{layout: l, locations: []location{pwaniA, pwaniB, kaskaziniA}})
	c.mustApplyTemplate("quotes", quotesTemplate("[class default]", rollingInVersion), 0)
	log := newRequestLog()
	stop := make(chan struct{})
	wg := c.startBackgroundChats(log, 8, stop)
	c.eventually(20*time.Second, "the roll-out is stopped", func() bool { return c.logged("rolloutStopped") })
	time.Sleep(500 * time.Millisecond)
	runs, poor := c.runsOf("small@2")
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	laterRuns, _ := c.runsOf("small@2")
	measured("rollout.badAnswers", float64(poor), fmt.Sprintf("of-%d-runs", runs), "20")
	require.Equal(t, runs, laterRuns, "a daemon started a run on a stopped version")
	// Bounds the exposure plus the answers that the sequential test needs, since ratings arrive with a delay.
	require.LessOrEqual(t, poor, 20)
	for id, results := range log.results {
		require.True(t, results[0].complete, "%s: %s", id, results[0].body)
	}
}

// A version better than the one it replaces rolls in. It must get 300 runs and its roll-out must not be stopped.
func TestAGoodVersionThatRollsInTakesItsShare(t *testing.T) {
	l := twoVersionLayout(pwaniA, pwaniB)
	l.RatingDelay = 20 * time.Millisecond
	// A version as good as its baseline is stopped with a probability of up to Alpha, a better one hardly ever.
	for i := range l.Engines {
		l.Engines[i].Spec.Serves = map[string]float64{"small@1": 0.95, "small@2": 0.99}
	}
	c := startCluster(t, options{layout: l, locations: []location{pwaniA, pwaniB}})
	c.mustApplyTemplate("quotes", quotesTemplate("[class default]", rollingInVersion), 0)
	log := newRequestLog()
	stop := make(chan struct{})
	wg := c.startBackgroundChats(log, 8, stop)
	c.eventually(20*time.Second, "the new version has 300 runs", func() bool {
		runs, _ := c.runsOf("small@2")
		return runs >= 300
	})
	close(stop)
	wg.Wait()
	require.False(t, c.logged("rolloutStopped"))
}

// The engines of a version that rolls in close the connection in the middle of every answer. The truncated answers
// must count against the version and stop its roll-out before more than 20 callers got an incomplete answer.
func TestAVersionThatTruncatesItsAnswersIsStopped(t *testing.T) {
	l := twoVersionLayout(pwaniA, pwaniB)
	// The new version has engines of its own, which truncate every answer.
	l.Engines = append(l.Engines, l.Engines[0])
	l.Engines[0].Spec.Serves = map[string]float64{"small@1": 0.95}
	l.Engines[1].Spec.Serves = map[string]float64{"small@1": 0.95}
	l.Engines[2].Spec.Serves = map[string]float64{"small@2": 0.95}
	c := startCluster(t, options{layout: l, locations: []location{pwaniA, pwaniB}})
	for _, id := range []string{"engine-5", "engine-6"} {
		c.postControl("http://"+c.world.Engines[id], "/control/faults", engine.Faults{CloseAfterTokens: 1})
	}
	c.mustApplyTemplate("quotes", quotesTemplate("[class default]", rollingInVersion), 0)
	log := newRequestLog()
	stop := make(chan struct{})
	wg := c.startBackgroundChats(log, 8, stop)
	c.eventually(20*time.Second, "the roll-out is stopped", func() bool { return c.logged("rolloutStopped") })
	close(stop)
	wg.Wait()
	incomplete := 0
	for _, results := range log.results {
		if !results[0].complete {
			incomplete++
		}
	}
	measured("rollout.brokenAnswers", float64(incomplete), fmt.Sprintf("of-%d-requests", len(log.results)), "20")
	require.LessOrEqual(t, incomplete, 20)
}
