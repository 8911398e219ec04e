// Command bench is the developers' test harness. It starts a deployment of the users' brief as
// separate processes on loopback, generates load and faults, and checks the results of the callers
// and the runs of the backend servers. It is not part of the product.
//
//	bench demo    a short run with a policy change
//	bench surge   the overload scenario against two baselines
//	bench prove   load under a random schedule of all faults
//	bench soak    random faults on the users' platform
//	bench regress the users' standard days against their floors
//	bench slopes  control cost by the number of daemons, call cost, memory
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

// children waits for the processes and the load that the harness started.
var children errgroup.Group

func main() {
	root := &cobra.Command{Use: "bench", Short: "Test harness: demo, load, faults and measurements", SilenceUsage: true, SilenceErrors: true}
	var bin, dir string
	root.PersistentFlags().StringVar(&bin, "bin", "bin", "folder of the program binaries")
	root.PersistentFlags().StringVar(&dir, "dir", "", "folder for settings and logs; a temporary one if empty")
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
