package standin3

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the addresses that the settings name; each daemon has an IP address of its own.
const (
	frontPort, readyPort, controlPort, directoryPort, metricsPort = 8428, 8423, 8425, 8422, 9464
	storePort, serverPort                                         = 8424, 8080
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// site is what the cases share: a store, servers and daemons.
type site struct {
	*record
	store    *store
	subnet   string
	dir      string
	daemons  []*daemon
	backends []*backend
	// bounds and limits are those of the settings.
	bounds, limits map[string]any
	zones          map[string]string
	trouble        bool
}

func newSite(rec *record, trouble bool) (*site, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	s := &site{record: rec, store: newStore(), dir: dir, trouble: trouble, bounds: hlcfBounds(), limits: hlcfLimits(), zones: map[string]string{
		"bagmati-thamel": "bagmati", "bagmati-patan": "bagmati", "gandaki-lakeside": "gandaki",
	}}
	s.subnet, err = freeSubnet()
	return s, err
}

// freeSubnet returns the first three bytes of loopback addresses on which nothing listens at the daemons' ports.
func freeSubnet() (string, error) {
	for i := range 200 {
		n := (os.Getpid() + i*17) % 32000
		subnet := fmt.Sprintf("127.%d.%d", 64+n/256, n%256)
		l, err := net.Listen("tcp4", fmt.Sprintf("%s.1:%d", subnet, frontPort))
		if err == nil {
			_ = l.Close()
			return subnet, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func hlcfBounds() map[string]any {
	return map[string]any{
		"seedLagS": 3, "addrReuseS": 2, "contactMs": 5000, "ackMs": 8000, "catchUpS": 6, "drainMs": 4000, "graceS": 8, "lossSlackMs": 200,
		"configApplyMs": 4000, "rollbackSlackMs": 250, "maxSkewMs": 8000, "strictRevoke": false, "revokeMs": 5000, "retryBudgetRatio": 0.9,
		"retryWindowS": 10, "budgetSlack": 210, "exposureShare": 0.12, "exposureSlack": 30, "rollbackMs": 5000, "coldOvershoot": 1.5,
		"coldSlack": 5, "evacuateMs": 5000, "recoveryS": 15, "passMs": 400, "retryAfterS": 10, "sessionTtlS": 6.5, "ttl_max_s": 5,
	}
}

func hlcfLimits() map[string]any {
	return map[string]any{"cpuShare": 0.8, "cores": 1, "memoryMb": 536, "maxFds": 8192, "linkMbps": 200.0, "diskMb": 0}
}

// daemon is one process of the deploy file.
type daemon struct {
	name, zone, ip, settings string
	site                     *site
	mu                       sync.Mutex
	cmd                      *exec.Cmd
	log                      *os.File
	exited                   chan struct{}
	storeListener            net.Listener
}

func (d *daemon) front() string { return fmt.Sprintf("%s:%d", d.ip, frontPort) }

// addDaemon writes the settings of a daemon; start starts it.
func (s *site) addDaemon(zone string) (*daemon, error) {
	n := len(s.daemons) + 1
	d := &daemon{name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: fmt.Sprintf("%s.%d", s.subnet, n), site: s}
	s.daemons = append(s.daemons, d)
	address := fmt.Sprintf("%s.%d:%d", s.subnet, 100+n, storePort)
	var err error
	d.storeListener, err = s.store.listen(d.name, address)
	d.settings = filepath.Join(s.dir, d.name+".json")
	return d, err
}

func (d *daemon) writeSettings() error {
	s := d.site
	at := func(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	seeds := []string{}
	for _, o := range s.daemons[:min(3, len(s.daemons))] {
		seeds = append(seeds, at(o.ip, controlPort))
	}
	data, err := json.MarshalIndent(map[string]any{
		"nodeName": d.name, "role": "entry", "machineClass": "front", "serves": []string{"front", "control", "directory"},
		"ip": d.ip, "zone": d.zone, "region": s.zones[d.zone], "zones": s.zones,
		"listen": map[string]any{
			"front": at(d.ip, frontPort), "ready": at(d.ip, readyPort), "control": at(d.ip, controlPort), "directory": at(d.ip, directoryPort),
		},
		"portRange": []int{7020, 7035}, "seeds": seeds, "bootstrap": true, "faultCounted": false, "limits": s.limits, "dataDir": nil,
		"discovery": "platform", "entry": "directory", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "engine", "stream", "tenants", "places", "pressure", "platform", "rollout"},
		"faultTolerance": map[string]any{"nodes": 2, "zones": 1, "regions": 0}, "bounds": s.bounds,
		"platform": map[string]any{
			"address": d.storeListener.Addr().String(), "form": "objects", "writesPerS": 1200, "readsPerS": 6000, "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(d.settings, data, 0o600)
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	if err := d.writeSettings(); err != nil {
		return err
	}
	var err error
	if d.log, err = os.OpenFile(filepath.Join(d.site.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	cmd := exec.Command("target/pollencourse", "entry")
	cmd.Env = []string{"POLLENCOURSE_CONFIG=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + d.site.dir, "LANG=C"}
	cmd.Stdout, cmd.Stderr = d.log, d.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited = cmd, exited
	d.mu.Unlock()
	d.site.printf("start %s zone=%s pid=%d", d.name, d.zone, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		d.site.printf("exit %s: %v", d.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process if it still runs.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running() {
		d.site.printf("signal %s to %s", sig, d.name)
		_ = d.cmd.Process.Signal(sig)
	}
}

func (d *daemon) running() bool {
	if d.cmd == nil {
		return false
	}
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	for _, d := range s.daemons {
		d.mu.Lock()
		if d.running() {
			_ = d.cmd.Process.Kill()
			<-d.exited
		}
		d.mu.Unlock()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept", s.dir)
	}
}

// addBackend adds and starts a server of a service.
func (s *site) addBackend(b *backend) error {
	b.store = s.store
	if b.address == "" {
		b.address = fmt.Sprintf("%s.%d:%d", s.subnet, 180+len(s.backends), serverPort)
	}
	if b.version == "" {
		b.version = "v1"
	}
	s.backends = append(s.backends, b)
	s.printf("server %s service=%s zone=%s version=%s address=%s", b.id, b.service, b.zone, b.version, b.address)
	return b.start()
}

// startAll starts the daemons and waits until all are ready.
func (s *site) startAll(ctx context.Context) error {
	for _, d := range s.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range s.daemons {
		if err := d.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *daemon) awaitReady(ctx context.Context) error {
	c := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		resp, err := c.Get(fmt.Sprintf("http://%s:%d/ready", d.ip, readyPort))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				d.site.printf("ready %s", d.name)
				return nil
			}
		}
	}
	return fmt.Errorf("%s did not become ready", d.name)
}

// route, service and tenant build a configuration.
func route(name, prefix, kind, svc string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "hostname": host, "pathPrefix": prefix, "type": kind, "timeoutMs": 6000, "targetLatencyMs": 400, "priority": 2,
		"service": svc, "maxAttempts": 2, "public": false, "sticky": false, "resumable": false, "allowedRegions": []string{},
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

const (
	host     = "ficu95.example"
	apiKey   = "yhks8nbkxxmibw6kpqk8"
	otherKey = "bdk9eevyxq2yyazax6pw"
)

func (s *site) configure(version int, routes ...map[string]any) {
	services, known := []any{}, map[string]bool{}
	for _, b := range s.backends {
		if !known[b.service] {
			known[b.service] = true
			services = append(services, map[string]any{
				"name": b.service, "healthPath": "/healthz", "maxConns": 770, "protocol": "h1", "tls": false, "warmupS": 0.0, "coldPerS": 0.0,
			})
		}
	}
	s.printf("configuration %d", version)
	s.store.put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{
			map[string]any{"name": "hule930", "apiKeys": []string{apiKey}, "priority": 1, "allowedRegions": []string{}},
			map[string]any{"name": "bosa112", "apiKeys": []string{otherKey}, "priority": 1, "allowedRegions": []string{}},
		},
	})
}

// send sends one request on a new connection and returns the status; 0 if the connection ended without an answer.
func send(ctx context.Context, d *daemon, method, path, id string, more map[string]string) (status int, body string) {
	ctx, cancel := context.WithTimeout(ctx, 7*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.front()+path, nil)
	if err != nil {
		return 0, ""
	}
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Request-Deadline", "6000")
	r.Header.Set("Api-Key", apiKey)
	for k, v := range more {
		r.Header.Set(k, v)
	}
	tr := &http.Transport{DisableKeepAlives: true}
	resp, err := tr.RoundTrip(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	var sb strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		sb.Write(buf[:n])
		if err != nil {
			return resp.StatusCode, strings.TrimSpace(sb.String())
		}
	}
}

// isRunning reports whether the process has not ended.
func (d *daemon) isRunning() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running()
}

// pause returns after d or when ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
