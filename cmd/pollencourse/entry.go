package main

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"github.com/pollencourse/pollencourse/internal/app/entry"
	"github.com/pollencourse/pollencourse/platform"
)

func newEntry() *cobra.Command {
	return &cobra.Command{
		Use:   "entry",
		Short: "Run the daemon of an entry VM on the users' platform",
		Long: "Runs the daemon with the settings file that " + platform.SettingsVariable +
			" names. On SIGTERM or SIGINT it shuts down gracefully: it first finishes the requests in flight.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return entry.RunProcess(commandContext(cmd), os.Getenv(platform.SettingsVariable), os.Stdout)
		},
	}
}

// commandContext returns the command's context, which cobra leaves nil if none was given.
func commandContext(cmd *cobra.Command) context.Context {
	if ctx := cmd.Context(); ctx != nil {
		return ctx
	}
	return context.Background()
}
