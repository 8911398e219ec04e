// Command bench is the developers' harness: it starts a deployment of the
// brief as separate processes on loopback, brings about load and faults, and
// judges what callers and backend servers saw. It is no part of the product.
//
//	bench demo    a short run with a policy change
//	bench surge   the overload scene against two baselines
//	bench prove   a long randomised mix of all faults
//	bench soak    randomized faults on the users' platform
//	bench regress standard days of the users beside their floors
//	bench slopes  control cost by the number of daemons
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

// children waits for the processes that were started.
var children errgroup.Group

func main() {
	root := &cobra.Command{Use: "bench", Short: "Harness of demo, bench and prove", SilenceUsage: true, SilenceErrors: true}
	var bin, dir string
	root.PersistentFlags().StringVar(&bin, "bin", "bin", "folder of the programs")
	root.PersistentFlags().StringVar(&dir, "dir", "", "folder for settings and logs; empty makes a temporary one")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if dir != "" {
			return checkPorts()
		}
		var err error
		dir, err = os.MkdirTemp("", "syca")
		if err != nil {
			return err
		}
		return checkPorts()
	}
	root.AddCommand(demoCommand(&bin, &dir), surgeCommand(&bin, &dir), proveCommand(&bin, &dir), slopesCommand(&bin, &dir), soakCommand(&bin, &dir), regressCommand())
	err := root.ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
	_ = os.RemoveAll(dir)
}
