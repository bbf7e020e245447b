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

// twoVersionLayout returns a layout whose engines serve two versions of one model.
func twoVersionLayout(locations ...location) world.Layout {
	l := smallLayout(locations...)
	for i := range l.Engines {
		l.Engines[i].Spec.Serves = map[string]float64{"small@1": 0.95, "small@2": 0.95}
	}
	return l
}

// secondVersion is the template text of a cheaper version. Tests put it in place of the line "[class default]".
const secondVersion = `[version small@2]
state = serving
promptCost = 1
completionCost = 3
priorQuality = 0.95
[class default]`

func bothVersionsServing() []byte { return quotesTemplate("[class default]", secondVersion) }

// Withdraws a version under load. Once the apply call reports that the template is in force on all daemons, no
// run on this version may start at any engine.
func TestAWithdrawnVersionGetsNoNewWorkOnceApplyReturns(t *testing.T) {
	c := startCluster(t, options{layout: twoVersionLayout(pwaniA, pwaniB), locations: []location{pwaniA, pwaniB, pwaniA, kaskaziniA}})
	base := c.mustApplyTemplate("quotes", bothVersionsServing(), 0).Revision
	log := newRequestLog()
	stop := make(chan struct{})
	wg := c.startBackgroundChats(log, 16, stop)
	time.Sleep(500 * time.Millisecond)
	accepted := time.Now()
	withdrawn := quotesTemplate("[class default]", `[version small@2]
state = withdrawn
[class default]`)
	c.mustApplyTemplate("quotes", withdrawn, base)
	inForce := time.Now()
	time.Sleep(500 * time.Millisecond)
	close(stop)
	wg.Wait()
	lastRun := time.Time{}
	runs := 0
	for _, r := range c.engineRuns() {
		if r.Version == "small@2" {
			runs++
			if r.At.After(lastRun) {
				lastRun = r.At
			}
		}
	}
	measured("withdrawn.lastNewRun", lastRun.Sub(accepted).Seconds()*1000, "ms-after-acceptance", "2000")
	measured("withdrawn.inForce", inForce.Sub(accepted).Seconds()*1000, "ms", "2000")
	require.Positive(t, runs)
	require.False(t, lastRun.After(inForce), "a run began %s after the withdrawal was in force everywhere", lastRun.Sub(inForce))
}

// A session starts on a version, which then drains while a cheaper one serves, and every daemon is killed and
// restarted. The session must stay on its version, although no restarted daemon remembers it, until the version is
// withdrawn; new requests get the cheaper version.
func TestASessionKeepsItsVersionOverReplacedDaemonsUntilItIsWithdrawn(t *testing.T) {
	c := startCluster(t, options{layout: twoVersionLayout(pwaniA, pwaniB), locations: []location{pwaniA, pwaniB}})
	base := c.mustApplyTemplate("quotes", quotesTemplate(), 0).Revision
	r := c.sendChat(c.daemons[0], "s-0", false, caller.SessionHeader, "new")
	require.True(t, r.complete)
	require.Equal(t, "small@1", r.header.Get(caller.VersionHeader))
	token := r.header.Get(caller.SessionHeader)
	require.NotEmpty(t, token)

	// Add a cheaper version, drain the old one and restart every daemon.
	draining := quotesTemplate("state = serving", "state = draining", "[class default]", secondVersion)
	base = c.mustApplyTemplate("quotes", draining, base).Revision
	for _, d := range c.daemons {
		c.kill(d)
		c.launch(d)
		c.eventually(5*time.Second, "the daemon is back", func() bool { return c.revision(d, "quotes") == base })
	}
	for i := range 6 {
		r = c.sendChat(c.daemons[i%2], fmt.Sprintf("s-%d", i+1), i%2 == 0, caller.SessionHeader, token)
		require.True(t, r.complete, "%s", r.body)
		require.Equal(t, "small@1", r.header.Get(caller.VersionHeader))
		require.Equal(t, "small@2", c.sendChat(c.daemons[i%2], fmt.Sprintf("n-%d", i), false).header.Get(caller.VersionHeader))
	}

	// Once its version is withdrawn, the session moves to the other version and stays there.
	withdrawn := quotesTemplate("state = serving", "state = withdrawn", "[class default]", secondVersion)
	c.mustApplyTemplate("quotes", withdrawn, base)
	r = c.sendChat(c.daemons[0], "s-moved", false, caller.SessionHeader, token)
	require.Equal(t, "small@2", r.header.Get(caller.VersionHeader))
	r = c.sendChat(c.daemons[1], "s-moved-2", false, caller.SessionHeader, r.header.Get(caller.SessionHeader))
	require.Equal(t, "small@2", r.header.Get(caller.VersionHeader))
}

// maxNewWorkAfterLeaving bounds the time from the mark of a leaving server in the VM list to its last new request.
const maxNewWorkAfterLeaving = 3 * time.Second

// Marks an engine as leaving in the VM list under load. All daemons must stop sending it requests within
// maxNewWorkAfterLeaving.
func TestALeavingServerGetsNoNewWorkAfterSeconds(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA, pwaniB), locations: []location{pwaniA, pwaniB, kaskaziniA}})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	log := newRequestLog()
	stop := make(chan struct{})
	wg := c.startBackgroundChats(log, 12, stop)
	time.Sleep(400 * time.Millisecond)
	vm := c.vm("engine-1")
	vm.Leaving = true
	marked := time.Now()
	c.setVM(vm)
	time.Sleep(maxNewWorkAfterLeaving + 500*time.Millisecond)
	close(stop)
	wg.Wait()
	var runs []engine.Run
	require.NoError(t, c.getJSON("http://"+c.world.Engines["engine-1"]+"/control/runs", &runs))
	lastRun := slices.MaxFunc(runs, func(a, b engine.Run) int { return a.At.Compare(b.At) })
	measured("leaving.lastNewRun", lastRun.At.Sub(marked).Seconds()*1000, "ms-after-mark", "3000")
	require.Less(t, lastRun.At.Sub(marked), maxNewWorkAfterLeaving)
}

// An engine refuses new requests with status 503, as a leaving server does, while the VM list still shows it
// as available. Every request must be completed by other engines.
func TestAServerThatRefusesRequestsIsAvoidedBeforeTheVMListMarksIt(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA, pwaniB), locations: []location{pwaniA, pwaniB}})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	c.setEngineFaults(1, engine.Faults{Refuse: true})
	for i := range 60 {
		require.True(t, c.sendChat(c.daemons[i%2], fmt.Sprintf("refuse-%d", i), i%2 == 0).complete)
	}
}

// Restarts all daemons one after another with SIGTERM under load. Callers use a fetched list of entry VMs for its
// whole lifetime, so a stopping daemon must keep serving until no valid list names it. No request may fail or be
// truncated, and every complete answer must be charged exactly once.
func TestARollingRestartUnderLoadCutsNoRequest(t *testing.T) {
	l := smallLayout(pwaniA, pwaniB)
	for i := range l.Engines {
		l.Engines[i].Spec.InterTokenLatency = 8 * time.Millisecond
	}
	c := startCluster(t, options{layout: l, locations: []location{pwaniA, pwaniB, pwaniA, kaskaziniA}})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	const seed = 5
	t.Logf("seed %d", seed)
	log := newRequestLog()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for w := range 16 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(w)))
			entryVMs := &entryListClient{c: c}
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				if d := entryVMs.pick(rng); d != nil {
					log.add(c.sendChat(d, fmt.Sprintf("roll-%d-%d", w, i), i%2 == 0))
				}
			}
		})
	}
	for _, d := range c.daemons {
		c.terminate(d, 15*time.Second)
		c.launch(d)
		c.eventually(5*time.Second, "the daemon is back", func() bool {
			return slices.ContainsFunc(c.status(d).Daemons, func(m member.Member) bool { return m.ID == d.id && m.Ready && !m.Leaving })
		})
		time.Sleep(200 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	incomplete := 0
	for id, results := range log.results {
		if !results[0].complete {
			incomplete++
			t.Logf("%s: %d %s", id, results[0].statusCode, results[0].body)
		}
	}
	measured("rolling.cut", float64(incomplete), fmt.Sprintf("of-%d-requests-over-%d-restarts", len(log.results), len(c.daemons)), "0")
	require.Zero(t, incomplete)
	c.requireChargedOnce(log, 10*time.Second)
}

// entryListClient is a caller that fetches the list of entry VMs and uses it until its lifetime has passed.
type entryListClient struct {
	c           *cluster
	requestedAt time.Time
	entries     []string
}

// entriesLifetime has to equal entriesLifetime in testFleetSettings.
const entriesLifetime = 500 * time.Millisecond

// pick returns a random daemon of the list, which it fetches again after its lifetime.
func (l *entryListClient) pick(rng *rand.Rand) *daemonProcess {
	if time.Since(l.requestedAt) >= entriesLifetime {
		l.refresh(rng)
	}
	if len(l.entries) == 0 {
		return nil
	}
	address := l.entries[rng.IntN(len(l.entries))]
	i := slices.IndexFunc(l.c.daemons, func(d *daemonProcess) bool { return d.callerAddress == address })
	return l.c.daemons[i]
}

func (l *entryListClient) refresh(rng *rand.Rand) {
	for range 10 {
		d := l.c.daemons[rng.IntN(len(l.c.daemons))]
		var out struct {
			Entries []struct {
				Address string `json:"address"`
			} `json:"entries"`
		}
		requestedAt := time.Now()
		if l.c.getJSON("http://"+d.callerAddress+"/v1/entries", &out) != nil || len(out.Entries) == 0 {
			continue
		}
		l.requestedAt = requestedAt
		l.entries = nil
		for _, e := range out.Entries {
			l.entries = append(l.entries, e.Address)
		}
		return
	}
}
