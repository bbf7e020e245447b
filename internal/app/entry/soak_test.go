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

// The soak runs daemons as processes of their own, this test's binary started again, before stand-ins of the store
// and the servers. Faults come from outside: signals, and proxies between each daemon and the store. The seed gives
// the whole plan; SOAK_SEED and SOAK_SECONDS choose it, and scripts/soak runs many.
const (
	soakDaemons  = 4
	soakServers  = 4
	soakClients  = 8
	daemonSwitch = "POLLENCOURSE_SOAK_DAEMON"
	// calmBefore is how long after the last fault everything has to be well again: contactMs and recoveryS of the
	// platform's sheets are 4 s and 12 s.
	calmBefore = 6 * time.Second
	recovered  = 0.95
	// configBound is configApplyMs of the platform's sheets.
	configBound = 3 * time.Second
)

// soak is one run.
type soak struct {
	t       *testing.T
	rng     *rand.Rand
	store   *storeStandin
	daemons []*soakDaemon
	servers *soakPool
	log     *os.File

	mu       sync.Mutex
	version  int
	results  map[string]result
	findings []string
}

// result is what a client saw of one request.
type result struct {
	path   string
	status int
	body   string
	whole  bool
	sent   time.Time
}

func (s *soak) find(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findings = append(s.findings, fmt.Sprintf(format, args...))
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{t: t, rng: rand.New(rand.NewPCG(seed, 7)), store: newStore(t), results: map[string]result{}}
	var err error
	s.log, err = os.Create(filepath.Join(t.TempDir(), "daemons.log"))
	require.NoError(t, err)
	s.configure()
	s.servers = newSoakPool(s, soakServers)
	toxi := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	block := 8 + int(hosts.Add(1))
	if v, err := strconv.Atoi(os.Getenv("SOAK_BLOCK")); err == nil {
		block = 20 + v // runs beside each other need addresses of their own
	}
	for i := range soakDaemons {
		d := &soakDaemon{soak: s, name: fmt.Sprint("vm", i), host: fmt.Sprintf("127.0.%d.%d", block, i+1)}
		d.store = toxiproxy.NewProxy(toxi, d.name, "127.0.0.1:0", s.store.addressFor(t, d.name))
		require.NoError(t, d.store.Start())
		t.Cleanup(d.store.Stop)
		d.file = filepath.Join(t.TempDir(), d.name+".json")
		d.write(block)
		s.daemons = append(s.daemons, d)
	}
	for _, d := range s.daemons {
		d.start()
		t.Cleanup(d.kill)
	}
	return s
}

func (s *soak) configure(extra ...string) {
	s.mu.Lock()
	s.version++
	v := s.version
	s.mu.Unlock()
	putConfig(s.store, v, append([]string{"safe"}, extra...)...)
}

// clients send requests until stop is closed; connections are kept until their daemon ends them.
func (s *soak) clients(stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for c := range soakClients {
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
				path := []string{"/u/x", "/safe/x", "/st/x"}[rng.IntN(3)]
				s.request(transport, s.daemons[rng.IntN(len(s.daemons))], path, id)
				time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
			}
		}()
	}
	return &wg
}

func (s *soak) request(transport *http.Transport, d *soakDaemon, path, id string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+net.JoinHostPort(d.host, "8001")+path, strings.NewReader(id))
	if err != nil {
		s.find("request can't be built: %v", err)
		return
	}
	req.GetBody = nil // keeps the client's library from sending it twice
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Request-Deadline", "4000")
	r := result{path: path, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := transport.RoundTrip(req.WithContext(ctx))
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.status, r.body, r.whole = resp.StatusCode, string(body), err == nil
	}
	s.mu.Lock()
	s.results[id] = r
	s.mu.Unlock()
}

// check compares what clients saw with what servers did.
func (s *soak) check() {
	s.mu.Lock()
	results := s.results
	s.mu.Unlock()
	for id, r := range results {
		s.checkRuns(id, r, s.servers.runs(id))
		if r.status == http.StatusOK {
			s.checkBody(id, r)
		}
	}
}

// checkRuns judges how often a request ran and what its status promises.
func (s *soak) checkRuns(id string, r result, runs int) {
	switch {
	case r.path == "/u/x" && runs > 1:
		s.find("unsafe request %s ran %d times", id, runs)
	case r.status == http.StatusServiceUnavailable && runs > 0:
		s.find("%s was refused as not run and ran %d times", id, runs)
	case r.status == http.StatusNotFound || r.status == http.StatusUnauthorized:
		s.find("%s got %d though every configuration allows it", id, r.status)
	}
}

// checkBody judges the answer of a request with success.
func (s *soak) checkBody(id string, r result) {
	stream := r.path == "/st/x"
	switch {
	case r.whole && stream && r.body != soakEvents(id, 1):
		s.find("stream %s has other pieces: %q", id, r.body)
	case r.whole && !stream && r.body != "answer to "+id:
		s.find("%s got %q", id, r.body)
	case !r.whole && stream && !strings.HasPrefix(soakEvents(id, 1), r.body):
		s.find("cut stream %s has other pieces: %q", id, r.body)
	}
}

// checkCalm looks whether all is well once the faults are over.
func (s *soak) checkCalm(since time.Time) {
	good, all := 0, 0
	for _, r := range s.results {
		if r.sent.After(since) {
			all++
			if r.status == http.StatusOK && r.whole {
				good++
			}
		}
	}
	if all == 0 || float64(good) < recovered*float64(all) {
		s.find("of %d requests after the faults %d were served", all, good)
	}
}

// checkConfig has a new route in force on every daemon in time.
func (s *soak) checkConfig() {
	s.configure("last")
	began := time.Now()
	for _, d := range s.daemons {
		for n := 0; ; n++ {
			id := fmt.Sprintf("last-%s-%d", d.name, n)
			s.request(&http.Transport{DisableKeepAlives: true}, d, "/last/x", id)
			s.mu.Lock()
			status := s.results[id].status
			delete(s.results, id) // a 404 is allowed until the bound
			s.mu.Unlock()
			if status == http.StatusOK {
				break
			}
			if time.Since(began) > configBound {
				s.find("%s has not the new route after %v", d.name, configBound)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func TestSoak(t *testing.T) {
	seed, seconds := uint64(1), 8
	if v, err := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64); err == nil {
		seed = v
	}
	if v, err := strconv.Atoi(os.Getenv("SOAK_SECONDS")); err == nil {
		seconds = v
	}
	s := newSoak(t, seed)
	stop := make(chan struct{})
	clients := s.clients(stop)
	time.Sleep(3 * time.Second)
	counts := map[string]int{}
	s.faults(time.Now().Add(time.Duration(seconds)*time.Second), counts)
	s.servers.calm()
	time.Sleep(calmBefore)
	calm := time.Now()
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	s.check()
	s.checkCalm(calm)
	s.checkConfig()
	t.Logf("seed %d: %d requests, faults %v", seed, len(s.results), counts)
	if len(s.findings) > 0 {
		log, _ := os.ReadFile(s.log.Name())
		kept := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d.log", seed))
		_ = os.WriteFile(kept, log, 0o600)
		t.Fatalf("seed %d, daemons' log %s:\n%s", seed, kept, strings.Join(s.findings[:min(len(s.findings), 10)], "\n"))
	}
}
