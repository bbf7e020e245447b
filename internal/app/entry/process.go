package entry

import (
	"context"
	"io"
	"reflect"
	"runtime/debug"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/signals"
	"github.com/pollencourse/pollencourse/platform"
)

const (
	// memoryLimitShare is the share of the VM's memory that the Go runtime gets as its soft limit, near which it collects
	// garbage more often.
	memoryLimitShare = 0.6
	// maxLinesPerSecondPerEvent bounds the log lines of each kind of event. It is twice the requests per second that a VM
	// gets on a busy day.
	maxLinesPerSecondPerEvent = 100
)

// RunProcess runs the daemon of a settings file, and logs to w, until ctx, SIGTERM or SIGINT ends it and its requests in
// flight are finished.
func RunProcess(ctx context.Context, settingsPath string, w io.Writer) error {
	ctx, reload := signals.Listen(ctx)
	cfg, err := platform.LoadSettings(settingsPath)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(cfg.MemoryBytes)))
	log := event.NewBounded(w, cfg.ID, maxLinesPerSecondPerEvent)
	defer func() { _ = log.Close() }() // the loss of the last lines can't be logged any more
	d, err := New(cfg, log)
	if err != nil {
		return err
	}
	exiting := make(chan struct{})
	defer close(exiting)
	go signals.LogReloads(exiting, reload, func() (changed bool, err error) {
		reread, err := platform.LoadSettings(settingsPath)
		return err == nil && !reflect.DeepEqual(cfg, reread), err
	}, log)
	return d.Run(ctx)
}
