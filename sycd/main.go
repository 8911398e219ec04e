// Command sycd is the overload control daemon that runs beside a backend server.
//
//	sycd run FILE     runs until SIGTERM, then leaves gracefully
//	sycd check FILE   checks the settings and exits
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/config"
	"sycamorespread.dev/daemon"
	"sycamorespread.dev/heap"
	"sycamorespread.dev/logs"
	"sycamorespread.dev/platform"
)

const (
	// heapGrowth is how much the heap grows between two garbage collections, in bytes. A busy
	// daemon allocates about 10 MB per second, and a collection takes a few milliseconds.
	heapGrowth = 8 << 20
	// memoryLimit is the memory in bytes from which garbage collections become more frequent.
	// A daemon may use at most 128 MB.
	memoryLimit = 96 << 20
	// maxLogBuffer is the maximum number of bytes of log lines that wait to be written.
	maxLogBuffer = 1 << 20
	// maxLogRate is the maximum sustained log rate in bytes per second.
	maxLogRate = 512 << 10
)

func main() {
	root := &cobra.Command{Use: "sycd", Short: "Overload control daemon beside a backend server", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(
		&cobra.Command{Use: "run FILE", Short: "Run with the settings in FILE", Args: cobra.ExactArgs(1), RunE: runDaemon},
		&cobra.Command{Use: "check FILE", Short: "Check the settings in FILE", Args: cobra.ExactArgs(1), RunE: checkSettings},
	)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sycd:", err)
		os.Exit(1)
	}
}

func checkSettings(_ *cobra.Command, args []string) error {
	cfg, err := config.Load(args[0])
	if err != nil {
		return err
	}
	fmt.Printf("file=%s id=%s service=%s ok\n", args[0], cfg.ID, cfg.Service)
	return nil
}

func runDaemon(_ *cobra.Command, args []string) error {
	cfg, err := config.Load(args[0])
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetLevel(cfg.LogLevel)
	log.SetFormatter(logs.Formatter{})
	out := logs.New(os.Stdout, logs.Limits{MaxBuffered: maxLogBuffer, BytesPerSecond: maxLogRate})
	log.SetOutput(out)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(cfg, log.WithFields(logrus.Fields{"id": cfg.ID, "zone": cfg.Zone}), newAdapter(out))
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	return runAll(ctx, d, out, args[0], hangups)
}

// runAll runs the daemon. The log writer, the garbage collection tuner and the loop
// that reloads the settings run until the daemon has ended.
func runAll(ctx context.Context, d *daemon.Daemon, out *logs.Writer, file string, hangups <-chan os.Signal) error {
	var g errgroup.Group
	writerCtx, stop := context.WithCancel(context.Background())
	g.Go(func() error {
		defer stop()
		return d.Run(ctx)
	})
	g.Go(func() error { return out.Run(writerCtx) })
	g.Go(func() error {
		return heap.New(heap.Config{Headroom: heapGrowth, MemoryLimit: memoryLimit}).Run(writerCtx)
	})
	g.Go(func() error { return d.ReloadLoop(writerCtx, file, hangups) })
	return g.Wait()
}

// newAdapter returns the adapter between the daemon and the users' platform.
func newAdapter(out *logs.Writer) daemon.Adapter {
	return daemon.Adapter{
		DroppedLogs:    out.Dropped,
		StoreTransport: platform.NewTransport,
		PolicyKey:      platform.PolicyKey,
		DecodePolicy:   platform.DecodePolicy,
		Headers:        platform.Headers(),
		HeartbeatHandler: func(b daemon.HeartbeatSink) http.Handler {
			return platform.HeartbeatHandler(platform.HeartbeatSink(b))
		},
	}
}
