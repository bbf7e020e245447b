package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/stretchr/testify/require"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/platform"
)

func TestMain(m *testing.M) {
	if path := os.Getenv(daemonSwitch); path != "" {
		os.Exit(runSoakDaemon(path))
	}
	os.Exit(m.Run())
}

// runSoakDaemon is what cmd/pollencourse does for the command entry.
func runSoakDaemon(path string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	signal.Ignore(syscall.SIGHUP)
	cfg, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	log := event.NewBounded(os.Stdout, cfg.ID, 100)
	defer func() { _ = log.Close() }()
	d, err := New(cfg, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// soakDaemon is one VM whose process comes and goes.
type soakDaemon struct {
	soak  *soak
	name  string
	host  string
	file  string
	store *toxiproxy.Proxy

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

func (d *soakDaemon) write(block int) {
	seeds := []string{fmt.Sprintf("127.0.%d.1:8003", block), fmt.Sprintf("127.0.%d.2:8003", block)}
	at := func(port int) string { return net.JoinHostPort(d.host, strconv.Itoa(port)) }
	zone := "a"
	if strings.HasSuffix(d.name, "2") || strings.HasSuffix(d.name, "3") {
		zone = "b"
	}
	data, err := json.Marshal(map[string]any{
		"nodeName": d.name, "ip": d.host, "zone": zone, "region": "r", "zones": map[string]string{"a": "r", "b": "r"}, "seeds": seeds,
		"listen":   map[string]string{"front": at(8001), "ready": at(8002), "control": at(8003), "directory": at(8004)},
		"limits":   map[string]any{"memoryMb": 284, "maxFds": 4200},
		"bounds":   map[string]any{"graceS": 8, "retryBudgetRatio": 0.9, "budgetSlack": 50, "retryWindowS": 10, "exposureShare": 0.15},
		"platform": map[string]string{"address": d.store.Listen},
	})
	require.NoError(d.soak.t, err)
	require.NoError(d.soak.t, os.WriteFile(d.file, data, 0o600))
}

func (d *soakDaemon) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd = exec.Command(os.Args[0])
	d.cmd.Env = append(os.Environ(), daemonSwitch+"="+d.file)
	d.cmd.Stdout, d.cmd.Stderr = d.soak.log, d.soak.log
	require.NoError(d.soak.t, d.cmd.Start())
	d.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait() // how it ended is judged by whoever stopped it
		close(ended)
	}(d.cmd, d.ended)
}

func (d *soakDaemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Signal(sig) // a process that has ended needs none
}

// stop ends the process by a signal and waits for it; it reports whether the grace was enough.
func (d *soakDaemon) stop(sig syscall.Signal) bool {
	d.signal(sig)
	select {
	case <-d.ended:
		return true
	case <-time.After(8 * time.Second):
		d.kill()
		return false
	}
}

func (d *soakDaemon) kill() {
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	<-d.ended
}
