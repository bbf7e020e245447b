package processes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gonum.org/v1/gonum/stat"

	"github.com/pollencourse/pollencourse/internal/external/vmlist"
	"github.com/pollencourse/pollencourse/internal/standin/world"
)

// The target fleet has 13 availability zones of 38 or 39 daemons. A daemon has links
// within its zone and, if it is one of the first in the zone, to the other zones. One zone of 39 daemons
// therefore measures the links within a zone at their full number, and 13 zones of a few daemons measure
// those between zones.
var (
	measuredZoneSizes  = []int{3, 7, 15, 39}
	measuredZoneCounts = []int{2, 4, 8, 13}
)

// daemonsPerZone is the size of each zone while the number of zones varies.
const daemonsPerZone = 2

// observationTime is how long the costs of a fleet under light traffic are measured.
const observationTime = 10 * time.Second

// controlCost is the measured cost of the traffic between daemons and of the calls to the platform's store.
//
// The peer bytes and calls, the processor cores and the resident memory are averages per daemon;
// the store calls and watches are totals of the fleet, and the maximum is that of the daemon that sends most.
type controlCost struct {
	peerBytesPerSecond    float64
	peerCallsPerSecond    float64
	cores                 float64
	storeCallsPerSecond   float64
	storeWatches          float64
	residentBytes         float64
	maxPeerBytesPerSecond float64
}

type peerDump struct {
	Peers struct {
		BytesIn  int64 `json:"bytesIn"`
		BytesOut int64 `json:"bytesOut"`
		Calls    int64 `json:"calls"`
	} `json:"peers"`
}

func (c *cluster) peerDump(d *daemonProcess) peerDump {
	var out peerDump
	require.NoError(c.t, c.getJSON("http://"+d.operatorAddress+"/v1/dump", &out))
	return out
}

// capacityLocations returns the locations of the daemons in equally large zones, spread over 4 regions.
func capacityLocations(zones, perZone int) []location {
	var out []location
	for zone := range zones {
		for range perZone {
			out = append(out, location{fmt.Sprintf("region-%d", zone%4), fmt.Sprintf("zone-%d", zone)})
		}
	}
	return out
}

// measureControl measures the cost of control traffic over observationTime.
func (c *cluster) measureControl() controlCost {
	type reading struct {
		peers peerDump
		cpu   time.Duration
	}
	read := func() []reading {
		var out []reading
		for _, d := range c.daemons {
			out = append(out, reading{c.peerDump(d), d.cpuTime(c.t)})
		}
		return out
	}
	callsBefore, _ := c.storeUsage()
	before, began := read(), time.Now()
	time.Sleep(observationTime)
	after, elapsed := read(), time.Since(began).Seconds()
	callsAfter, watches := c.storeUsage()
	var cost controlCost
	n := float64(len(c.daemons))
	for i := range before {
		sent := float64(after[i].peers.Peers.BytesOut-before[i].peers.Peers.BytesOut) / elapsed
		cost.peerBytesPerSecond += sent / n
		cost.maxPeerBytesPerSecond = max(cost.maxPeerBytesPerSecond, sent)
		cost.peerCallsPerSecond += float64(after[i].peers.Peers.Calls-before[i].peers.Peers.Calls) / elapsed / n
		cost.cores += (after[i].cpu - before[i].cpu).Seconds() / elapsed / n
		cost.residentBytes += c.daemons[i].residentBytes(c.t) / n
	}
	cost.storeCallsPerSecond = float64(callsAfter-callsBefore) / elapsed
	cost.storeWatches = float64(watches)
	return cost
}

func (c *cluster) storeUsage() (calls int64, watches int) {
	var out struct {
		Calls   int64 `json:"calls"`
		Watches int   `json:"watches"`
	}
	require.NoError(c.t, c.getJSON(c.world.PlatformURL+"/control/store", &out))
	return out.Calls, out.Watches
}

// residentBytes returns the resident memory of a daemon.
func (d *daemonProcess) residentBytes(tb testing.TB) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	require.NoError(tb, err)
	for line := range strings.SplitSeq(string(data), "\n") {
		if kb, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(kb), "kB")), 64)
			require.NoError(tb, err)
			return n * 1024
		}
	}
	return 0
}

// BenchmarkFleetSize measures the cost of control traffic at several sizes of one zone and several numbers of zones,
// under light load.
func BenchmarkFleetSize(b *testing.B) {
	var byZoneSize, byZoneCount costSeries
	for _, n := range measuredZoneSizes {
		byZoneSize.add(float64(n), measureFleet(b, fmt.Sprintf("zoneSize=%d", n), capacityLocations(1, n)))
	}
	byZoneSize.measureSlopes("zoneSize")
	for _, n := range measuredZoneCounts {
		byZoneCount.add(float64(n), measureFleet(b, fmt.Sprintf("zones=%d", n), capacityLocations(n, daemonsPerZone)))
	}
	byZoneCount.measureSlopes("zones")
}

// costSeries is the cost of control traffic at several sizes of a fleet.
type costSeries struct {
	x     []float64
	costs []controlCost
}

func (s *costSeries) add(x float64, c controlCost) {
	s.x = append(s.x, x)
	s.costs = append(s.costs, c)
}

func (s *costSeries) measureSlopes(name string) {
	column := func(f func(controlCost) float64) []float64 {
		var out []float64
		for _, c := range s.costs {
			out = append(out, f(c))
		}
		return out
	}
	measureSlope(name+".bytes", s.x, column(func(c controlCost) float64 { return c.peerBytesPerSecond }), "B/s")
	measureSlope(name+".bytesHeaviest", s.x, column(func(c controlCost) float64 { return c.maxPeerBytesPerSecond }), "B/s")
	measureSlope(name+".core", s.x, column(func(c controlCost) float64 { return 100 * c.cores }), "%")
	measureSlope(name+".memory", s.x, column(func(c controlCost) float64 { return c.residentBytes / (1 << 20) }), "MB")
	measureSlope(name+".storeCalls", s.x, column(func(c controlCost) float64 { return c.storeCallsPerSecond }), "calls/s")
}

// measureFleet starts a fleet, measures it under light traffic and during edits, and stops it.
func measureFleet(b *testing.B, label string, locations []location) controlCost {
	c := startCluster(b, options{layout: fastLayout(5), locations: locations, directPeers: true, defaultTiming: true})
	defer c.stop()
	applied := c.mustApplyTemplate("quotes", bothVersionsServing(), 0)
	stop := make(chan struct{})
	done := c.startLightTraffic(stop)
	cost := c.measureControl()
	close(stop)
	<-done
	measured("control.bytes."+label, cost.peerBytesPerSecond, "B/s/daemon", "13000")
	measured("control.bytesHeaviest."+label, cost.maxPeerBytesPerSecond, "B/s", "13000")
	measured("control.calls."+label, cost.peerCallsPerSecond, "calls/s/daemon", "-")
	measured("control.core."+label, 100*cost.cores, "%", "1.3")
	measured("control.memory."+label, cost.residentBytes/(1<<20), "MB", "256")
	measured("control.storeCalls."+label, cost.storeCallsPerSecond, "calls/s", "2000")
	measured("control.watches."+label, cost.storeWatches, "watches", "-")
	perEdit, inForce := c.measureEdits(applied.Revision)
	measured("control.editBytes."+label, perEdit, "B/edit/daemon", "-")
	measured("control.inForce."+label, inForce, "ms", "16000")
	return cost
}

// lightTrafficInterval is the time between two requests to each daemon. The requests change the counts that
// daemons publish to their peers.
const lightTrafficInterval = time.Second

// startLightTraffic sends each daemon a request every lightTrafficInterval until stop is closed.
//
// The returned channel is closed when the last request is done.
func (c *cluster) startLightTraffic(stop <-chan struct{}) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(lightTrafficInterval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			for n, d := range c.daemons {
				c.sendChat(d, fmt.Sprintf("trickle-%d-%d", i, n), false)
			}
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	}()
	return done
}

// measureSlope prints the slope and the intercept of the linear regression through the measured points.
func measureSlope(name string, x, y []float64, unit string) {
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	measured(name+".slope", slope, unit+"/step", "-")
	measured(name+".base", intercept, unit, "-")
}

// measureEdits applies edits to the test's template, whose size is typical, and returns the average bytes that
// a daemon sends per edit and the longest time until an edit was in force on all daemons.
func (c *cluster) measureEdits(base int64) (bytesPerEdit, inForceMs float64) {
	const edits = 20
	before := make([]int64, len(c.daemons))
	for i, d := range c.daemons {
		before[i] = c.peerDump(d).Peers.BytesOut
	}
	worst := int64(0)
	for i := range edits {
		out := c.mustApplyTemplate("quotes", editedTemplate(i), base)
		base = out.Revision
		worst = max(worst, out.Milliseconds)
	}
	total := 0.0
	for i, d := range c.daemons {
		total += float64(c.peerDump(d).Peers.BytesOut - before[i])
	}
	return total / edits / float64(len(c.daemons)), float64(worst)
}

// BenchmarkVMs measures what the list of backend servers costs a daemon in memory and table size, at several lengths.
func BenchmarkVMs(b *testing.B) {
	c := startCluster(b, options{layout: world.Layout{}, locations: []location{pwaniA, pwaniB}, directPeers: true, defaultTiming: true})
	var sizes, memory, tableBytes []float64
	n := 0
	for _, size := range []int{100, 500, 1000, 2100} {
		for ; n < size; n++ {
			c.setVM(vmlist.VM{
				ID: fmt.Sprintf("engine-%05d", n), Kind: vmlist.Engine, Region: fmt.Sprintf("region-%d", n%4),
				AvailabilityZone: fmt.Sprintf("zone-%d", n%13), Address: fmt.Sprintf("10.%d.%d.%d:8000", n/65536, n/256%256, n%256),
				Serves: []string{fmt.Sprintf("model-%d@1", n%7), fmt.Sprintf("model-%d@2", n%7)},
			})
		}
		var records, bytes int
		c.eventually(20*time.Second, "both daemons know all servers", func() bool {
			records, bytes = c.fleetTableSize(c.daemons[1])
			return records >= size+4
		})
		label := fmt.Sprintf("servers=%d", size)
		measured("vms.tableBytes."+label, float64(bytes), "B", "-")
		measured("vms.memory."+label, c.daemons[1].residentBytes(b)/(1<<20), "MB", "256")
		sizes, tableBytes = append(sizes, float64(size)), append(tableBytes, float64(bytes))
		memory = append(memory, c.daemons[1].residentBytes(b)/(1<<20))
	}
	measureSlope("vms.tableBytes", sizes, tableBytes, "B")
	measureSlope("vms.memory", sizes, memory, "MB")
}

func (c *cluster) fleetTableSize(d *daemonProcess) (records, bytes int) {
	var out struct {
		Relay struct {
			Tables map[string]struct {
				Records int `json:"records"`
				Bytes   int `json:"bytes"`
			} `json:"tables"`
		} `json:"relay"`
	}
	require.NoError(c.t, c.getJSON("http://"+d.operatorAddress+"/v1/dump", &out))
	t := out.Relay.Tables["fleet"]
	return t.Records, t.Bytes
}

// BenchmarkRequestState measures the cost of requests besides control traffic: bytes to the standby, processor time
// and stored charges.
func BenchmarkRequestState(b *testing.B) {
	c := startCluster(b, options{layout: fastLayout(20), locations: []location{pwaniA, pwaniB}, directPeers: true, defaultTiming: true})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	sendLoad(c.daemons[0].callerAddress, false)
	for _, conns := range []int{1, 2, 4, 8} {
		d := c.daemons[0]
		before, cpu := c.peerDump(d), d.cpuTime(b)
		r := sendLoadOver(d.callerAddress, false, conns)
		after, used := c.peerDump(d), d.cpuTime(b)-cpu
		requests := r.requestsPerSecond * loadRoundDuration.Seconds()
		label := fmt.Sprintf("connections=%d", conns)
		measured("requests.perSecond."+label, r.requestsPerSecond, "requests/s", "-")
		measured("requests.holdBytes."+label, float64(after.Peers.BytesOut-before.Peers.BytesOut)/requests, "B/request", "-")
		measured("requests.cpu."+label, used.Seconds()*1e6/requests, "us/request", "-")
	}
	c.eventually(20*time.Second, "charges are stored", func() bool { return c.chargeCount() > 0 })
	objects, bytes, charges := c.chargeObjects()
	measured("charges.bytesStored", float64(bytes)/float64(charges), "B/charge", "-")
	measured("charges.perObject", float64(charges)/float64(objects), "charges/object", "-")
}

func (c *cluster) chargeCount() int {
	_, _, n := c.chargeObjects()
	return n
}

// chargeObjects returns the number of stored charge batches, their bytes and the number of their charges.
func (c *cluster) chargeObjects() (objects, bytes, charges int) {
	resp, err := c.client.Get(c.world.PlatformURL + "/v1/objects?prefix=charges/&limit=100000")
	require.NoError(c.t, err)
	defer resp.Body.Close()
	var page struct {
		Items []struct {
			Body []byte `json:"body"`
		} `json:"items"`
	}
	require.NoError(c.t, json.NewDecoder(resp.Body).Decode(&page))
	for _, o := range page.Items {
		bytes += len(o.Body)
	}
	return len(page.Items), bytes, len(c.charges().Charges)
}

// BenchmarkStreamMemory measures the memory of a daemon by the number of its open streams.
func BenchmarkStreamMemory(b *testing.B) {
	l := fastLayout(400)
	l.Engines[0].Spec.InterTokenLatency = 45 * time.Millisecond
	l.Engines[0].Spec.Slots = 1000
	c := startCluster(b, options{layout: l, locations: []location{pwaniA}, directPeers: true, defaultTiming: true})
	c.mustApplyTemplate("quotes", quotesTemplate(), 0)
	d := c.daemons[0]
	c.client.Transport = &http.Transport{MaxIdleConnsPerHost: 1000}
	var wg sync.WaitGroup
	var counts, memory []float64
	open := 0
	for _, n := range []int{50, 100, 200, 400} {
		for ; open < n; open++ {
			id := fmt.Sprintf("open-%d", open)
			wg.Go(func() { c.sendChat(d, id, true) })
			// The limit on attempts in flight at a server rises with its responses, so the streams are opened gradually.
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(time.Second)
		residentMB := d.residentBytes(b) / (1 << 20)
		inFlight := c.requestsInFlight(d)
		measured(fmt.Sprintf("streams.memory.open=%d", inFlight), residentMB, "MB", "256")
		counts, memory = append(counts, float64(inFlight)), append(memory, residentMB)
	}
	measureSlope("streams.memory", counts, memory, "MB")
	c.stop()
	wg.Wait()
}

func (c *cluster) requestsInFlight(d *daemonProcess) int {
	var out struct {
		Caller struct {
			InFlight int `json:"inFlight"`
		} `json:"caller"`
	}
	require.NoError(c.t, c.getJSON("http://"+d.operatorAddress+"/v1/dump", &out))
	return out.Caller.InFlight
}
