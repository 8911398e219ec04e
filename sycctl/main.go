// Command sycctl is the operators' command line.
//
// Each command is one remote procedure call of the schema's Operator service
// to one daemon. Exit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict,
// 4 unknown outcome, 5 refused.
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

// exitError ends the program with a code of its own.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string {
	return e.text
}

func main() {
	c := &client{}
	root := &cobra.Command{Use: "sycctl", Short: "Operators' command line of sycamorespread", SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&c.addr, "addr", "127.0.0.1:7101", "IP:PORT of any daemon")
	root.PersistentFlags().BoolVar(&c.json, "json", false, "print JSON")
	root.PersistentFlags().DurationVar(&c.timeout, "timeout", defaultTimeout, "longest time for the command")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &exitError{code: exitUsage, text: err.Error()}
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
