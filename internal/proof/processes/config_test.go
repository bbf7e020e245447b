package processes

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/standin/platform"
)

// inForceTarget is the time within which an accepted configuration is in force everywhere.
const inForceTarget = 2 * time.Second

func sevenPlaces() []place {
	return []place{pwaniA, pwaniA, pwaniA, pwaniB, pwaniB, kaskaziniA, kaskaziniA}
}

// edit is the i-th revision of the test's template.
func edit(i int) []byte {
	return quotesTemplate("qualityTarget = 0.8", fmt.Sprintf("qualityTarget = 0.8%02d", i))
}

func TestConfigurationIsInForceEverywhereWithinSecondsWhileARelayIsKilled(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA), places: sevenPlaces()})
	const edits = 30
	var base int64
	var times []time.Duration
	for i := range edits {
		if i == edits/2 {
			// The first daemon of the availability zone relays for it.
			c.kill(c.firstOf(pwaniA, c.daemons[0]))
		}
		began := time.Now()
		out, code := c.put(c.daemons[0], "quotes", edit(i), base, 10*time.Second)
		require.Equal(t, http.StatusOK, code)
		base = out.Revision
		living := slices.DeleteFunc(slices.Clone(c.daemons), func(d *daemonProc) bool { return d.dead() })
		c.eventually(inForceTarget, "all living daemons have it", func() bool {
			return !slices.ContainsFunc(living, func(d *daemonProc) bool { return c.revision(d, "quotes") < base })
		})
		require.Less(t, time.Since(began), 10*time.Second)
		times = append(times, time.Duration(out.Milliseconds)*time.Millisecond)
	}
	slices.Sort(times)
	measured("config.inForce.median", float64(times[edits/2].Milliseconds()), "ms", "2000")
	measured("config.inForce.worst", float64(times[edits-1].Milliseconds()), "ms", "2000")
	require.Less(t, times[edits-1], inForceTarget)
}

// firstOf returns a daemon of a place other than not.
func (c *cluster) firstOf(p place, not *daemonProc) *daemonProc {
	for _, d := range c.daemons {
		if d.place == p && d != not && !d.dead() {
			return d
		}
	}
	c.t.Fatal("no such daemon")
	return nil
}

func (d *daemonProc) dead() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

func TestConfigurationNeverRevertsWhenTheStoreAnswersWithOlderVersions(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA), places: []place{pwaniA, pwaniB, kaskaziniA}})
	first := c.mustPut("quotes", edit(1), 0)
	second := c.mustPut("quotes", edit(2), first.Revision)
	c.control(c.world.PlatformURL, "/control/store", platform.Faults{StaleReads: true})
	// Watchers compare with the store every few seconds; a daemon that starts now reads the old version.
	late := c.newDaemon(pwaniA)
	c.launch(late)
	c.eventually(5*time.Second, "the new daemon has a configuration", func() bool { return c.revision(late, "quotes") > 0 })
	c.eventually(5*time.Second, "the new daemon has the newer one", func() bool { return c.revision(late, "quotes") == second.Revision })
	c.eventually(10*time.Second, "the alarm is raised", func() bool { return c.logged("storeWentBack") })
	for _, d := range c.daemons {
		require.Equal(t, second.Revision, c.revision(d, "quotes"), d.id)
	}
}

// logged reports whether any daemon logged an event.
func (c *cluster) logged(event string) bool {
	for _, d := range c.daemons {
		text, _ := os.ReadFile(d.logPath)
		if strings.Contains(string(text), `"name":"`+event+`"`) {
			return true
		}
	}
	return false
}

func TestADaemonThatStartsWhileTheStoreIsDownTakesTheConfigurationFromPeers(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA), places: []place{pwaniA, pwaniB}})
	applied := c.mustPut("quotes", edit(1), 0)
	c.control(c.world.PlatformURL, "/control/store", platform.Faults{Down: true})
	late := c.newDaemon(pwaniB)
	c.launch(late)
	c.eventually(5*time.Second, "the new daemon has the configuration", func() bool { return c.revision(late, "quotes") == applied.Revision })
	require.True(t, c.ask(late, "while-down", false).whole)
}

func TestADaemonWithoutAnyConfigurationSaysThatItDidNotRun(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA), places: []place{pwaniA}})
	r := c.ask(c.daemons[0], "too-early", false)
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.EqualValues(t, "notRun", r.outcome)
}

func TestLostWatchEventsAreMadeUpFor(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA), places: []place{pwaniA, pwaniB, kaskaziniA}})
	first := c.mustPut("quotes", edit(1), 0)
	// The edit is written past the daemons, so that only the watch or a comparison can bring it.
	c.control(c.world.PlatformURL, "/control/store", platform.Faults{DropWatchEvents: 1000})
	revision := c.writeStore("templates/quotes", edit(2))
	require.Greater(t, revision, first.Revision)
	c.eventually(6*time.Second, "all daemons have it", func() bool {
		return !slices.ContainsFunc(c.daemons, func(d *daemonProc) bool { return c.revision(d, "quotes") < revision })
	})
}

func TestOneOfTwoRacingOperatorsGetsAConflict(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA), places: []place{pwaniA, pwaniB}})
	base := c.mustPut("quotes", edit(0), 0).Revision
	for round := range 10 {
		codes := make([]int, 2)
		revisions := make([]int64, 2)
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Go(func() {
				out, code := c.put(c.daemons[i], "quotes", edit(2*round+i+1), base, 5*time.Second)
				codes[i], revisions[i] = code, out.Revision
			})
		}
		wg.Wait()
		slices.Sort(codes)
		require.Equal(t, []int{http.StatusOK, http.StatusConflict}, codes)
		base = max(revisions[0], revisions[1])
	}
}

func TestAnEditWhoseAnswerIsLostIsAcceptedOnce(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA), places: []place{pwaniA, pwaniB}})
	base := c.mustPut("quotes", edit(0), 0).Revision
	for i := range 5 {
		c.control(c.world.PlatformURL, "/control/store", platform.Faults{LoseWriteResponses: 1, LoseResponsesPrefix: "templates/"})
		out, code := c.put(c.daemons[0], "quotes", edit(i+1), base, 5*time.Second)
		require.Equal(t, http.StatusOK, code)
		require.Empty(t, out.Behind)
		require.Greater(t, out.Revision, base)
		base = out.Revision
	}
}

func TestApplyNamesTheDaemonThatIsFrozen(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA), places: []place{pwaniA, pwaniA, pwaniB}})
	base := c.mustPut("quotes", edit(0), 0).Revision
	frozen := c.daemons[1]
	frozen.signal(syscall.SIGSTOP)
	out, code := c.put(c.daemons[0], "quotes", edit(1), base, 300*time.Millisecond)
	require.Equal(t, http.StatusOK, code)
	require.Equal(t, []string{frozen.id}, out.Behind)
	frozen.signal(syscall.SIGCONT)
	c.eventually(inForceTarget+time.Second, "it catches up", func() bool { return c.revision(frozen, "quotes") == out.Revision })
}

func TestATemplateThatIsNotValidNeverComesIntoForce(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA), places: []place{pwaniA, pwaniB}})
	applied := c.mustPut("quotes", edit(1), 0)
	_, code := c.put(c.daemons[0], "quotes", []byte("[version nonsense]\nstate = flying\n"), applied.Revision, time.Second)
	require.Equal(t, http.StatusUnprocessableEntity, code)
	c.writeStore("templates/quotes", []byte("[version nonsense]\n"))
	c.eventually(6*time.Second, "the refusal is logged", func() bool { return c.logged("configRefused") })
	for _, d := range c.daemons {
		require.Equal(t, applied.Revision, c.revision(d, "quotes"))
	}
	require.True(t, c.ask(c.daemons[0], "still-served", false).whole)
}

func TestACutOffRegionCatchesUpAfterThePartition(t *testing.T) {
	c := start(t, options{layout: smallLayout(pwaniA), places: []place{pwaniA, pwaniB, kaskaziniA, kaskaziniA}})
	base := c.mustPut("quotes", edit(0), 0).Revision
	home, away := []string{"entry-1", "entry-2"}, []string{"entry-3", "entry-4"}
	c.links.set(true, home, away)
	for _, d := range c.daemons[2:] {
		d.store.Stop()
	}
	out, code := c.put(c.daemons[0], "quotes", edit(1), base, 500*time.Millisecond)
	require.Equal(t, http.StatusOK, code)
	require.NotEmpty(t, out.Behind)
	require.Equal(t, base, c.revision(c.daemons[3], "quotes"))
	c.links.set(false, home, away)
	c.eventually(inForceTarget+3*time.Second, "the region catches up through its peers", func() bool {
		return c.revision(c.daemons[2], "quotes") == out.Revision && c.revision(c.daemons[3], "quotes") == out.Revision
	})
}

// writeStore writes an object past the daemons and returns its version.
func (c *cluster) writeStore(key string, body []byte) int64 {
	req, err := http.NewRequest(http.MethodPut, c.world.PlatformURL+"/v1/objects/"+key, strings.NewReader(string(body)))
	require.NoError(c.t, err)
	resp, err := c.client.Do(req)
	require.NoError(c.t, err)
	defer resp.Body.Close()
	var v int64
	_, err = fmt.Sscanf(resp.Header.Get("ETag"), "%q", new(string))
	require.NoError(c.t, err)
	_, err = fmt.Sscanf(strings.Trim(resp.Header.Get("ETag"), `"`), "%d", &v)
	require.NoError(c.t, err)
	return v
}
