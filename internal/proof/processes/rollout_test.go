package processes

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/standin/engine"
)

// rollingIn has a second version that replaces the first one, within an exposure of ten answers.
const rollingIn = `[version small@2]
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

func TestABadVersionThatRollsInIsStoppedOnEveryDaemon(t *testing.T) {
	l := twoVersions(pwaniA, pwaniB)
	l.RatingDelay = 50 * time.Millisecond
	for i := range l.Engines {
		l.Engines[i].Spec.Serves = map[string]float64{"small@1": 0.95, "small@2": 0.3}
	}
	c := start(t, options{layout: l, places: []place{pwaniA, pwaniB, kaskaziniA}})
	c.mustPut("quotes", quotesTemplate("[class default]", rollingIn), 0)
	y := newTally()
	stop := make(chan struct{})
	wg := c.background(y, 8, stop)
	c.eventually(20*time.Second, "the roll-out is stopped", func() bool { return c.logged("rolloutStopped") })
	time.Sleep(500 * time.Millisecond)
	runs, poor := c.runsOf("small@2")
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	later, _ := c.runsOf("small@2")
	measured("rollout.badAnswers", float64(poor), fmt.Sprintf("of-%d-runs", runs), "20")
	require.Equal(t, runs, later, "no daemon starts new work on a stopped version")
	// The exposure and what the sequential test needs at most, with ratings that lag.
	require.LessOrEqual(t, poor, 20)
	for id, replies := range y.replies {
		require.True(t, replies[0].whole, "%s: %s", id, replies[0].body)
	}
}

func TestAGoodVersionThatRollsInTakesItsShare(t *testing.T) {
	l := twoVersions(pwaniA, pwaniB)
	l.RatingDelay = 20 * time.Millisecond
	// At its baseline a version is stopped with a probability of up to Alpha; a better one hardly ever.
	for i := range l.Engines {
		l.Engines[i].Spec.Serves = map[string]float64{"small@1": 0.95, "small@2": 0.99}
	}
	c := start(t, options{layout: l, places: []place{pwaniA, pwaniB}})
	c.mustPut("quotes", quotesTemplate("[class default]", rollingIn), 0)
	y := newTally()
	stop := make(chan struct{})
	wg := c.background(y, 8, stop)
	c.eventually(20*time.Second, "it has 300 runs", func() bool {
		runs, _ := c.runsOf("small@2")
		return runs >= 300
	})
	close(stop)
	wg.Wait()
	require.False(t, c.logged("rolloutStopped"))
}

func TestAVersionThatBreaksOffItsAnswersIsStopped(t *testing.T) {
	l := twoVersions(pwaniA, pwaniB)
	// The new version has engines of its own, which cut every answer.
	l.Engines = append(l.Engines, l.Engines[0])
	l.Engines[0].Spec.Serves = map[string]float64{"small@1": 0.95}
	l.Engines[1].Spec.Serves = map[string]float64{"small@1": 0.95}
	l.Engines[2].Spec.Serves = map[string]float64{"small@2": 0.95}
	c := start(t, options{layout: l, places: []place{pwaniA, pwaniB}})
	for _, id := range []string{"engine-5", "engine-6"} {
		c.control("http://"+c.world.Engines[id], "/control/faults", engine.Faults{CloseAfterTokens: 1})
	}
	c.mustPut("quotes", quotesTemplate("[class default]", rollingIn), 0)
	y := newTally()
	stop := make(chan struct{})
	wg := c.background(y, 8, stop)
	c.eventually(20*time.Second, "the roll-out is stopped", func() bool { return c.logged("rolloutStopped") })
	close(stop)
	wg.Wait()
	broken := 0
	for _, replies := range y.replies {
		if !replies[0].whole {
			broken++
		}
	}
	measured("rollout.brokenAnswers", float64(broken), fmt.Sprintf("of-%d-requests", len(y.replies)), "20")
	require.LessOrEqual(t, broken, 20)
}
