package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// globalFlags are the flags that all commands of operators share.
type globalFlags struct {
	output  string
	address string
	key     string
	timeout time.Duration
}

func (g *globalFlags) register(root *cobra.Command) {
	f := root.PersistentFlags()
	f.StringVarP(&g.output, "output", "o", "text", "output format: text or json")
	f.StringVarP(&g.address, "address", "a", "127.0.0.1:9080", "operator address of any daemon, as host:port")
	f.StringVar(&g.key, "operator-key", os.Getenv("POLLENCOURSE_OPERATOR_KEY"), "operator key from the settings of the daemon")
	f.DurationVar(&g.timeout, "timeout", time.Minute, "how long to wait for the response of the daemon")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"text", "json"}, cobra.ShellCompDirectiveNoFileComp))
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if g.output != "text" && g.output != "json" {
			return &exitError{exitUsage, fault.New(fault.BadRequest, "use text or json", "--output %q is not supported", g.output)}
		}
		return nil
	}
}

// call sends a request to the daemon and decodes the response into out.
func (g *globalFlags) call(method, path string, body []byte, out any) error {
	req, err := http.NewRequest(method, "http://"+g.address+path, bytes.NewReader(body))
	if err != nil {
		return fault.New(fault.BadRequest, "give host:port in --address", "--address %q is not a valid address", g.address).WithCause(err)
	}
	if g.key != "" {
		req.Header.Set("Authorization", "Bearer "+g.key)
	}
	client := &http.Client{Timeout: g.timeout}
	resp, err := client.Do(req)
	if err != nil {
		return fault.New(fault.Unavailable, "check that the daemon runs and that --address is its operator address", "no response from the daemon").WithCause(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fault.New(fault.Unavailable, "run the command again", "the response of the daemon was truncated").WithCause(err)
	}
	if resp.StatusCode != http.StatusOK {
		return remoteError(resp.Status, data)
	}
	return json.Unmarshal(data, out)
}

// remoteError decodes the error in a response of the daemon.
func remoteError(status string, data []byte) error {
	var in struct {
		Kind    fault.Kind    `json:"kind"`
		Message string        `json:"message"`
		Remedy  string        `json:"remedy"`
		Outcome fault.Outcome `json:"outcome"`
	}
	if json.Unmarshal(data, &in) != nil || in.Kind == "" {
		return fault.New(fault.Internal, "check that --address is the operator address of a daemon", "unexpected response from the daemon: %s", status)
	}
	return fault.New(in.Kind, in.Remedy, "%s", in.Message).WithOutcome(in.Outcome)
}

// print writes v as JSON or calls text to write it, as --output says.
func (g *globalFlags) print(cmd *cobra.Command, v any, text func(w io.Writer)) error {
	if g.output == "json" {
		enc := json.NewEncoder(cmd.OutOrStdout())
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	text(cmd.OutOrStdout())
	return nil
}

func joinOr(items []string, none string) string {
	if len(items) == 0 {
		return none
	}
	return strings.Join(items, ", ")
}

func printLine(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
