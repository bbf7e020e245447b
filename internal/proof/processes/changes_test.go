package processes

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/edge/caller"
	"github.com/pollencourse/pollencourse/internal/fleet/member"
	"github.com/pollencourse/pollencourse/internal/standin/engine"
	"github.com/pollencourse/pollencourse/internal/standin/world"
)

// twoVersions has engines that serve two versions of one model.
func twoVersions(places ...place) world.Layout {
	l := smallLayout(places...)
	for i := range l.Engines {
		l.Engines[i].Spec.Serves = map[string]float64{"small@1": 0.95, "small@2": 0.95}
	}
	return l
}

const secondVersion = `[version small@2]
state = serving
promptCost = 1
completionCost = 3
priorQuality = 0.95
[class default]`

func bothServing() []byte { return quotesTemplate("[class default]", secondVersion) }

func TestAWithdrawnVersionGetsNoNewWorkOnceApplyReturns(t *testing.T) {
	c := start(t, options{layout: twoVersions(pwaniA, pwaniB), places: []place{pwaniA, pwaniB, pwaniA, kaskaziniA}})
	base := c.mustPut("quotes", bothServing(), 0).Revision
	y := newTally()
	stop := make(chan struct{})
	wg := c.background(y, 16, stop)
	time.Sleep(500 * time.Millisecond)
	accepted := time.Now()
	withdrawn := quotesTemplate("[class default]", `[version small@2]
state = withdrawn
[class default]`)
	c.mustPut("quotes", withdrawn, base)
	inForce := time.Now()
	time.Sleep(500 * time.Millisecond)
	close(stop)
	wg.Wait()
	last := time.Time{}
	total := 0
	for _, r := range c.engineRuns() {
		if r.Version == "small@2" {
			total++
			if r.At.After(last) {
				last = r.At
			}
		}
	}
	measured("withdrawn.lastNewRun", last.Sub(accepted).Seconds()*1000, "ms-after-acceptance", "2000")
	measured("withdrawn.inForce", inForce.Sub(accepted).Seconds()*1000, "ms", "2000")
	require.Positive(t, total)
	require.False(t, last.After(inForce), "a run began %s after it was in force everywhere", last.Sub(inForce))
}

func TestASessionKeepsItsVersionOverReplacedDaemonsUntilItIsWithdrawn(t *testing.T) {
	c := start(t, options{layout: twoVersions(pwaniA, pwaniB), places: []place{pwaniA, pwaniB}})
	base := c.mustPut("quotes", quotesTemplate(), 0).Revision
	r := c.ask(c.daemons[0], "s-0", false, caller.SessionHeader, "new")
	require.True(t, r.whole)
	require.Equal(t, "small@1", r.header.Get(caller.VersionHeader))
	token := r.header.Get(caller.SessionHeader)
	require.NotEmpty(t, token)

	// A cheaper version comes in, the old one drains, and every daemon is replaced.
	draining := quotesTemplate("state = serving", "state = draining", "[class default]", secondVersion)
	base = c.mustPut("quotes", draining, base).Revision
	for _, d := range c.daemons {
		c.kill(d)
		c.launch(d)
		c.eventually(5*time.Second, "it is back", func() bool { return c.revision(d, "quotes") == base })
	}
	for i := range 6 {
		r = c.ask(c.daemons[i%2], fmt.Sprintf("s-%d", i+1), i%2 == 0, caller.SessionHeader, token)
		require.True(t, r.whole, "%s", r.body)
		require.Equal(t, "small@1", r.header.Get(caller.VersionHeader))
		require.Equal(t, "small@2", c.ask(c.daemons[i%2], fmt.Sprintf("n-%d", i), false).header.Get(caller.VersionHeader))
	}

	// Withdrawn beats the session, which then moves once.
	withdrawn := quotesTemplate("state = serving", "state = withdrawn", "[class default]", secondVersion)
	c.mustPut("quotes", withdrawn, base)
	r = c.ask(c.daemons[0], "s-moved", false, caller.SessionHeader, token)
	require.Equal(t, "small@2", r.header.Get(caller.VersionHeader))
	r = c.ask(c.daemons[1], "s-moved-2", false, caller.SessionHeader, r.header.Get(caller.SessionHeader))
	require.Equal(t, "small@2", r.header.Get(caller.VersionHeader))
}

// leavingTarget is the time from the list's mark to the last new request on a leaving server.
const leavingTarget = 3 * time.Second

func TestALeavingServerGetsNoNewWorkAfterSeconds(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA, pwaniB), places: []place{pwaniA, pwaniB, kaskaziniA}})
	c.mustPut("quotes", quotesTemplate(), 0)
	y := newTally()
	stop := make(chan struct{})
	wg := c.background(y, 12, stop)
	time.Sleep(400 * time.Millisecond)
	vm := c.vm("engine-1")
	vm.Leaving = true
	marked := time.Now()
	c.setVM(vm)
	time.Sleep(leavingTarget + 500*time.Millisecond)
	close(stop)
	wg.Wait()
	var runs []engine.Run
	require.NoError(t, c.getJSON("http://"+c.world.Engines["engine-1"]+"/control/runs", &runs))
	last := slices.MaxFunc(runs, func(a, b engine.Run) int { return a.At.Compare(b.At) })
	measured("leaving.lastNewRun", last.At.Sub(marked).Seconds()*1000, "ms-after-mark", "3000")
	require.Less(t, last.At.Sub(marked), leavingTarget)
}

func TestAServerThatRefusesItselfIsLeftAloneWithoutTheList(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA, pwaniB), places: []place{pwaniA, pwaniB}})
	c.mustPut("quotes", quotesTemplate(), 0)
	c.faultEngines(1, engine.Faults{Refuse: true})
	for i := range 60 {
		require.True(t, c.ask(c.daemons[i%2], fmt.Sprintf("refuse-%d", i), i%2 == 0).whole)
	}
}

func TestARollingRestartUnderLoadCutsNoRequest(t *testing.T) {
	l := smallLayout(pwaniA, pwaniB)
	for i := range l.Engines {
		l.Engines[i].Spec.InterTokenLatency = 8 * time.Millisecond
	}
	c := start(t, options{layout: l, places: []place{pwaniA, pwaniB, pwaniA, kaskaziniA}})
	c.mustPut("quotes", quotesTemplate(), 0)
	const seed = 5
	t.Logf("seed %d", seed)
	y := newTally()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for w := range 16 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(w)))
			list := &entryList{c: c}
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				if d := list.pick(rng); d != nil {
					y.add(c.ask(d, fmt.Sprintf("roll-%d-%d", w, i), i%2 == 0))
				}
			}
		})
	}
	for _, d := range c.daemons {
		c.terminate(d, 15*time.Second)
		c.launch(d)
		c.eventually(5*time.Second, "it is back", func() bool {
			return slices.ContainsFunc(c.status(d).Daemons, func(m member.Member) bool { return m.ID == d.id && m.Ready && !m.Leaving })
		})
		time.Sleep(200 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	cut := 0
	for id, replies := range y.replies {
		if !replies[0].whole {
			cut++
			t.Logf("%s: %d %s", id, replies[0].status, replies[0].body)
		}
	}
	measured("rolling.cut", float64(cut), fmt.Sprintf("of-%d-requests-over-%d-restarts", len(y.replies), len(c.daemons)), "0")
	require.Zero(t, cut)
	c.requireChargedOnce(y, 10*time.Second)
}

// entryList is a caller's list of entry VMs, which it uses for its whole lifetime.
type entryList struct {
	c       *cluster
	fetched time.Time
	entries []string
}

// lifetime is the entriesLifetime of the test's settings.
const lifetime = 500 * time.Millisecond

func (l *entryList) pick(rng *rand.Rand) *daemonProc {
	if time.Since(l.fetched) >= lifetime {
		l.refresh(rng)
	}
	if len(l.entries) == 0 {
		return nil
	}
	address := l.entries[rng.IntN(len(l.entries))]
	i := slices.IndexFunc(l.c.daemons, func(d *daemonProc) bool { return d.caller == address })
	return l.c.daemons[i]
}

func (l *entryList) refresh(rng *rand.Rand) {
	for range 10 {
		d := l.c.daemons[rng.IntN(len(l.c.daemons))]
		var out struct {
			Entries []struct {
				Address string `json:"address"`
			} `json:"entries"`
		}
		asked := time.Now()
		if l.c.getJSON("http://"+d.caller+"/v1/entries", &out) != nil || len(out.Entries) == 0 {
			continue
		}
		l.fetched = asked
		l.entries = nil
		for _, e := range out.Entries {
			l.entries = append(l.entries, e.Address)
		}
		return
	}
}
