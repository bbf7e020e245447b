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
	loadConnections      = 16
	loadRoundDuration    = 2 * time.Second
	pathComparisonRounds = 5
)

// fastLayout returns a layout with two engines that generate tokens without any delay.
func fastLayout(tokens int) world.Layout {
	return world.Layout{Engines: []world.EngineGroup{{
		Zone: world.Zone{Region: "pwani", AvailabilityZone: "pwani-a"}, Count: 2,
		Spec: engine.Spec{Serves: map[string]float64{"small@1": 0.95}, Tokens: tokens, Slots: 512},
	}}}
}

// loadResult is what one round of load measured, with the 99th percentile of the latency.
type loadResult struct {
	requestsPerSecond float64
	p99Ms             float64
	tokensPerSecond   float64
}

// sendLoad sends requests over loadConnections connections for one round.
func sendLoad(address string, stream bool) loadResult {
	return sendLoadOver(address, stream, loadConnections)
}

// sendLoadOver sends requests over a number of connections for one round.
func sendLoadOver(address string, stream bool, connections int) loadResult {
	body := fmt.Appendf(nil, `{"model":"small@1","stream":%t,"messages":[{"role":"user","content":"price a dinner for eighty guests"}]}`, stream)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loadConnections}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	hist := hdrhistogram.New(1, 60_000_000, 3)
	var tokens, requests atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(loadRoundDuration)
	for range connections {
		wg.Go(func() {
			for time.Now().Before(end) {
				req, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
				req.Header.Set("Authorization", "Bearer "+testAPIKey)
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
	return loadResult{float64(requests.Load()) / loadRoundDuration.Seconds(), float64(hist.ValueAtQuantile(99)) / 1000, float64(tokens.Load()) / loadRoundDuration.Seconds()}
}

// startBaselineProxy starts the baseline, a reverse proxy of the standard library in front of the same engines.
func startBaselineProxy(b *testing.B, c *cluster) string {
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
	l, err := listenLoopback()
	require.NoError(b, err)
	go func() { _ = srv.Serve(l) }()
	b.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

func median(xs []float64) float64 {
	slices.Sort(xs)
	return xs[len(xs)/2]
}

// BenchmarkPath compares a daemon with a plain reverse proxy in alternating rounds.
//
// The baseline runs in the process that generates the load, the daemon in a process of its own.
func BenchmarkPath(b *testing.B) {
	c := startCluster(b, options{layout: fastLayout(20), locations: []location{pwaniA, pwaniB}, directPeers: true})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	proxy := startBaselineProxy(b, c)
	var daemonThroughput, baselineThroughput, daemonP99, baselineP99 []float64
	sendLoad(c.daemons[0].callerAddress, false)
	sendLoad(proxy, false)
	c.writeCPUProfile(c.daemons[0])
	for range pathComparisonRounds {
		baseline := sendLoad(proxy, false)
		daemon := sendLoad(c.daemons[0].callerAddress, false)
		baselineThroughput, baselineP99 = append(baselineThroughput, baseline.requestsPerSecond), append(baselineP99, baseline.p99Ms)
		daemonThroughput, daemonP99 = append(daemonThroughput, daemon.requestsPerSecond), append(daemonP99, daemon.p99Ms)
	}
	measured("path.throughput", median(daemonThroughput), "requests/s", fmt.Sprintf("%.0f", median(baselineThroughput)))
	measured("path.throughputRatio", median(daemonThroughput)/median(baselineThroughput), "ratio", "1")
	measured("path.p99", median(daemonP99), "ms", fmt.Sprintf("%.3g", median(baselineP99)))
	measured("path.p99Ratio", median(daemonP99)/median(baselineP99), "ratio", "1")
}

// BenchmarkStream measures the tokens that a daemon relays per second of its processor time.
func BenchmarkStream(b *testing.B) {
	c := startCluster(b, options{layout: fastLayout(400), locations: []location{pwaniA}, directPeers: true})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	sendLoad(c.daemons[0].callerAddress, true)
	before := c.daemons[0].cpuTime(b)
	began := time.Now()
	r := sendLoad(c.daemons[0].callerAddress, true)
	used := c.daemons[0].cpuTime(b) - before
	measured("stream.tokens", r.tokensPerSecond, "tokens/s", "-")
	measured("stream.cores", used.Seconds()/time.Since(began).Seconds(), "cores", "-")
	measured("stream.tokensPerCore", r.tokensPerSecond*time.Since(began).Seconds()/used.Seconds(), "tokens/core-second", "150000")
}

// cpuTime returns the processor time that a daemon has used.
func (d *daemonProcess) cpuTime(tb testing.TB) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.cmd.Process.Pid))
	require.NoError(tb, err)
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+2:]))
	const userTicksField, systemTicksField, ticksPerSecond = 11, 12, 100
	user, _ := strconv.Atoi(fields[userTicksField])
	system, _ := strconv.Atoi(fields[systemTicksField])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// writeCPUProfile writes a CPU profile of the daemon under load to the file named by the environment variable PROFILE.
func (c *cluster) writeCPUProfile(d *daemonProcess) {
	path := os.Getenv("PROFILE")
	if path == "" {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { sendLoad(d.callerAddress, false) })
	resp, err := c.client.Get("http://" + d.operatorAddress + "/debug/pprof/profile?seconds=2")
	require.NoError(c.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	require.NoError(c.t, os.WriteFile(path, data, 0o600))
	wg.Wait()
}
