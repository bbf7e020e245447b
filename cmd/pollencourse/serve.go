package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/pollencourse/pollencourse/internal/app/daemon"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/settings"
)

const (
	// gcPercent makes garbage collections rare, while memoryLimitBytes makes them frequent near that limit.
	gcPercent        = 800
	memoryLimitBytes = 224 << 20
)

func newServe() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run the daemon of an entry VM",
		Long:  "Runs the daemon; on the users' platform, use entry instead. On SIGTERM or SIGINT it shuts down gracefully: it first finishes the requests in flight.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), path)
		},
	}
	cmd.Flags().StringVarP(&path, "settings", "s", "pollencourse.ini", "INI file with the settings")
	return cmd
}

func serve(ctx context.Context, path string) error {
	cfg, err := settings.Load(path)
	if err != nil {
		return err
	}
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	ls, err := daemon.Listen(cfg)
	if err != nil {
		return err
	}
	log := event.New(os.Stderr, cfg.Log.Level, cfg.Log.Format, cfg.Daemon.ID)
	return daemon.New(cfg, ls, log).Run(ctx)
}
