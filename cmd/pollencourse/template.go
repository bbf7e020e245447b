package main

import (
	"io"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/pollencourse/pollencourse/internal/config/distribute"
	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/edge/operator"
)

func newTemplate(g *globalFlags) *cobra.Command {
	cmd := &cobra.Command{Use: "template", Short: "Read and edit templates"}
	cmd.AddCommand(newTemplateList(g), newTemplateGet(g), newTemplateApply(g), newTemplateHistory(g), newTemplateKeyHash(g))
	return cmd
}

func newTemplateList(g *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the templates in force", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var out []operator.TemplateInfo
			if err := g.call(http.MethodGet, "/v1/templates", nil, &out); err != nil {
				return err
			}
			return g.print(cmd, out, func(w io.Writer) { printTemplates(w, out) })
		},
	}
}

func printTemplates(w io.Writer, ts []operator.TemplateInfo) {
	printLine(w, "%-24s %10s %9s  %s", "TEMPLATE", "REVISION", "ACCOUNTS", "NOT IN FORCE ON")
	for _, t := range ts {
		printLine(w, "%-24s %10d %9d  %s", t.Name, t.Revision, t.Accounts, joinOr(t.Behind, "-"))
	}
}

func newTemplateGet(g *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use: "get NAME", Short: "Print a template in force, and its revision on standard error", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var out operator.TemplateText
			if err := g.call(http.MethodGet, "/v1/templates/"+url.PathEscape(args[0]), nil, &out); err != nil {
				return err
			}
			if g.output == "text" {
				printLine(cmd.ErrOrStderr(), "revision %d", out.Revision)
			}
			return g.print(cmd, out, func(w io.Writer) { _, _ = io.WriteString(w, out.Text) })
		},
	}
}

func newTemplateApply(g *globalFlags) *cobra.Command {
	var base int64
	var name string
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Check an edited template, store it and wait until every live daemon has it in force",
		Long: "Stores the template if its revision is still the one given by --base (0 for a new one), so that two operators\n" +
			"can't overwrite each other's edits, and waits until it is in force. Exit code 3 means that it is accepted, but\n" +
			"that the daemons named in the error did not report in time that they have it in force.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return fault.New(fault.NotFound, "give the path of a readable file", "template file can't be read").WithCause(err)
			}
			if name == "" {
				name = templateName(args[0])
			}
			return applyTemplate(g, cmd, name, text, base, wait)
		},
	}
	cmd.Flags().Int64Var(&base, "base", 0, "revision that was edited; 0 for a new template")
	cmd.Flags().StringVar(&name, "name", "", "name of the template; if empty, the file name without its extension")
	cmd.Flags().DurationVar(&wait, "wait", 10*time.Second, "how long to wait until every daemon has it in force")
	return cmd
}

func applyTemplate(g *globalFlags, cmd *cobra.Command, name string, text []byte, base int64, wait time.Duration) error {
	q := url.Values{"base": {strconv.FormatInt(base, 10)}, "wait": {wait.String()}, "by": {userName()}}
	var out operator.Applied
	if err := g.call(http.MethodPut, "/v1/templates/"+url.PathEscape(name)+"?"+q.Encode(), text, &out); err != nil {
		return err
	}
	err := g.print(cmd, out, func(w io.Writer) {
		printLine(w, "template %s revision %d accepted; in force everywhere after %d ms", out.Name, out.Revision, out.Milliseconds)
	})
	if err == nil && len(out.Behind) > 0 {
		return &exitError{exitNotInForceEverywhere, fault.New(fault.Unavailable, "check these daemons; they put it in force once they can be reached",
			"the template is accepted, but not yet in force on %s", strings.Join(out.Behind, ", "))}
	}
	return err
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func newTemplateHistory(g *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use: "history NAME", Short: "List the accepted revisions of a template", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var out []distribute.Edit
			if err := g.call(http.MethodGet, "/v1/templates/"+url.PathEscape(args[0])+"/history", nil, &out); err != nil {
				return err
			}
			return g.print(cmd, out, func(w io.Writer) {
				printLine(w, "%10s  %-20s  %s", "REVISION", "AT", "BY")
				for _, e := range out {
					printLine(w, "%10d  %-20s  %s", e.Revision, e.At.Format(time.RFC3339), e.By)
				}
			})
		},
	}
}

func newTemplateKeyHash(g *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use: "key-hash KEY", Short: "Print the hash of a caller's key, as templates hold it", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			out := struct {
				KeySha256 string `json:"keySha256"`
			}{template.HashKey(args[0])}
			return g.print(cmd, out, func(w io.Writer) { printLine(w, "%s", out.KeySha256) })
		},
	}
}
