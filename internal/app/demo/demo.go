package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/external/store"
	"github.com/pollencourse/pollencourse/internal/fleet/charge"
	"github.com/pollencourse/pollencourse/internal/standin/world"
)

// Run starts the daemons, applies the template, sends all requests and returns the report. It writes progress lines.
func Run(ctx context.Context, opts Options, progress io.Writer) (Report, error) {
	w, err := world.Start(layout())
	if err != nil {
		return Report{}, err
	}
	defer w.Close()
	f, err := startFleet(ctx, w)
	if err != nil {
		return Report{}, err
	}
	applied, err := f.applyTemplate(ctx)
	if err == nil && len(applied.Behind) > 0 {
		err = fault.New(fault.Internal, "report this with the demo's output", "template is not in force on the daemons %v", applied.Behind)
	}
	if err != nil {
		f.close()
		return Report{}, err
	}
	_, _ = fmt.Fprintf(progress, "three daemons are serving; the template was in force on all of them after %d ms\n", applied.Milliseconds)
	l := newLoad(f, opts)
	l.run(ctx, progress)
	f.close()
	bill, err := charge.Read(ctx, store.New(w.PlatformURL, time.Second, 1000, event.Discard()))
	if err != nil {
		return Report{}, err
	}
	r := l.report(w, bill)
	r.InForceMs = applied.Milliseconds
	return r, nil
}
