package processes

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/standin/engine"
	"github.com/pollencourse/pollencourse/internal/standin/world"
)

const (
	pathConnections = 16
	pathRound       = 2 * time.Second
	pathRounds      = 5
)

// fastLayout has engines that answer at once.
func fastLayout(tokens int) world.Layout {
	return world.Layout{Engines: []world.EngineGroup{{
		Zone: world.Zone{Region: "pwani", AvailabilityZone: "pwani-a"}, Count: 2,
		Spec: engine.Spec{Serves: map[string]float64{"small@1": 0.95}, Tokens: tokens, Slots: 512},
	}}}
}

// loadResult is what one round of load measured.
type loadResult struct {
	perSecond float64
	p99       float64
	tokens    float64
}

// drive sends requests over a fixed number of connections for one round.
func drive(address string, stream bool) loadResult {
	return driveWith(address, stream, pathConnections)
}

func driveWith(address string, stream bool, connections int) loadResult {
	body := fmt.Appendf(nil, `{"model":"small@1","stream":%t,"messages":[{"role":"user","content":"price a dinner for eighty guests"}]}`, stream)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: pathConnections}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	hist := hdrhistogram.New(1, 60_000_000, 3)
	var tokens, requests atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(pathRound)
	for range connections {
		wg.Go(func() {
			for time.Now().Before(end) {
				req, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
				req.Header.Set("Authorization", "Bearer "+testKey)
				req.Header.Set("Content-Type", "application/json")
				began := time.Now()
				resp, err := client.Do(req)
				if err != nil {
					continue
				}
				data, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					continue
				}
				requests.Add(1)
				tokens.Add(int64(bytes.Count(data, []byte("fine"))))
				mu.Lock()
				_ = hist.RecordValue(time.Since(began).Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return loadResult{float64(requests.Load()) / pathRound.Seconds(), float64(hist.ValueAtQuantile(99)) / 1000, float64(tokens.Load()) / pathRound.Seconds()}
}

// plainProxy is the baseline: the standard library's proxy before the same engines.
func plainProxy(b *testing.B, c *cluster) string {
	var targets []*url.URL
	for _, addr := range c.world.Engines {
		targets = append(targets, &url.URL{Scheme: "http", Host: addr})
	}
	var n atomic.Int64
	p := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(targets[int(n.Add(1))%len(targets)])
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 256}, FlushInterval: -1,
	}
	srv := &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
	l, err := listen()
	require.NoError(b, err)
	go func() { _ = srv.Serve(l) }()
	b.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

func median(xs []float64) float64 {
	slices.Sort(xs)
	return xs[len(xs)/2]
}

// BenchmarkPath compares the daemon with a plain reverse proxy, in turns, in one run.
//
// The baseline runs inside the load's own process, the daemon in a process of its own.
func BenchmarkPath(b *testing.B) {
	c := start(b, options{layout: fastLayout(20), places: []place{pwaniA, pwaniB}, direct: true})
	c.mustPut("quotes", quotesTemplate(), 0)
	proxy := plainProxy(b, c)
	var ours, theirs, oursP99, theirsP99 []float64
	drive(c.daemons[0].caller, false)
	drive(proxy, false)
	c.profile(c.daemons[0])
	for range pathRounds {
		x := drive(proxy, false)
		y := drive(c.daemons[0].caller, false)
		theirs, theirsP99 = append(theirs, x.perSecond), append(theirsP99, x.p99)
		ours, oursP99 = append(ours, y.perSecond), append(oursP99, y.p99)
	}
	measured("path.throughput", median(ours), "requests/s", fmt.Sprintf("%.0f", median(theirs)))
	measured("path.throughputRatio", median(ours)/median(theirs), "ratio", "1")
	measured("path.p99", median(oursP99), "ms", fmt.Sprintf("%.3g", median(theirsP99)))
	measured("path.p99Ratio", median(oursP99)/median(theirsP99), "ratio", "1")
}

// BenchmarkStream measures the tokens relayed for each second of the daemon's processor time.
func BenchmarkStream(b *testing.B) {
	c := start(b, options{layout: fastLayout(400), places: []place{pwaniA}, direct: true})
	c.mustPut("quotes", quotesTemplate(), 0)
	drive(c.daemons[0].caller, true)
	before := c.daemons[0].cpu(b)
	began := time.Now()
	r := drive(c.daemons[0].caller, true)
	used := c.daemons[0].cpu(b) - before
	measured("stream.tokens", r.tokens, "tokens/s", "-")
	measured("stream.cores", used.Seconds()/time.Since(began).Seconds(), "cores", "-")
	measured("stream.tokensPerCore", r.tokens*time.Since(began).Seconds()/used.Seconds(), "tokens/core-second", "150000")
}

// cpu returns the processor time that a daemon has used.
func (d *daemonProc) cpu(tb testing.TB) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.cmd.Process.Pid))
	require.NoError(tb, err)
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+2:]))
	const userTicks, systemTicks, ticksPerSecond = 11, 12, 100
	user, _ := strconv.Atoi(fields[userTicks])
	system, _ := strconv.Atoi(fields[systemTicks])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// profile writes a processor profile of a daemon under load to the file that PROFILE names.
func (c *cluster) profile(d *daemonProc) {
	path := os.Getenv("PROFILE")
	if path == "" {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { drive(d.caller, false) })
	resp, err := c.client.Get("http://" + d.operator + "/debug/pprof/profile?seconds=2")
	require.NoError(c.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	require.NoError(c.t, os.WriteFile(path, data, 0o600))
	wg.Wait()
}
