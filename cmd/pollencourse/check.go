package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/core/settings"
	"github.com/pollencourse/pollencourse/platform"
)

// checked is the result for one file.
type checked struct {
	File   string   `json:"file"`
	Kind   string   `json:"kind"`
	Faults []string `json:"faults"`
}

func newCheck(g *globals) *cobra.Command {
	var kind string
	cmd := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings and templates without a daemon",
		Long: "Checks files and prints every fault with file:line:column and its remedy. The kind is told by the content: a file with [daemon] holds settings, " +
			"a JSON object those of the users' platform.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return check(g, cmd, kind, args)
		},
	}
	cmd.Flags().StringVar(&kind, "kind", "", "settings, platform or template; empty tells by the content")
	return cmd
}

func check(g *globals, cmd *cobra.Command, kind string, files []string) error {
	var out []checked
	faulty := 0
	for _, f := range files {
		c, err := checkFile(f, kind)
		if err != nil {
			return err
		}
		if len(c.Faults) > 0 {
			faulty++
		}
		out = append(out, c)
	}
	err := g.print(cmd, out, func(w io.Writer) {
		for _, c := range out {
			for _, f := range c.Faults {
				row(w, "%s", f)
			}
			if len(c.Faults) == 0 {
				row(w, "%s: %s is valid", c.File, c.Kind)
			}
		}
	})
	if err == nil && faulty > 0 {
		err = fault.New(fault.Invalid, "mend the lines named", "%d of %d files have faults", faulty, len(files))
	}
	return err
}

func checkFile(path, kind string) (checked, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return checked{}, fault.New(fault.NotFound, "name a readable file", "file can't be read").WithCause(err)
	}
	if kind == "" {
		kind = "template"
		switch text := strings.TrimSpace(string(data)); {
		case strings.HasPrefix(text, "{"):
			kind = "platform"
		case strings.Contains(text, "[daemon]"):
			kind = "settings"
		}
	}
	c := checked{File: path, Kind: kind, Faults: []string{}}
	switch kind {
	case "settings":
		_, err = settings.Parse(path, data)
	case "platform":
		_, err = platform.ParseSettings(path, data)
	default:
		_, err = template.Parse(path, 0, data)
	}
	if err != nil {
		c.Faults = strings.Split(fault.As(err).Message, "\n")
	}
	return c, nil
}

// templateName is the name of a template that a file holds.
func templateName(path string) string {
	base := filepath.Base(path)
	return strings.TrimSuffix(base, filepath.Ext(base))
}
