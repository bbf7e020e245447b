package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

const (
	soakDaemonCount = 4
	soakServerCount = 4
	soakClientCount = 8
	soakDaemonEnv   = "POLLENCOURSE_SOAK_DAEMON"
	// recoveryTime is how long after the last fault the daemons may take to recover. The platform's parameters contactMs
	// and recoveryS are 4 s and 12 s.
	recoveryTime = 6 * time.Second
	// minServedShare is the share of the requests sent once recoveryTime has passed that have to be served.
	minServedShare = 0.95
	// maxConfigDelay bounds the time until a new configuration is in force on all daemons; it is the platform's
	// parameter configApplyMs.
	maxConfigDelay = 3 * time.Second
)

// soak is the state of one run of TestSoak.
type soak struct {
	t         *testing.T
	rng       *rand.Rand
	store     *storeStandin
	daemons   []*soakDaemon
	backends  *backendPool
	daemonLog *os.File

	mu            sync.Mutex
	configVersion int
	extraRoutes   []string
	// evacuatedAt is when evacuatedZone was evacuated; zero if it is not.
	evacuatedAt time.Time
	results     map[string]clientResult
	violations  []string
	// disturbedAt holds when each daemon was last restarted or paused.
	disturbedAt map[string]time.Time
}

// clientResult is what a client observed of one request.
type clientResult struct {
	path       string
	statusCode int
	body       string
	complete   bool
	sentAt     time.Time
}

// reportViolation records that a promise was broken; the test fails at its end.
func (s *soak) reportViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// recordDisturbance records that a daemon was restarted or paused just now.
func (s *soak) recordDisturbance(daemon string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbedAt[daemon] = time.Now()
}

// disturbedSince reports whether a daemon was restarted or paused after a point in time.
func (s *soak) disturbedSince(daemon string, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disturbedAt[daemon].After(at)
}

// newSoak starts the stand-ins, a proxy between each daemon and the store, and the daemons.
func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{t: t, rng: rand.New(rand.NewPCG(seed, 7)), store: newStoreStandin(t), results: map[string]clientResult{}, disturbedAt: map[string]time.Time{}}
	var err error
	s.daemonLog, err = os.Create(filepath.Join(t.TempDir(), "daemons.log"))
	require.NoError(t, err)
	s.writeConfig()
	s.backends = newBackendPool(s, soakServerCount)
	toxi := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	var seeds []string
	for i := range soakDaemonCount {
		d := &soakDaemon{soak: s, name: fmt.Sprint("vm", i), host: nextHost()}
		d.storeProxy = toxiproxy.NewProxy(toxi, d.name, "127.0.0.1:0", s.store.addressFor(t, d.name))
		require.NoError(t, d.storeProxy.Start())
		t.Cleanup(d.storeProxy.Stop)
		d.settingsPath = filepath.Join(t.TempDir(), d.name+".json")
		if len(seeds) < soakSeedCount {
			seeds = append(seeds, net.JoinHostPort(d.host, soakPeerPort))
		}
		s.daemons = append(s.daemons, d)
	}
	for _, d := range s.daemons {
		d.writeSettings(seeds)
		d.start()
		t.Cleanup(d.kill)
	}
	return s
}

// writeConfig writes the next version of the configuration, with further routes by name.
func (s *soak) writeConfig(extraRoutes ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configVersion++
	s.extraRoutes = append([]string{"safe", onceRoute}, extraRoutes...)
	putConfig(s.store, s.configVersion, s.extraRoutes...)
}

// writeConfigAgain writes the newest configuration again.
func (s *soak) writeConfigAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	putConfig(s.store, s.configVersion, s.extraRoutes...)
}

// startClients starts clients that send requests until stop is closed. They reuse connections until a daemon closes
// them.
func (s *soak) startClients(stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for c := range soakClientCount {
		rng := rand.New(rand.NewPCG(uint64(c), 11))
		wg.Add(1)
		go func() {
			defer wg.Done()
			transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
			defer transport.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("c%d-%d", c, n)
				path := []string{"/u/x", "/safe/x", "/st/x", "/" + onceRoute + "/x"}[rng.IntN(4)]
				s.sendRequest(transport, s.daemons[rng.IntN(len(s.daemons))], path, id)
				time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
			}
		}()
	}
	return &wg
}

func (s *soak) sendRequest(transport *http.Transport, d *soakDaemon, path, id string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+net.JoinHostPort(d.host, "8001")+path, strings.NewReader(id))
	if err != nil {
		s.reportViolation("can't build request: %v", err)
		return
	}
	req.GetBody = nil // keeps the HTTP client from sending the request twice
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Request-Deadline", "4000")
	r := clientResult{path: path, sentAt: time.Now()}
	req.Header.Set(soakDaemonHeader, d.name)
	req.Header.Set(soakSentHeader, strconv.FormatInt(r.sentAt.UnixNano(), 10))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := transport.RoundTrip(req.WithContext(ctx))
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.statusCode, r.body, r.complete = resp.StatusCode, string(body), err == nil
	}
	s.mu.Lock()
	s.results[id] = r
	s.mu.Unlock()
}

// checkResults compares what the clients observed with what the servers ran.
func (s *soak) checkResults() {
	s.mu.Lock()
	results := s.results
	s.mu.Unlock()
	for id, r := range results {
		s.checkRunCount(id, r, s.backends.runsOf(id))
		if r.statusCode == http.StatusOK {
			s.checkBody(id, r)
		}
	}
}

// checkRunCount checks three promises: an unsafe request and a stream that can't be resumed run at most once, a request
// refused as not run (503) did not run, and no request gets 404 or 401, since every configuration has its route.
func (s *soak) checkRunCount(id string, r clientResult, runs int) {
	switch {
	case (r.path == "/u/x" || strings.HasPrefix(r.path, "/"+onceRoute+"/")) && runs > 1:
		s.reportViolation("request %s to %s ran %d times", id, r.path, runs)
	case r.statusCode == http.StatusServiceUnavailable && runs > 0:
		s.reportViolation("request %s was refused as not run but ran %d times", id, runs)
	case r.statusCode == http.StatusNotFound || r.statusCode == http.StatusUnauthorized:
		s.reportViolation("request %s got status %d although every configuration has its route", id, r.statusCode)
	}
}

// checkBody checks the body of a response with status 200: a complete one has exactly the expected content, a truncated
// stream has a prefix of the expected events.
func (s *soak) checkBody(id string, r clientResult) {
	stream := r.path == "/st/x" || strings.HasPrefix(r.path, "/"+onceRoute+"/")
	switch {
	case r.complete && stream && r.body != streamEvents(id, 1):
		s.reportViolation("complete stream %s has unexpected events: %q", id, r.body)
	case r.complete && !stream && r.body != "answer to "+id:
		s.reportViolation("response to request %s has an unexpected body: %q", id, r.body)
	case !r.complete && stream && !strings.HasPrefix(streamEvents(id, 1), r.body):
		s.reportViolation("truncated stream %s has unexpected events: %q", id, r.body)
	}
}

// checkServedAfterFaults checks that the daemons have recovered from the faults: minServedShare of the requests sent
// after recoveredAt got a complete response with status 200.
func (s *soak) checkServedAfterFaults(recoveredAt time.Time) {
	served, total := 0, 0
	for _, r := range s.results {
		if r.sentAt.After(recoveredAt) {
			total++
			if r.statusCode == http.StatusOK && r.complete {
				served++
			}
		}
	}
	if total == 0 || float64(served) < minServedShare*float64(total) {
		s.reportViolation("of %d requests sent after the recovery time, %d got a complete response with status 200", total, served)
	}
}

// checkNewConfigInForce writes a configuration with a new route and checks that every daemon serves it within
// maxConfigDelay.
func (s *soak) checkNewConfigInForce() {
	s.writeConfig("last")
	began := time.Now()
	for _, d := range s.daemons {
		for n := 0; ; n++ {
			id := fmt.Sprintf("last-%s-%d", d.name, n)
			s.sendRequest(&http.Transport{DisableKeepAlives: true}, d, "/last/x", id)
			s.mu.Lock()
			status := s.results[id].statusCode
			delete(s.results, id) // status 404 is allowed until maxConfigDelay
			s.mu.Unlock()
			if status == http.StatusOK {
				break
			}
			if time.Since(began) > maxConfigDelay {
				s.reportViolation("daemon %s does not serve the new route after %v", d.name, maxConfigDelay)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// TestSoak injects random faults and checks that the promises to callers hold.
//
// The daemons run as processes of their own, started from this test's binary, against stand-ins of the store and of
// the backend servers. Faults are signals to the daemons, faults on the connections between a daemon and the store
// (see drawFault), new configurations, evacuations, restores of the store from a copy, and backend servers that leave or send faulty responses. The sequence of
// faults depends on the seed only; SOAK_SEED and SOAK_SECONDS set the seed and the duration, and scripts/soak runs
// many seeds.
//
// The checks: no unsafe request and no stream that can't be resumed runs twice, a request refused as not run did not run,
// every request has its route, bodies are correct (checkRunCount, checkBody), servers that say that they are leaving or want a pause get no further
// requests (serverNotices), an evacuated zone gets none (checkEvacuation), the daemons serve again after the faults (checkServedAfterFaults), a
// new configuration is in force in time (checkNewConfigInForce), and a daemon exits within its grace period
// (restartDaemon).
func TestSoak(t *testing.T) {
	seed, seconds := uint64(1), 8
	if v, err := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64); err == nil {
		seed = v
	}
	if v, err := strconv.Atoi(os.Getenv("SOAK_SECONDS")); err == nil {
		seconds = v
	}
	s := newSoak(t, seed)
	stopClients := make(chan struct{})
	clients := s.startClients(stopClients)
	time.Sleep(3 * time.Second)
	counts := map[string]int{}
	s.injectFaults(time.Now().Add(time.Duration(seconds)*time.Second), counts)
	s.backends.stopFaults()
	time.Sleep(recoveryTime)
	recoveredAt := time.Now()
	time.Sleep(2 * time.Second)
	close(stopClients)
	clients.Wait()
	s.checkResults()
	s.checkServedAfterFaults(recoveredAt)
	s.checkNewConfigInForce()
	t.Logf("seed %d: %d requests, faults %v", seed, len(s.results), counts)
	if len(s.violations) > 0 {
		log, _ := os.ReadFile(s.daemonLog.Name())
		kept := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d.log", seed))
		_ = os.WriteFile(kept, log, 0o600)
		t.Fatalf("seed %d, daemons' log %s:\n%s", seed, kept, strings.Join(s.violations[:min(len(s.violations), 10)], "\n"))
	}
}
