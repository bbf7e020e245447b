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

// charges returns the merged charges from the first daemon that responds.
func (c *cluster) charges() operator.Charges {
	var out operator.Charges
	for _, d := range c.daemons {
		if c.getJSON("http://"+d.operatorAddress+"/v1/charges", &out) == nil {
			return out
		}
	}
	return out
}

// startBackgroundChats starts workers that send model requests to all daemons in turn until stop is closed.
func (c *cluster) startBackgroundChats(log *requestLog, workers int, stop <-chan struct{}) *sync.WaitGroup {
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
				log.add(c.sendChat(d, fmt.Sprintf("ask-%d-%d", w, i), i%2 == 0))
			}
		})
	}
	return &wg
}

// requireChargedOnce waits until every request with a complete answer has a charge and checks that none has two.
func (c *cluster) requireChargedOnce(log *requestLog, timeout time.Duration) {
	c.t.Helper()
	complete := map[string]bool{}
	for id, results := range log.results {
		for _, r := range results {
			complete[id] = complete[id] || r.complete
		}
	}
	var missing []string
	var stored operator.Charges
	c.eventually(timeout, "every complete answer has a charge", func() bool {
		stored = c.charges()
		chargesByRequest := map[string]int{}
		for _, charge := range stored.Charges {
			chargesByRequest[charge.RequestID]++
		}
		missing = missing[:0]
		for id, ok := range complete {
			if ok && chargesByRequest[id] == 0 {
				missing = append(missing, id)
			}
			require.LessOrEqual(c.t, chargesByRequest[id], 1)
		}
		if len(missing) > 0 {
			c.t.Logf("%d charges are missing, for example of request %s", len(missing), missing[0])
			time.Sleep(200 * time.Millisecond)
		}
		return len(missing) == 0
	})
	completeAnswers := 0
	for _, ok := range complete {
		if ok {
			completeAnswers++
		}
	}
	measured("charges.lost."+c.t.Name(), 0, fmt.Sprintf("of-%d-whole-answers", completeAnswers), "0")
	measured("charges.doubled."+c.t.Name(), 0, fmt.Sprintf("of-%d-charges-%d-merged", len(stored.Charges), stored.Merged), "0")
}

// Kills daemons and pauses them with SIGSTOP under load. A killed daemon loses the charges in its memory,
// which its standby has to write; a paused one writes them again after its standby did. Every complete
// answer must be charged exactly once.
func TestChargesAreNeitherLostNorDoubledOverKillsAndPauses(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA, pwaniB), locations: []location{pwaniA, pwaniB, pwaniA, pwaniB, kaskaziniA}})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	const seed = 11
	rng := rand.New(rand.NewPCG(seed, 0))
	t.Logf("seed %d", seed)
	log := newRequestLog()
	stop := make(chan struct{})
	wg := c.startBackgroundChats(log, 16, stop)
	for round := range 10 {
		d := c.daemons[1+rng.IntN(4)]
		time.Sleep(time.Duration(100+rng.IntN(200)) * time.Millisecond)
		if round%3 == 2 {
			// Longer than peers need to suspect the daemon and take over its charges: the standby writes
			// them, and the paused daemon still has them when it resumes.
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
	c.requireChargedOnce(log, 15*time.Second)
}

// During a store outage charges are held only in memory. One daemon is killed in the outage and, once its
// charges have a second holder again, another one that may hold them. When the store is back, it loses the
// responses to three writes of charges. Every complete answer must be charged exactly once.
func TestChargesOutliveAStoreOutageWithADaemonKilledInIt(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA, pwaniB), locations: []location{pwaniA, pwaniB, kaskaziniA}})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	log := newRequestLog()
	stop := make(chan struct{})
	wg := c.startBackgroundChats(log, 12, stop)
	time.Sleep(300 * time.Millisecond)
	c.postControl(c.world.PlatformURL, "/control/store", platform.Faults{Down: true})
	time.Sleep(1500 * time.Millisecond)
	c.kill(c.daemons[1])
	time.Sleep(1500 * time.Millisecond)
	c.launch(c.daemons[1])
	time.Sleep(500 * time.Millisecond)
	// By now the standby that holds the killed daemon's charges has copied them to a further daemon, so that
	// the standby may be killed as well.
	time.Sleep(2500 * time.Millisecond)
	c.kill(c.daemons[0])
	c.launch(c.daemons[0])
	close(stop)
	wg.Wait()
	c.postControl(c.world.PlatformURL, "/control/store", platform.Faults{LoseWriteResponses: 3, LoseResponsesPrefix: "charges/"})
	c.requireChargedOnce(log, 15*time.Second)
}

// A caller sends each request again at another daemon, so that it runs twice. The two charges have the
// same request ID and must be merged into one.
func TestACallersRetryAtAnotherDaemonIsChargedOnce(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA), locations: []location{pwaniA, pwaniB}})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	for i := range 10 {
		id := fmt.Sprintf("twice-%d", i)
		require.True(t, c.sendChat(c.daemons[0], id, false).complete)
		require.True(t, c.sendChat(c.daemons[1], id, true).complete)
	}
	c.eventually(5*time.Second, "the charges of both runs are stored and merged", func() bool { return c.charges().Merged == 10 })
	require.Len(t, c.charges().Charges, 10)
}
