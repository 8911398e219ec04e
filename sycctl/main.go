// Command sycctl is the command-line client for operators.
//
// Each command is one call of the Operator service of one daemon. Exit codes:
// 0 success, 1 failure, 2 wrong usage, 3 conflict, 4 unknown outcome, 5 rejected.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

// exitError is an error with an exit code.
type exitError struct {
	code    int
	message string
}

func (e *exitError) Error() string {
	return e.message
}

func main() {
	c := &client{}
	root := &cobra.Command{Use: "sycctl", Short: "Operators' command line of sycamorespread", SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&c.addr, "addr", "127.0.0.1:7101", "IP:PORT of any daemon")
	root.PersistentFlags().BoolVar(&c.json, "json", false, "print JSON")
	root.PersistentFlags().DurationVar(&c.timeout, "timeout", defaultTimeout, "longest time for the command")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &exitError{code: exitUsage, message: err.Error()}
	})
	root.AddCommand(c.policyCommands()...)
	root.AddCommand(c.stateCommands()...)
	err := root.Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "sycctl:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		os.Exit(exit.code)
	}
	os.Exit(exitFailed)
}
