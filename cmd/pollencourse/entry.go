package main

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/pollencourse/pollencourse/internal/app/entry"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/settings"
	"github.com/pollencourse/pollencourse/platform"
)

// memoryLimitShare is the share of the VM's memory that the Go runtime gets as its soft limit, near which it collects
// garbage more often.
const memoryLimitShare = 0.6

// maxLinesPerSecondPerEvent bounds the log lines of each kind of event. It is twice the requests per second that a VM gets
// on a busy day.
const maxLinesPerSecondPerEvent = 100

func newEntry() *cobra.Command {
	return &cobra.Command{
		Use:   "entry",
		Short: "Run the daemon of an entry VM on the users' platform",
		Long: "Runs the daemon with the settings file that " + platform.SettingsVariable +
			" names. On SIGTERM or SIGINT it shuts down gracefully: it first finishes the requests in flight.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runEntry(cmd.Context()) },
	}
}

func runEntry(ctx context.Context) error {
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(cfg.MemoryBytes)))
	log := event.NewBounded(os.Stdout, cfg.ID, maxLinesPerSecondPerEvent)
	defer func() { _ = log.Close() }() // the loss of the last lines can't be logged any more
	d, err := entry.New(cfg, log)
	if err != nil {
		return err
	}
	go logReloads(ctx, cfg, log)
	return d.Run(ctx)
}

// logReloads reads the settings again on each SIGHUP and logs whether they changed. It does not apply a change, since
// addresses and identity need a restart.
func logReloads(ctx context.Context, cfg *settings.Entry, log *event.Log) {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
		}
		reread, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
		if err != nil {
			log.Emit(event.ReloadFailed, "error", err.Error())
			continue
		}
		log.Emit(event.Reloaded, "changed", !reflect.DeepEqual(cfg, reread))
	}
}
