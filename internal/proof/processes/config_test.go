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

// maxTimeToInForce bounds the time from the acceptance of a configuration until it is in force on all daemons.
const maxTimeToInForce = 2 * time.Second

func sevenDaemonLocations() []location {
	return []location{pwaniA, pwaniA, pwaniA, pwaniB, pwaniB, kaskaziniA, kaskaziniA}
}

// editedTemplate returns the i-th edit of the test's template.
func editedTemplate(i int) []byte {
	return quotesTemplate("qualityTarget = 0.8", fmt.Sprintf("qualityTarget = 0.8%02d", i))
}

// Applies edits one after another and kills a daemon halfway. Each edit must be in force on all running
// daemons within maxTimeToInForce, although the killed daemon may have relayed edits between zones.
func TestConfigurationIsInForceEverywhereWithinSecondsWhileARelayIsKilled(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA), locations: sevenDaemonLocations()})
	const edits = 30
	var base int64
	var timesToInForce []time.Duration
	for i := range edits {
		if i == edits/2 {
			// The first daemons of an availability zone, in the order of its ring, relay between zones.
			c.kill(c.otherDaemonAt(pwaniA, c.daemons[0]))
		}
		began := time.Now()
		out, code := c.applyTemplate(c.daemons[0], "quotes", editedTemplate(i), base, 10*time.Second)
		require.Equal(t, http.StatusOK, code)
		base = out.Revision
		running := slices.DeleteFunc(slices.Clone(c.daemons), func(d *daemonProcess) bool { return d.hasExited() })
		c.eventually(maxTimeToInForce, "all running daemons have the edit in force", func() bool {
			return !slices.ContainsFunc(running, func(d *daemonProcess) bool { return c.revision(d, "quotes") < base })
		})
		require.Less(t, time.Since(began), 10*time.Second)
		timesToInForce = append(timesToInForce, time.Duration(out.Milliseconds)*time.Millisecond)
	}
	slices.Sort(timesToInForce)
	measured("config.inForce.median", float64(timesToInForce[edits/2].Milliseconds()), "ms", "2000")
	measured("config.inForce.worst", float64(timesToInForce[edits-1].Milliseconds()), "ms", "2000")
	require.Less(t, timesToInForce[edits-1], maxTimeToInForce)
}

// otherDaemonAt returns a running daemon at a location, other than excluded.
func (c *cluster) otherDaemonAt(loc location, excluded *daemonProcess) *daemonProcess {
	for _, d := range c.daemons {
		if d.location == loc && d != excluded && !d.hasExited() {
			return d
		}
	}
	c.t.Fatal("no other daemon runs at this location")
	return nil
}

func (d *daemonProcess) hasExited() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// The store reads back the first version of each object, as after a restore from a backup. Running daemons must
// keep the newer revision, a new daemon must get it from its peers, and an event must be logged.
func TestConfigurationNeverRevertsWhenTheStoreAnswersWithOlderVersions(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA), locations: []location{pwaniA, pwaniB, kaskaziniA}})
	first := c.mustApplyTemplate("quotes", editedTemplate(1), 0)
	second := c.mustApplyTemplate("quotes", editedTemplate(2), first.Revision)
	c.postControl(c.world.PlatformURL, "/control/store", platform.Faults{StaleReads: true})
	// Watchers compare versions with the store every few seconds, and a daemon that starts now reads the old version.
	newDaemon := c.addDaemon(pwaniA)
	c.launch(newDaemon)
	c.eventually(5*time.Second, "the new daemon has a configuration", func() bool { return c.revision(newDaemon, "quotes") > 0 })
	c.eventually(5*time.Second, "the new daemon has the newer revision", func() bool { return c.revision(newDaemon, "quotes") == second.Revision })
	c.eventually(10*time.Second, "a daemon logs that the store went back", func() bool { return c.logged("storeWentBack") })
	for _, d := range c.daemons {
		require.Equal(t, second.Revision, c.revision(d, "quotes"), d.id)
	}
}

// logged reports whether any daemon has logged an event with this name.
func (c *cluster) logged(event string) bool {
	for _, d := range c.daemons {
		text, _ := os.ReadFile(d.logPath)
		if strings.Contains(string(text), `"name":"`+event+`"`) {
			return true
		}
	}
	return false
}

// A daemon that starts during a store outage must get the configuration from its peers and serve requests.
func TestADaemonThatStartsWhileTheStoreIsDownTakesTheConfigurationFromPeers(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA), locations: []location{pwaniA, pwaniB}})
	applied := c.mustApplyTemplate("quotes", editedTemplate(1), 0)
	c.postControl(c.world.PlatformURL, "/control/store", platform.Faults{Down: true})
	newDaemon := c.addDaemon(pwaniB)
	c.launch(newDaemon)
	c.eventually(5*time.Second, "the new daemon has the configuration", func() bool { return c.revision(newDaemon, "quotes") == applied.Revision })
	require.True(t, c.sendChat(newDaemon, "while-down", false).complete)
}

// No template was ever applied. A request must be refused with status 503 and the outcome "not run".
func TestADaemonWithoutAnyConfigurationReportsNotRun(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA), locations: []location{pwaniA}})
	r := c.sendChat(c.daemons[0], "too-early", false)
	require.Equal(t, http.StatusServiceUnavailable, r.statusCode)
	require.EqualValues(t, "notRun", r.outcome)
}

// The store drops the watch event of an edit. Watchers must find the edit when they next compare versions with
// the store and bring it to all daemons.
func TestLostWatchEventsAreMadeUpFor(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA), locations: []location{pwaniA, pwaniB, kaskaziniA}})
	first := c.mustApplyTemplate("quotes", editedTemplate(1), 0)
	// Write the edit directly to the store, so that daemons learn of it only from the watch or a comparison of versions.
	c.postControl(c.world.PlatformURL, "/control/store", platform.Faults{DropWatchEvents: 1000})
	revision := c.writeStoreDirectly("templates/quotes", editedTemplate(2))
	require.Greater(t, revision, first.Revision)
	c.eventually(6*time.Second, "all daemons have the edit in force", func() bool {
		return !slices.ContainsFunc(c.daemons, func(d *daemonProcess) bool { return c.revision(d, "quotes") < revision })
	})
}

// Two operators apply edits of the same revision at two daemons at once. Exactly one edit must be accepted; the
// other must get a conflict instead of overwriting it.
func TestOneOfTwoRacingOperatorsGetsAConflict(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA), locations: []location{pwaniA, pwaniB}})
	base := c.mustApplyTemplate("quotes", editedTemplate(0), 0).Revision
	for round := range 10 {
		codes := make([]int, 2)
		revisions := make([]int64, 2)
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Go(func() {
				out, code := c.applyTemplate(c.daemons[i], "quotes", editedTemplate(2*round+i+1), base, 5*time.Second)
				codes[i], revisions[i] = code, out.Revision
			})
		}
		wg.Wait()
		slices.Sort(codes)
		require.Equal(t, []int{http.StatusOK, http.StatusConflict}, codes)
		base = max(revisions[0], revisions[1])
	}
}

// The store applies the write of an edit but loses the response. The operator must get a success with a newer
// revision, not a conflict with its own edit.
func TestAnEditWhoseStoreResponseIsLostIsAcceptedOnce(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA), locations: []location{pwaniA, pwaniB}})
	base := c.mustApplyTemplate("quotes", editedTemplate(0), 0).Revision
	for i := range 5 {
		c.postControl(c.world.PlatformURL, "/control/store", platform.Faults{LoseWriteResponses: 1, LoseResponsesPrefix: "templates/"})
		out, code := c.applyTemplate(c.daemons[0], "quotes", editedTemplate(i+1), base, 5*time.Second)
		require.Equal(t, http.StatusOK, code)
		require.Empty(t, out.Behind)
		require.Greater(t, out.Revision, base)
		base = out.Revision
	}
}

// One daemon is paused with SIGSTOP. An apply call that waits only 300 ms for the edit to be in force must name
// the daemon as behind, and the daemon must catch up once it resumes.
func TestApplyNamesThePausedDaemon(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA), locations: []location{pwaniA, pwaniA, pwaniB}})
	base := c.mustApplyTemplate("quotes", editedTemplate(0), 0).Revision
	paused := c.daemons[1]
	paused.signal(syscall.SIGSTOP)
	out, code := c.applyTemplate(c.daemons[0], "quotes", editedTemplate(1), base, 300*time.Millisecond)
	require.Equal(t, http.StatusOK, code)
	require.Equal(t, []string{paused.id}, out.Behind)
	paused.signal(syscall.SIGCONT)
	c.eventually(maxTimeToInForce+time.Second, "the resumed daemon catches up", func() bool { return c.revision(paused, "quotes") == out.Revision })
}

// An invalid template is applied through a daemon and then written directly to the store. The first must be
// refused, the second logged as refused, and the last valid revision must stay in force.
func TestATemplateThatIsNotValidNeverComesIntoForce(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA), locations: []location{pwaniA, pwaniB}})
	applied := c.mustApplyTemplate("quotes", editedTemplate(1), 0)
	_, code := c.applyTemplate(c.daemons[0], "quotes", []byte("[version nonsense]\nstate = flying\n"), applied.Revision, time.Second)
	require.Equal(t, http.StatusUnprocessableEntity, code)
	c.writeStoreDirectly("templates/quotes", []byte("[version nonsense]\n"))
	c.eventually(6*time.Second, "a daemon logs that it refused the configuration", func() bool { return c.logged("configRefused") })
	for _, d := range c.daemons {
		require.Equal(t, applied.Revision, c.revision(d, "quotes"))
	}
	require.True(t, c.sendChat(c.daemons[0], "still-served", false).complete)
}

// A region is partitioned from its peers and from the store while an edit is applied. The apply call must name
// daemons that are behind, and the region must catch up through its peers once the partition ends, although its
// store connections stay cut.
func TestACutOffRegionCatchesUpAfterThePartition(t *testing.T) {
	c := startCluster(t, options{layout: smallLayout(pwaniA), locations: []location{pwaniA, pwaniB, kaskaziniA, kaskaziniA}})
	base := c.mustApplyTemplate("quotes", editedTemplate(0), 0).Revision
	connected, partitioned := []string{"entry-1", "entry-2"}, []string{"entry-3", "entry-4"}
	c.peerNetwork.setPartition(true, connected, partitioned)
	for _, d := range c.daemons[2:] {
		d.storeProxy.Stop()
	}
	out, code := c.applyTemplate(c.daemons[0], "quotes", editedTemplate(1), base, 500*time.Millisecond)
	require.Equal(t, http.StatusOK, code)
	require.NotEmpty(t, out.Behind)
	require.Equal(t, base, c.revision(c.daemons[3], "quotes"))
	c.peerNetwork.setPartition(false, connected, partitioned)
	c.eventually(maxTimeToInForce+3*time.Second, "the region catches up through its peers", func() bool {
		return c.revision(c.daemons[2], "quotes") == out.Revision && c.revision(c.daemons[3], "quotes") == out.Revision
	})
}

// writeStoreDirectly writes an object to the store without a daemon and returns its version.
func (c *cluster) writeStoreDirectly(key string, body []byte) int64 {
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
