package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pollencourse/pollencourse/internal/core/event"
)

// Listen returns a context that ends on the first SIGTERM or SIGINT, and a channel that holds a value after a SIGHUP.
//
// The signals are never given back to their default action, which ends the process: a graceful shutdown still has
// requests in flight when further signals arrive. SIGPIPE is ignored, so that a log whose reader has gone is lost without
// the process. Call it before anything else.
func Listen(parent context.Context) (ctx context.Context, reload <-chan os.Signal) {
	stop, hangup := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(hangup, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	ctx, cancel := context.WithCancel(parent)
	go func() {
		defer cancel()
		select {
		case <-stop:
		case <-parent.Done():
		}
	}()
	return ctx, hangup
}

// LogReloads calls read on each SIGHUP, until exiting is closed, and logs whether the settings changed. It does not apply a
// change, since addresses and identity need a restart.
func LogReloads(exiting <-chan struct{}, reload <-chan os.Signal, read func() (changed bool, err error), log *event.Log) {
	for {
		select {
		case <-exiting:
			return
		case <-reload:
		}
		changed, err := read()
		if err != nil {
			log.Emit(event.ReloadFailed, "error", err.Error())
			continue
		}
		log.Emit(event.Reloaded, "changed", changed)
	}
}
