package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"github.com/pollencourse/pollencourse/internal/app/daemon"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/edge/operator"
	"github.com/pollencourse/pollencourse/internal/fleet/intent"
)

func newStatus(g *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show the fleet as one daemon sees it", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var out operator.Status
			if err := g.call(http.MethodGet, "/v1/status", nil, &out); err != nil {
				return err
			}
			return g.print(cmd, out, func(w io.Writer) {
				printLine(w, "version %s, ready %t", out.Version, out.Ready)
				printTemplates(w, out.Templates)
				printLine(w, "%-24s %-12s %-16s %-22s %s", "DAEMON", "REGION", "ZONE", "CALLERS", "STATE")
				for _, m := range out.Daemons {
					printLine(w, "%-24s %-12s %-16s %-22s %s", m.ID, m.Region, m.AvailabilityZone, m.CallerAddress, stateOf(m.Suspected, m.Leaving, m.Ready))
				}
			})
		},
	}
}

func stateOf(suspected, leaving, ready bool) string {
	switch {
	case suspected:
		return "suspected"
	case leaving:
		return "leaving"
	case !ready:
		return "not ready"
	default:
		return "ready"
	}
}

func newDump(g *globalFlags) *cobra.Command {
	var service string
	cmd := &cobra.Command{
		Use: "dump", Short: "Dump the state of every internal service of a daemon as JSON", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var out map[string]json.RawMessage
			if err := g.call(http.MethodGet, "/v1/dump", nil, &out); err != nil {
				return err
			}
			if service != "" {
				one, ok := out[service]
				if !ok {
					return fault.New(fault.NotFound, "leave out --service to see the names of all internal services", "the daemon has no internal service %q", service)
				}
				out = map[string]json.RawMessage{service: one}
			}
			enc := json.NewEncoder(cmd.OutOrStdout())
			enc.SetIndent("", "  ")
			return enc.Encode(out)
		},
	}
	cmd.Flags().StringVar(&service, "service", "", "show only the internal service of this name")
	return cmd
}

func newCharges(g *globalFlags) *cobra.Command {
	var account string
	cmd := &cobra.Command{
		Use: "charges", Short: "List the charges in the store, one per request", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var out operator.Charges
			if err := g.call(http.MethodGet, "/v1/charges?account="+url.QueryEscape(account), nil, &out); err != nil {
				return err
			}
			return g.print(cmd, out, func(w io.Writer) {
				printLine(w, "%-20s %-38s %-20s %12s  %s", "ACCOUNT", "REQUEST", "VERSION", "MICRO-UNITS", "OUTCOME")
				for _, c := range out.Charges {
					printLine(w, "%-20s %-38s %-20s %12d  %s", c.Account, c.RequestID, c.Version, c.MicroUnits, c.Outcome)
				}
			})
		},
	}
	cmd.Flags().StringVar(&account, "account", "", "list only the charges of this client account")
	return cmd
}

func newIntents(g *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use: "intents", Short: "List non-idempotent requests whose outcome is not settled", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var out []intent.Record
			if err := g.call(http.MethodGet, "/v1/intents", nil, &out); err != nil {
				return err
			}
			return g.print(cmd, out, func(w io.Writer) {
				printLine(w, "%-20s %-38s %-16s %s", "ACCOUNT", "REQUEST", "DAEMON", "SINCE")
				for _, r := range out {
					printLine(w, "%-20s %-38s %-16s %s", r.Account, r.RequestID, r.Daemon, r.At.Format(time.RFC3339))
				}
			})
		},
	}
}

func newVersion(g *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := struct {
				Version string `json:"version"`
			}{daemon.Version}
			return g.print(cmd, out, func(w io.Writer) { printLine(w, "pollencourse %s", out.Version) })
		},
	}
}
