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

// checkResult lists the faults of one file.
type checkResult struct {
	File   string   `json:"file"`
	Kind   string   `json:"kind"`
	Faults []string `json:"faults"`
}

func newCheck(g *globalFlags) *cobra.Command {
	var kind string
	cmd := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings and template files without a daemon",
		Long: "Checks files and prints every fault with file:line:column and its remedy. Without --kind the content decides: a file with [daemon] holds settings, " +
			"a JSON object holds settings of the users' platform, and anything else is a template.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return checkFiles(g, cmd, kind, args)
		},
	}
	cmd.Flags().StringVar(&kind, "kind", "", "kind of the files: settings, platform or template; if empty, the content decides")
	return cmd
}

func checkFiles(g *globalFlags, cmd *cobra.Command, kind string, files []string) error {
	var out []checkResult
	faultyFiles := 0
	for _, f := range files {
		c, err := checkFile(f, kind)
		if err != nil {
			return err
		}
		if len(c.Faults) > 0 {
			faultyFiles++
		}
		out = append(out, c)
	}
	err := g.print(cmd, out, func(w io.Writer) {
		for _, c := range out {
			for _, f := range c.Faults {
				printLine(w, "%s", f)
			}
			if len(c.Faults) == 0 {
				printLine(w, "%s: %s is valid", c.File, c.Kind)
			}
		}
	})
	if err == nil && faultyFiles > 0 {
		err = fault.New(fault.Invalid, "correct the lines listed", "%d of %d files have faults", faultyFiles, len(files))
	}
	return err
}

func checkFile(path, kind string) (checkResult, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return checkResult{}, fault.New(fault.NotFound, "give the path of a readable file", "file can't be read").WithCause(err)
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
	c := checkResult{File: path, Kind: kind, Faults: []string{}}
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

// templateName returns the name of the template in a file: the file name without its extension.
func templateName(path string) string {
	base := filepath.Base(path)
	return strings.TrimSuffix(base, filepath.Ext(base))
}
