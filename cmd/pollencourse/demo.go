package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"

	"github.com/spf13/cobra"

	"github.com/pollencourse/pollencourse/internal/app/demo"
	"github.com/pollencourse/pollencourse/internal/core/fault"
)

func newDemo(g *globalFlags) *cobra.Command {
	opts := demo.DefaultOptions()
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run three daemons and stand-ins in this process and serve real requests",
		Long:  "Serves requests over real sockets through three daemons, with stand-ins for the platform and the backend servers.\nExit code 1 means that one of the checks failed.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
			defer stop()
			report, err := demo.Run(ctx, opts, cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			if g.output == "json" {
				err = json.NewEncoder(cmd.OutOrStdout()).Encode(report)
			} else {
				report.Print(cmd.OutOrStdout())
			}
			if err == nil && report.Broken() {
				err = fault.New(fault.Internal, "report this with the output of the demo", "a check of the demo failed")
			}
			return err
		},
	}
	cmd.Flags().IntVar(&opts.Requests, "requests", opts.Requests, "number of model requests")
	cmd.Flags().IntVar(&opts.Bookings, "bookings", opts.Bookings, "number of bookings")
	cmd.Flags().IntVar(&opts.Concurrency, "concurrency", opts.Concurrency, "number of requests in flight at a time")
	return cmd
}
