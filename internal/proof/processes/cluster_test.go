package processes

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/edge/operator"
	"github.com/pollencourse/pollencourse/internal/external/vmlist"
	"github.com/pollencourse/pollencourse/internal/standin/world"
)

// place is where a daemon stands.
type place struct{ region, zone string }

var (
	pwaniA     = place{"pwani", "pwani-a"}
	pwaniB     = place{"pwani", "pwani-b"}
	kaskaziniA = place{"kaskazini", "kaskazini-a"}
)

// regionDelay is the one-way time between regions.
const regionDelay = 30 * time.Millisecond

// daemonProc is one daemon process.
type daemonProc struct {
	id       string
	place    place
	ip       string
	caller   string
	peer     string
	operator string
	settings string
	logPath  string
	store    *toxiproxy.Proxy
	cmd      *exec.Cmd
	exited   chan struct{}
}

// cluster is a set of processes under test.
type cluster struct {
	t        testing.TB
	dir      string
	world    world.Environment
	links    *links
	daemons  []*daemonProc
	client   *http.Client
	extra    string
	platform string
	direct   bool
	toxi     *toxiproxy.ApiServer
}

// options says what to start.
type options struct {
	layout world.Layout
	places []place
	// extra is put into each settings file's [fleet] section.
	extra string
	// platform is put into each settings file's [platform] section.
	platform string
	// direct connects daemons without the fault proxy between them, for measurements.
	direct bool
	// production leaves the timing at the defaults of the product.
	production bool
}

// Timing of tests, shorter than the product's defaults.
const (
	testPlatform = "vmListInterval = 200ms\nstoreTimeout = 1s\nstoreCallRate = 200\n"
	testFleet    = "heartbeatInterval = 200ms\nsuspectAfter = 1s\nentriesLifetime = 500ms\nchargeFlush = 200ms\n"
)

var nextIP = 10

func start(t testing.TB, o options) *cluster {
	t.Helper()
	if !o.production {
		o.platform = testPlatform + o.platform
		o.extra = testFleet + o.extra
	}
	c := &cluster{t: t, dir: t.TempDir(), extra: o.extra, platform: o.platform, direct: o.direct, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 60 * time.Second,
	}}
	c.links = newLinks()
	c.toxi = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	c.startStandins(o.layout)
	for _, p := range o.places {
		d := c.newDaemon(p)
		c.launch(d)
	}
	t.Cleanup(c.stop)
	c.eventually(20*time.Second, "all daemons know each other", func() bool {
		for _, d := range c.daemons {
			if len(c.status(d).Daemons) != len(c.daemons) {
				return false
			}
		}
		return true
	})
	return c
}

func (c *cluster) startStandins(layout world.Layout) {
	cmd := exec.Command(binaries.standins)
	in, err := cmd.StdinPipe()
	require.NoError(c.t, err)
	out, err := cmd.StdoutPipe()
	require.NoError(c.t, err)
	cmd.Stderr = os.Stderr
	require.NoError(c.t, cmd.Start())
	c.t.Cleanup(func() { _ = in.Close(); _ = cmd.Wait() })
	require.NoError(c.t, json.NewEncoder(in).Encode(layout))
	require.NoError(c.t, json.NewDecoder(bufio.NewReader(out)).Decode(&c.world))
}

func freeAddress(t testing.TB, ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// newDaemon writes the settings of a further daemon, with proxies before its peers and its store.
func (c *cluster) newDaemon(p place) *daemonProc {
	nextIP++
	ip := fmt.Sprintf("127.1.%d.%d", nextIP/250, nextIP%250+1)
	d := &daemonProc{id: fmt.Sprintf("entry-%d", len(c.daemons)+1), place: p, ip: ip}
	// Each daemon has an IP number of its own, so that fixed ports never clash.
	d.caller, d.peer, d.operator = ip+":8080", ip+":7080", ip+":9080"
	d.logPath = filepath.Join(c.dir, d.id+".log")
	d.settings = filepath.Join(c.dir, d.id+".ini")
	d.store = toxiproxy.NewProxy(c.toxi, "store-"+d.id, "127.0.0.1:0", strings.TrimPrefix(c.world.PlatformURL, "http://"))
	require.NoError(c.t, d.store.Start())
	c.t.Cleanup(d.store.Stop)
	advertised := d.peer
	if !c.direct {
		advertised = c.links.front(c.t, d.id, p.region, ip, d.peer)
	}
	text := fmt.Sprintf(`[daemon]
id = %s
region = %s
availabilityZone = %s
callerAddress = %s
peerAddress = %s
peerAdvertised = %s
operatorAddress = %s
[platform]
store = http://%s
vmList = %[9]s/v1/vms
rater = %[9]s/v1/ratings
%[11]s[session]
keys = proof-session-key-1
[limits]
streamStall = 1s
[fleet]
%[10]s
`, d.id, p.region, p.zone, d.caller, d.peer, advertised, d.operator, d.store.Listen, c.world.PlatformURL, c.extra, c.platform)
	require.NoError(c.t, os.WriteFile(d.settings, []byte(text), 0o600))
	c.setVM(vmlist.VM{ID: d.id, Kind: vmlist.Entry, Region: p.region, AvailabilityZone: p.zone, Address: d.caller, PeerAddress: advertised})
	c.daemons = append(c.daemons, d)
	return d
}

// launch starts the daemon's process.
func (c *cluster) launch(d *daemonProc) {
	log, err := os.OpenFile(d.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(c.t, err)
	defer log.Close()
	cmd := exec.Command(binaries.daemon, "serve", "--settings", d.settings)
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(c.t, cmd.Start())
	d.cmd, d.exited = cmd, make(chan struct{})
	exited := d.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

func (d *daemonProc) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// kill ends the process at once.
func (c *cluster) kill(d *daemonProc) {
	d.signal(syscall.SIGKILL)
	<-d.exited
}

// terminate shuts the process down and waits for it.
func (c *cluster) terminate(d *daemonProc, bound time.Duration) {
	d.signal(syscall.SIGTERM)
	select {
	case <-d.exited:
	case <-time.After(bound):
		require.Fail(c.t, "daemon did not finish", "%s within %s", d.id, bound)
	}
}

func (c *cluster) stop() {
	for _, d := range c.daemons {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		<-d.exited
	}
	c.checkForRaces()
	if c.t.Failed() {
		for _, d := range c.daemons {
			log, _ := os.ReadFile(d.logPath)
			c.t.Logf("%s: %s", d.id, tail(string(log), 25))
		}
	}
}

// checkForRaces looks for reports of the race detector in the daemons' logs.
func (c *cluster) checkForRaces() {
	for _, d := range c.daemons {
		log, _ := os.ReadFile(d.logPath)
		if i := strings.Index(string(log), "WARNING: DATA RACE"); i >= 0 {
			c.t.Errorf("%s: %.3000s", d.id, log[i:])
		}
	}
}

func tail(s string, n int) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// eventually waits for a condition within a bound that comes from a target.
func (c *cluster) eventually(bound time.Duration, what string, cond func() bool) time.Duration {
	c.t.Helper()
	began := time.Now()
	for !cond() {
		if time.Since(began) > bound {
			require.Fail(c.t, "condition not met in time", "%s within %s", what, bound)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

func (c *cluster) getJSON(url string, out any) error {
	resp, err := c.client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("%s: %s", resp.Status, body)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

func (c *cluster) status(d *daemonProc) operator.Status {
	var s operator.Status
	_ = c.getJSON("http://"+d.operator+"/v1/status", &s)
	return s
}

// revision is the revision of a template in force on a daemon, or 0.
func (c *cluster) revision(d *daemonProc, name string) int64 {
	for _, t := range c.status(d).Templates {
		if t.Name == name {
			return t.Revision
		}
	}
	return 0
}

// control sends a switch to a stand-in.
func (c *cluster) control(base, path string, v any) {
	body, err := json.Marshal(v)
	require.NoError(c.t, err)
	resp, err := c.client.Post(base+path, "application/json", bytes.NewReader(body))
	require.NoError(c.t, err)
	defer resp.Body.Close()
	require.Equal(c.t, http.StatusOK, resp.StatusCode)
}

func (c *cluster) setVM(vm vmlist.VM) { c.control(c.world.PlatformURL, "/control/vms", vm) }

func (c *cluster) vm(id string) vmlist.VM {
	for _, vm := range c.world.VMs {
		if vm.ID == id {
			return vm
		}
	}
	c.t.Fatalf("no VM %s", id)
	return vmlist.VM{}
}

// put applies a template through a daemon and returns the status code.
func (c *cluster) put(d *daemonProc, name string, text []byte, base int64, wait time.Duration) (operator.Applied, int) {
	url := fmt.Sprintf("http://%s/v1/templates/%s?base=%d&wait=%s&by=test", d.operator, name, base, wait)
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(text))
	require.NoError(c.t, err)
	resp, err := c.client.Do(req)
	require.NoError(c.t, err)
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	var out operator.Applied
	if resp.StatusCode == http.StatusOK {
		require.NoError(c.t, json.Unmarshal(body, &out))
	} else {
		c.t.Logf("apply at %s: %s %s", d.id, resp.Status, body)
	}
	return out, resp.StatusCode
}

// mustPut applies a template and requires that it is in force everywhere.
func (c *cluster) mustPut(name string, text []byte, base int64) operator.Applied {
	c.t.Helper()
	out, code := c.put(c.daemons[0], name, text, base, 10*time.Second)
	require.Equal(c.t, http.StatusOK, code)
	require.Empty(c.t, out.Behind)
	return out
}

const testKey = "test-key"

// quotesTemplate is the template that most tests use; replacements edit it.
func quotesTemplate(replacements ...string) []byte {
	text := `[account karamu]
keySha256 = ` + template.HashKey(testKey) + `
[version small@1]
state = serving
promptCost = 1
completionCost = 4
priorQuality = 0.95
[class default]
qualityTarget = 0.8
deadline = 10s
rateShare = 0
[service bookings]
idempotent = false
deadline = 8s
cost = 100
[service prices]
idempotent = true
deadline = 5s
cost = 1
`
	return []byte(strings.NewReplacer(replacements...).Replace(text))
}
