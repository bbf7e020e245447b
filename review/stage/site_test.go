package stage

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The figures of a machine and the bounds of the deployment karamu-quotes.
const (
	memoryMB  = 284
	maxFDs    = 4200
	graceS    = 8
	zone      = "pwani-a"
	region    = "pwani"
	hostName  = "quotes.example"
	ordinary  = "key-ordinary"
	readyWait = 20 * time.Second
)

// site is one run: the store, the daemons and the record.
type site struct {
	folder string
	// network is the beginning of the loopback addresses of this run.
	network string
	store   *store
	storeAt string
	daemons []*daemon

	// starts are carried out by one thread that lives as long as this process; see startProcesses.
	starts chan func()

	mu      sync.Mutex
	record  *os.File
	started time.Time
}

// daemon is one machine with a process of the system.
type daemon struct {
	name, ip string
	seeds    []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// peak is the highest resident memory seen, ends the number of processes that the platform killed for theirs. Only
	// policeMemory uses them while it runs.
	peak int64
	ends int
}

func newSite(recordPath string) (*site, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-stage-")
	if err != nil {
		return nil, err
	}
	s := &site{
		folder: folder, network: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)), record: record, started: time.Now(),
		starts: make(chan func()),
	}
	go s.startProcesses()
	s.store, s.storeAt, err = newStore(s.network + "1")
	return s, err
}

// startProcesses starts processes on a thread that does not end before this process: they get SIGKILL when their starting
// thread ends, so that none is left if this process is killed.
func (s *site) startProcesses() {
	runtime.LockOSThread()
	for start := range s.starts {
		start()
	}
}

// notef writes a line to the record.
func (s *site) notef(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// ip returns an address of this run.
func (s *site) ip(n int) string { return s.network + strconv.Itoa(n) }

// start starts n daemons and waits until they are ready.
func (s *site) start(n int) error {
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, s.ip(10+i)+":8229")
	}
	for i := range n {
		d := &daemon{name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: s.ip(10 + i), seeds: seeds}
		if err := s.startDaemon(d); err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
	}
	for _, d := range s.daemons {
		if !d.awaitReady() {
			return fmt.Errorf("%s is not ready", d.name)
		}
	}
	s.notef("%d daemons are ready", n)
	return nil
}

// startDaemon starts the process of a machine.
func (s *site) startDaemon(d *daemon) error {
	settings, err := json.Marshal(map[string]any{
		"nodeName": d.name, "role": "entry", "machineClass": "front", "serves": []string{"front", "control", "directory"}, "ip": d.ip,
		"zone": zone, "region": region, "zones": map[string]string{zone: region},
		"listen": map[string]string{"front": d.ip + ":8227", "ready": d.ip + ":8220", "control": d.ip + ":8229", "directory": d.ip + ":8224"},
		"seeds":  d.seeds, "bootstrap": true, "portRange": []int{7340, 7355}, "discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
		"limits": map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": memoryMB, "maxFds": maxFDs, "linkMbps": 1000.0},
		"bounds": map[string]any{
			"contactMs": 4000, "ackMs": 5000, "drainMs": 3000, "graceS": graceS, "configApplyMs": 3000, "retryBudgetRatio": 0.9,
			"retryWindowS": 10, "budgetSlack": 52, "exposureShare": 0.15, "exposureSlack": 30, "rollbackMs": 5000, "sessionTtlS": 5, "ttl_max_s": 5,
		},
		"platform": map[string]any{"address": s.storeAt, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1 << 20},
	})
	if err != nil {
		return err
	}
	path := filepath.Join(s.folder, d.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(s.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd, exited := exec.Command("target/pollencourse", "entry"), make(chan struct{}) // the command of deploy/system.toml
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "POLLENCOURSE_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	s.starts <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	_ = out.Close() // the process has its own descriptor
	go func() {
		_ = cmd.Wait() // a process that ends is seen by its channel
		close(exited)
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd, d.exited = cmd, exited
	return nil
}

// process returns the process of the machine and the channel that is closed once it has ended.
func (d *daemon) process() (*os.Process, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process, d.exited
}

func (d *daemon) awaitReady() bool {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyWait); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		resp, err := client.Get("http://" + d.ip + ":8220/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

func (d *daemon) running() bool {
	_, exited := d.process()
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// resident returns the resident memory of the process in bytes.
func (d *daemon) resident() int64 {
	p, _ := d.process()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.ParseInt(fields[0], 10, 64)
	return kb << 10
}

// restartDelay is the time after which the platform starts a process that has ended again.
const restartDelay = time.Second

// policeMemory does what the platform does: it kills a process that exceeds the memory of its machine and starts it again. It
// returns once stop is closed, or once enough is true.
func (s *site) policeMemory(stop <-chan struct{}, enough func() bool) {
	for tick := 1; !enough(); tick++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		for _, d := range s.daemons {
			if !d.running() {
				continue
			}
			rss := d.resident()
			d.peak = max(d.peak, rss)
			if tick%50 == 0 {
				s.notef("%s holds %d MiB", d.name, rss>>20)
			}
			if rss > memoryMB<<20 {
				d.ends++
				s.notef("%s holds %d MiB of %d: the platform kills it, for the %d. time", d.name, rss>>20, memoryMB, d.ends)
				s.restart(d)
			}
		}
	}
}

// restart kills the process of a machine and starts it again after restartDelay.
func (s *site) restart(d *daemon) {
	p, exited := d.process()
	_ = p.Kill() // fails only if it has ended
	<-exited
	time.Sleep(restartDelay)
	if err := s.startDaemon(d); err != nil {
		s.notef("%s does not start: %v", d.name, err)
	}
}

// stop ends all daemons and removes the temporary folder.
func (s *site) stop() {
	for _, d := range s.daemons {
		if d.running() {
			p, exited := d.process()
			_ = p.Signal(syscall.SIGKILL) // fails only if it has ended
			<-exited
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		s.notef("logs are kept")
	}
	_ = s.record.Close()
}

var errSetup = errors.New("the case could not run")
