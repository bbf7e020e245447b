package processes

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/edge/operator"
	"github.com/pollencourse/pollencourse/internal/standin/platform"
)

// charges reads the merged charges through any daemon that answers.
func (c *cluster) charges() operator.Charges {
	var out operator.Charges
	for _, d := range c.daemons {
		if c.getJSON("http://"+d.operator+"/v1/charges", &out) == nil {
			return out
		}
	}
	return out
}

// background sends model requests to all daemons until stop is closed.
func (c *cluster) background(y *tally, workers int, stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				d := c.daemons[(w+i)%len(c.daemons)]
				y.add(c.ask(d, fmt.Sprintf("ask-%d-%d", w, i), i%2 == 0))
			}
		})
	}
	return &wg
}

// requireChargedOnce waits until every whole answer has a charge and checks that none has two.
func (c *cluster) requireChargedOnce(y *tally, bound time.Duration) {
	c.t.Helper()
	whole := map[string]bool{}
	for id, replies := range y.replies {
		for _, r := range replies {
			whole[id] = whole[id] || r.whole
		}
	}
	var missing []string
	var got operator.Charges
	c.eventually(bound, "every whole answer has its charge", func() bool {
		got = c.charges()
		charged := map[string]int{}
		for _, x := range got.Charges {
			charged[x.RequestID]++
		}
		missing = missing[:0]
		for id, ok := range whole {
			if ok && charged[id] == 0 {
				missing = append(missing, id)
			}
			require.LessOrEqual(c.t, charged[id], 1)
		}
		if len(missing) > 0 {
			c.t.Logf("%d charges are missing, such as %s", len(missing), missing[0])
			time.Sleep(200 * time.Millisecond)
		}
		return len(missing) == 0
	})
	answered := 0
	for _, ok := range whole {
		if ok {
			answered++
		}
	}
	measured("charges.lost."+c.t.Name(), 0, fmt.Sprintf("of-%d-whole-answers", answered), "0")
	measured("charges.doubled."+c.t.Name(), 0, fmt.Sprintf("of-%d-charges-%d-merged", len(got.Charges), got.Merged), "0")
}

func TestChargesAreNeitherLostNorDoubledOverKillsAndPauses(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA, pwaniB), places: []place{pwaniA, pwaniB, pwaniA, pwaniB, kaskaziniA}})
	c.mustPut("quotes", quotesTemplate(), 0)
	const seed = 11
	rng := rand.New(rand.NewPCG(seed, 0))
	t.Logf("seed %d", seed)
	y := newTally()
	stop := make(chan struct{})
	wg := c.background(y, 16, stop)
	for round := range 10 {
		d := c.daemons[1+rng.IntN(4)]
		time.Sleep(time.Duration(100+rng.IntN(200)) * time.Millisecond)
		if round%3 == 2 {
			// Longer than suspicion and take-over, so that the stand-by writes and the origin wakes up later.
			d.signal(syscall.SIGSTOP)
			time.Sleep(3500 * time.Millisecond)
			d.signal(syscall.SIGCONT)
			continue
		}
		c.kill(d)
		time.Sleep(100 * time.Millisecond)
		c.launch(d)
	}
	close(stop)
	wg.Wait()
	c.requireChargedOnce(y, 15*time.Second)
}

func TestChargesOutliveAStoreOutageWithADaemonKilledInIt(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA, pwaniB), places: []place{pwaniA, pwaniB, kaskaziniA}})
	c.mustPut("quotes", quotesTemplate(), 0)
	y := newTally()
	stop := make(chan struct{})
	wg := c.background(y, 12, stop)
	time.Sleep(300 * time.Millisecond)
	c.control(c.world.PlatformURL, "/control/store", platform.Faults{Down: true})
	time.Sleep(1500 * time.Millisecond)
	c.kill(c.daemons[1])
	time.Sleep(1500 * time.Millisecond)
	c.launch(c.daemons[1])
	time.Sleep(500 * time.Millisecond)
	// The stand-by of what is still held may be lost as well, once the charges are protected again.
	time.Sleep(2500 * time.Millisecond)
	c.kill(c.daemons[0])
	c.launch(c.daemons[0])
	close(stop)
	wg.Wait()
	c.control(c.world.PlatformURL, "/control/store", platform.Faults{LoseWriteResponses: 3, LoseResponsesPrefix: "charges/"})
	c.requireChargedOnce(y, 15*time.Second)
}

func TestACallersRetryAtAnotherDaemonIsBilledOnce(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA), places: []place{pwaniA, pwaniB}})
	c.mustPut("quotes", quotesTemplate(), 0)
	for i := range 10 {
		id := fmt.Sprintf("twice-%d", i)
		require.True(t, c.ask(c.daemons[0], id, false).whole)
		require.True(t, c.ask(c.daemons[1], id, true).whole)
	}
	c.eventually(5*time.Second, "both runs are stored", func() bool { return c.charges().Merged == 10 })
	require.Len(t, c.charges().Charges, 10)
}
