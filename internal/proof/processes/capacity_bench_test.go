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

// The letter's fleet has 13 availability zones of 38 or 39 daemons. A daemon's links are those
// within its zone and, for the first ones, to the other zones, so that one zone of 39 and 13
// zones of few daemons measure both at their full size.
var (
	zoneSizes  = []int{3, 7, 15, 39}
	zoneCounts = []int{2, 4, 8, 13}
)

// daemonsPerZone is the size of each zone when their number varies.
const daemonsPerZone = 2

// quietTime is how long a fleet without requests is watched.
const quietTime = 10 * time.Second

// controlCost is what one daemon spends on control, on average over a fleet.
type controlCost struct {
	bytesPerSecond   float64
	callsPerSecond   float64
	coreShare        float64
	storeCalls       float64
	watches          float64
	residentBytes    float64
	heaviestBytesOut float64
}

type peerDump struct {
	Peers struct {
		BytesIn  int64 `json:"bytesIn"`
		BytesOut int64 `json:"bytesOut"`
		Calls    int64 `json:"calls"`
	} `json:"peers"`
}

func (c *cluster) peerDump(d *daemonProc) peerDump {
	var out peerDump
	require.NoError(c.t, c.getJSON("http://"+d.operator+"/v1/dump", &out))
	return out
}

// capacityPlaces has zones of a size, in 4 regions.
func capacityPlaces(zones, perZone int) []place {
	var out []place
	for zone := range zones {
		for range perZone {
			out = append(out, place{fmt.Sprintf("region-%d", zone%4), fmt.Sprintf("zone-%d", zone)})
		}
	}
	return out
}

// observe watches a quiet fleet.
func (c *cluster) observe() controlCost {
	type reading struct {
		peers peerDump
		cpu   time.Duration
	}
	read := func() []reading {
		var out []reading
		for _, d := range c.daemons {
			out = append(out, reading{c.peerDump(d), d.cpu(c.t)})
		}
		return out
	}
	callsBefore, _ := c.storeCounts()
	before, began := read(), time.Now()
	time.Sleep(quietTime)
	after, took := read(), time.Since(began).Seconds()
	callsAfter, watches := c.storeCounts()
	var cost controlCost
	n := float64(len(c.daemons))
	for i := range before {
		sent := float64(after[i].peers.Peers.BytesOut-before[i].peers.Peers.BytesOut) / took
		cost.bytesPerSecond += sent / n
		cost.heaviestBytesOut = max(cost.heaviestBytesOut, sent)
		cost.callsPerSecond += float64(after[i].peers.Peers.Calls-before[i].peers.Peers.Calls) / took / n
		cost.coreShare += (after[i].cpu - before[i].cpu).Seconds() / took / n
		cost.residentBytes += c.daemons[i].resident(c.t) / n
	}
	cost.storeCalls = float64(callsAfter-callsBefore) / took
	cost.watches = float64(watches)
	return cost
}

func (c *cluster) storeCounts() (calls int64, watches int) {
	var out struct {
		Calls   int64 `json:"calls"`
		Watches int   `json:"watches"`
	}
	require.NoError(c.t, c.getJSON(c.world.PlatformURL+"/control/store", &out))
	return out.Calls, out.Watches
}

// resident returns the bytes of memory that a daemon has resident.
func (d *daemonProc) resident(tb testing.TB) float64 {
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

// BenchmarkFleetSize measures control at several sizes of a zone and numbers of zones, with light traffic.
func BenchmarkFleetSize(b *testing.B) {
	var size, number series
	for _, n := range zoneSizes {
		size.add(float64(n), observeFleet(b, fmt.Sprintf("zoneSize=%d", n), capacityPlaces(1, n)))
	}
	size.slopes("zoneSize")
	for _, n := range zoneCounts {
		number.add(float64(n), observeFleet(b, fmt.Sprintf("zones=%d", n), capacityPlaces(n, daemonsPerZone)))
	}
	number.slopes("zones")
}

// series is the cost at several sizes.
type series struct {
	x     []float64
	costs []controlCost
}

func (s *series) add(x float64, c controlCost) {
	s.x = append(s.x, x)
	s.costs = append(s.costs, c)
}

func (s *series) slopes(of string) {
	column := func(f func(controlCost) float64) []float64 {
		var out []float64
		for _, c := range s.costs {
			out = append(out, f(c))
		}
		return out
	}
	slope(of+".bytes", s.x, column(func(c controlCost) float64 { return c.bytesPerSecond }), "B/s")
	slope(of+".bytesHeaviest", s.x, column(func(c controlCost) float64 { return c.heaviestBytesOut }), "B/s")
	slope(of+".core", s.x, column(func(c controlCost) float64 { return 100 * c.coreShare }), "%")
	slope(of+".memory", s.x, column(func(c controlCost) float64 { return c.residentBytes / (1 << 20) }), "MB")
	slope(of+".storeCalls", s.x, column(func(c controlCost) float64 { return c.storeCalls }), "calls/s")
}

// observeFleet starts a fleet, watches it under light traffic and during edits, and ends it.
func observeFleet(b *testing.B, at string, places []place) controlCost {
	c := start(b, options{layout: fastLayout(5), places: places, direct: true, production: true})
	defer c.stop()
	applied := c.mustPut("quotes", bothServing(), 0)
	stop := make(chan struct{})
	done := c.trickle(stop)
	cost := c.observe()
	close(stop)
	<-done
	measured("control.bytes."+at, cost.bytesPerSecond, "B/s/daemon", "13000")
	measured("control.bytesHeaviest."+at, cost.heaviestBytesOut, "B/s", "13000")
	measured("control.calls."+at, cost.callsPerSecond, "calls/s/daemon", "-")
	measured("control.core."+at, 100*cost.coreShare, "%", "1.3")
	measured("control.memory."+at, cost.residentBytes/(1<<20), "MB", "256")
	measured("control.storeCalls."+at, cost.storeCalls, "calls/s", "2000")
	measured("control.watches."+at, cost.watches, "watches", "-")
	perEdit, inForce := c.editCost(applied.Revision)
	measured("control.editBytes."+at, perEdit, "B/edit/daemon", "-")
	measured("control.inForce."+at, inForce, "ms", "16000")
	return cost
}

// trickleInterval is how often each daemon gets a request, so that counts change and are published.
const trickleInterval = time.Second

// trickle sends each daemon a request now and then until stop is closed.
func (c *cluster) trickle(stop <-chan struct{}) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(trickleInterval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			for n, d := range c.daemons {
				c.ask(d, fmt.Sprintf("trickle-%d-%d", i, n), false)
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

// slope prints the line through the measured points.
func slope(name string, x, y []float64, unit string) {
	at0, each := stat.LinearRegression(x, y, nil, false)
	measured(name+".slope", each, unit+"/step", "-")
	measured(name+".base", at0, unit, "-")
}

// editCost applies edits to a template of a customary size and returns the bytes each daemon sends for one.
func (c *cluster) editCost(base int64) (bytesPerEdit, inForceMs float64) {
	const edits = 20
	before := make([]int64, len(c.daemons))
	for i, d := range c.daemons {
		before[i] = c.peerDump(d).Peers.BytesOut
	}
	worst := int64(0)
	for i := range edits {
		out := c.mustPut("quotes", edit(i), base)
		base = out.Revision
		worst = max(worst, out.Milliseconds)
	}
	total := 0.0
	for i, d := range c.daemons {
		total += float64(c.peerDump(d).Peers.BytesOut - before[i])
	}
	return total / edits / float64(len(c.daemons)), float64(worst)
}

// BenchmarkVMs measures what the list of backend servers costs a daemon, at several lengths.
func BenchmarkVMs(b *testing.B) {
	c := start(b, options{layout: world.Layout{}, places: []place{pwaniA, pwaniB}, direct: true, production: true})
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
			records, bytes = c.tableSize(c.daemons[1])
			return records >= size+4
		})
		at := fmt.Sprintf("servers=%d", size)
		measured("vms.tableBytes."+at, float64(bytes), "B", "-")
		measured("vms.memory."+at, c.daemons[1].resident(b)/(1<<20), "MB", "256")
		sizes, tableBytes = append(sizes, float64(size)), append(tableBytes, float64(bytes))
		memory = append(memory, c.daemons[1].resident(b)/(1<<20))
	}
	slope("vms.tableBytes", sizes, tableBytes, "B")
	slope("vms.memory", sizes, memory, "MB")
}

func (c *cluster) tableSize(d *daemonProc) (records, bytes int) {
	var out struct {
		Relay struct {
			Tables map[string]struct {
				Records int `json:"records"`
				Bytes   int `json:"bytes"`
			} `json:"tables"`
		} `json:"relay"`
	}
	require.NoError(c.t, c.getJSON("http://"+d.operator+"/v1/dump", &out))
	t := out.Relay.Tables["fleet"]
	return t.Records, t.Bytes
}

// BenchmarkRequestState measures what requests cost beyond control: bytes to the stand-by and charges stored.
func BenchmarkRequestState(b *testing.B) {
	c := start(b, options{layout: fastLayout(20), places: []place{pwaniA, pwaniB}, direct: true, production: true})
	c.mustPut("quotes", quotesTemplate(), 0)
	drive(c.daemons[0].caller, false)
	for _, conns := range []int{1, 2, 4, 8} {
		d := c.daemons[0]
		before, cpu := c.peerDump(d), d.cpu(b)
		r := driveWith(d.caller, false, conns)
		after, used := c.peerDump(d), d.cpu(b)-cpu
		requests := r.perSecond * pathRound.Seconds()
		at := fmt.Sprintf("connections=%d", conns)
		measured("requests.perSecond."+at, r.perSecond, "requests/s", "-")
		measured("requests.holdBytes."+at, float64(after.Peers.BytesOut-before.Peers.BytesOut)/requests, "B/request", "-")
		measured("requests.cpu."+at, used.Seconds()*1e6/requests, "us/request", "-")
	}
	c.eventually(20*time.Second, "charges are stored", func() bool { return c.storedCharges() > 0 })
	objects, bytes, charges := c.chargeObjects()
	measured("charges.bytesStored", float64(bytes)/float64(charges), "B/charge", "-")
	measured("charges.perObject", float64(charges)/float64(objects), "charges/object", "-")
}

func (c *cluster) storedCharges() int {
	_, _, n := c.chargeObjects()
	return n
}

// chargeObjects counts the stored batches, their bytes and their charges.
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

// BenchmarkStreamMemory measures the memory of open streams.
func BenchmarkStreamMemory(b *testing.B) {
	l := fastLayout(400)
	l.Engines[0].Spec.InterTokenLatency = 45 * time.Millisecond
	l.Engines[0].Spec.Slots = 1000
	c := start(b, options{layout: l, places: []place{pwaniA}, direct: true, production: true})
	c.mustPut("quotes", quotesTemplate(), 0)
	d := c.daemons[0]
	c.client.Transport = &http.Transport{MaxIdleConnsPerHost: 1000}
	var wg sync.WaitGroup
	var counts, memory []float64
	open := 0
	for _, n := range []int{50, 100, 200, 400} {
		for ; open < n; open++ {
			id := fmt.Sprintf("open-%d", open)
			wg.Go(func() { c.ask(d, id, true) })
			// Limits of servers grow with answers, so that streams are opened gradually.
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(time.Second)
		held := d.resident(b) / (1 << 20)
		inFlight := c.inFlight(d)
		measured(fmt.Sprintf("streams.memory.open=%d", inFlight), held, "MB", "256")
		counts, memory = append(counts, float64(inFlight)), append(memory, held)
	}
	slope("streams.memory", counts, memory, "MB")
	c.stop()
	wg.Wait()
}

func (c *cluster) inFlight(d *daemonProc) int {
	var out struct {
		Caller struct {
			InFlight int `json:"inFlight"`
		} `json:"caller"`
	}
	require.NoError(c.t, c.getJSON("http://"+d.operator+"/v1/dump", &out))
	return out.Caller.InFlight
}
