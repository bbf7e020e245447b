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

// memoryPart is the part of a VM's memory from which garbage is collected more often.
const memoryPart = 0.6

// linesPerSecond bounds the log lines of each kind of event: twice the requests that a VM takes on a busy day.
const linesPerSecond = 100

func newEntry() *cobra.Command {
	return &cobra.Command{
		Use:   "entry",
		Short: "Run the daemon of an entry VM on the users' platform",
		Long: "Runs the daemon with the settings file that " + platform.SettingsVariable +
			" names until SIGTERM or SIGINT, then shuts down without cutting a request.",
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
	debug.SetMemoryLimit(int64(memoryPart * float64(cfg.MemoryBytes)))
	log := event.NewBounded(os.Stdout, cfg.ID, linesPerSecond)
	defer func() { _ = log.Close() }() // nowhere is left to tell that the last lines are lost
	d, err := entry.New(cfg, log)
	if err != nil {
		return err
	}
	go reload(ctx, cfg, log)
	return d.Run(ctx)
}

// reload reads the settings again on SIGHUP; addresses and identity take a restart, so a change is only told.
func reload(ctx context.Context, cfg *settings.Entry, log *event.Log) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		now, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
		if err != nil {
			log.Emit(event.ReloadFailed, "error", err.Error())
			continue
		}
		log.Emit(event.Reloaded, "changed", !reflect.DeepEqual(cfg, now))
	}
}
