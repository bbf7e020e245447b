package main

import (
	"context"
	"os"
	"reflect"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/pollencourse/pollencourse/internal/app/daemon"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/settings"
	"github.com/pollencourse/pollencourse/internal/core/signals"
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
			return serve(commandContext(cmd), path)
		},
	}
	cmd.Flags().StringVarP(&path, "settings", "s", "pollencourse.ini", "INI file with the settings")
	return cmd
}

func serve(ctx context.Context, path string) error {
	ctx, reload := signals.Listen(ctx)
	cfg, err := settings.Load(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	ls, err := daemon.Listen(cfg)
	if err != nil {
		return err
	}
	log := event.New(os.Stderr, cfg.Log.Level, cfg.Log.Format, cfg.Daemon.ID)
	exiting := make(chan struct{})
	defer close(exiting)
	go signals.LogReloads(exiting, reload, func() (changed bool, err error) {
		reread, err := settings.Load(path)
		return err == nil && !reflect.DeepEqual(cfg, reread), err
	}, log)
	return daemon.New(cfg, ls, log).Run(ctx)
}
