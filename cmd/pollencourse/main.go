package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/pollencourse/pollencourse/internal/app/daemon"
	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// Exit codes of the command.
const (
	exitFailed               = 1
	exitUsage                = 2
	exitNotInForceEverywhere = 3
)

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func main() {
	uuid.EnableRandPool()
	root := newRoot()
	err := root.Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "pollencourse:", err)
	os.Exit(exitCode(err))
}

// exitCode returns exitUsage for an error that is neither an exitError nor a fault, since cobra reports a faulty command
// line with a plain error.
func exitCode(err error) int {
	var e *exitError
	var f *fault.Error
	switch {
	case errors.As(err, &e):
		return e.code
	case errors.As(err, &f):
		return exitFailed
	default:
		return exitUsage
	}
}

// newRoot builds the command line with all commands.
func newRoot() *cobra.Command {
	g := &globalFlags{}
	root := &cobra.Command{
		Use:           "pollencourse",
		Short:         "Router for model requests and plain services",
		SilenceUsage:  true,
		SilenceErrors: true,
		Version:       daemon.Version,
	}
	g.register(root)
	root.AddCommand(
		newServe(), newEntry(), newDemo(g), newCheck(g), newTemplate(g), newStatus(g), newDump(g), newCharges(g), newIntents(g), newVersion(g),
	)
	return root
}
