package cases

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds are the bounds of karamu-quotes.
var Bounds = map[string]any{
	"seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 8,
	"lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "maxSkewMs": 6000, "strictRevoke": false,
	"revokeMs": 5000, "retryBudgetRatio": 0.9, "retryWindowS": 10, "budgetSlack": 52, "exposureShare": 0.15,
	"exposureSlack": 30, "rollbackMs": 5000, "recoveryS": 12, "passMs": 400, "retryAfterS": 10, "sessionTtlS": 5, "ttl_max_s": 5,
}

// ContactTime and DrainTime are the bounds contactMs and drainMs.
const (
	ContactTime = 4 * time.Second
	DrainTime   = 3 * time.Second
)

// metricsPort is the port of the daemon's own metrics in deploy/system.toml, which is not drawn.
const metricsPort = 9464

// readyTimeout bounds the start of a daemon.
const readyTimeout = 15 * time.Second

// Daemon is one machine with the program of deploy/system.toml, which can be started again.
type Daemon struct {
	Name, Zone, IP                   string
	Caller, Ready, Peer, directoryAt string

	binary, settings, log string
	rec                   *Record

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	started time.Time
}

var zoneRegion = map[string]string{"pwani-a": "pwani", "kaskazini-a": "kaskazini", "pwani-b": "pwani"}

var zones = []string{"pwani-a", "kaskazini-a", "pwani-b"}

// NewDaemons prepares n daemons on loopback addresses of their own with settings files in dir.
func NewDaemons(n int, binary, dir, store string, rec *Record) ([]*Daemon, error) {
	var out []*Daemon
	for i := range n {
		ip, err := freeIP(i)
		if err != nil {
			return nil, err
		}
		zone := zones[i%len(zones)]
		out = append(out, &Daemon{
			Name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), Zone: zone, IP: ip, binary: binary, rec: rec,
			Caller: ip + ":8227", Ready: ip + ":8220", Peer: ip + ":8229", directoryAt: ip + ":8224",
		})
	}
	var seeds []string
	for _, d := range out[:min(3, n)] {
		seeds = append(seeds, d.Peer)
	}
	for _, d := range out {
		if err := d.writeSettings(dir, store, seeds); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// freeIP returns a loopback address on which the ports of a daemon are free.
func freeIP(i int) (string, error) {
	pid := os.Getpid()
	for try := range 50 {
		ip := fmt.Sprintf("127.%d.%d.%d", 60+(pid>>8+try)&63, pid&255, 10+i)
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, metricsPort))
		if err == nil {
			return ip, l.Close()
		}
	}
	return "", fmt.Errorf("no free loopback address for daemon %d", i)
}

func (d *Daemon) writeSettings(dir, store string, seeds []string) error {
	data, err := json.MarshalIndent(map[string]any{
		"nodeName": d.Name, "role": "entry", "machineClass": "front", "serves": []string{"front", "control", "directory"},
		"ip": d.IP, "zone": d.Zone, "region": zoneRegion[d.Zone], "zones": zoneRegion,
		"listen":    map[string]string{"front": d.Caller, "ready": d.Ready, "control": d.Peer, "directory": d.directoryAt},
		"portRange": []int{7340, 7355}, "seeds": seeds, "bootstrap": true, "faultCounted": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "rollout"},
		"faultTolerance": map[string]int{"nodes": 2, "zones": 0, "regions": 0}, "bounds": Bounds,
		"platform": map[string]any{
			"address": store, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	d.settings, d.log = filepath.Join(dir, d.Name+".json"), filepath.Join(dir, d.Name+".log")
	return os.WriteFile(d.settings, data, 0o600)
}

// stopping is set once the script ends its processes.
var stopping atomic.Bool

// endsWithScript makes a process end with the script, also if that is killed.
func endsWithScript() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }

// Start starts the process.
func (d *Daemon) Start() error {
	log, err := os.OpenFile(d.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	if stopping.Load() {
		return errors.New("the script is ending")
	}
	d.cmd = exec.Command(d.binary, "entry")
	d.cmd.SysProcAttr = endsWithScript()
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POLLENCOURSE_CONFIG=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.started, d.exited = time.Now(), make(chan struct{})
	d.rec.Add("daemon %s starts", d.Name)
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		d.rec.Add("daemon %s has ended: %s", d.Name, cmd.ProcessState)
		close(exited)
	}(d.cmd, d.exited)
	return nil
}

// Signal sends the process a signal.
func (d *Daemon) Signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		d.rec.Add("daemon %s gets signal %q", d.Name, sig)
		_ = d.cmd.Process.Signal(sig)
	}
}

// Kill kills the process and waits until it has ended.
func (d *Daemon) Kill() {
	d.mu.Lock()
	cmd, exited := d.cmd, d.exited
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-exited
}

// StartedAt returns when the process was started last.
func (d *Daemon) StartedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started
}

// Exited is closed once the process has ended.
func (d *Daemon) Exited() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exited
}

// AwaitReady waits until the daemon says that it is ready.
func (d *Daemon) AwaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + d.Ready + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			d.rec.Add("daemon %s is ready", d.Name)
			return nil
		}
	}
	return fmt.Errorf("daemon %s is not ready after %v", d.Name, timeout)
}
