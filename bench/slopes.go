package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/load"
	"sycamorespread.dev/sycapb"
)

const (
	// slopeWindow is how long each state is measured.
	slopeWindow = 10 * time.Second
	// slopeSettleTime is the time between the start of a fleet and the first measurement.
	slopeSettleTime = 3 * time.Second
	// churnInterval is the time between two restarts of daemons while churn is measured.
	churnInterval = time.Second
	// clockTicks is the number of clock ticks per second in the CPU times of /proc/PID/stat.
	clockTicks = 100.0
	// slopeServices is the number of services of a fleet without load.
	slopeServices = 8
)

// usage is the resource usage of a set of daemons, as means per daemon if not noted otherwise.
type usage struct {
	cpu     float64 // ratio of a core
	rss     float64 // MB
	in, out float64 // bytes per second
	reads   float64 // store calls per second of the whole fleet
	writes  float64
}

func slopesCommand(bin, dir *string) *cobra.Command {
	var sizes []int
	var parts []string
	c := &cobra.Command{Use: "slopes", Short: "Measure control cost, call cost and memory", Args: cobra.NoArgs}
	c.Flags().IntSliceVar(&sizes, "sizes", []int{10, 40, 100, 200}, "fleet sizes to measure, in daemons")
	c.Flags().StringSliceVar(&parts, "parts", []string{"fleet", "calls", "memory"}, "parts to measure")
	c.RunE = func(c *cobra.Command, _ []string) error {
		for _, part := range parts {
			if err := measurePart(c.Context(), part, *bin, *dir, sizes); err != nil {
				return err
			}
		}
		return nil
	}
	return c
}

func measurePart(ctx context.Context, part, bin, dir string, sizes []int) error {
	switch part {
	case "fleet":
		return measureFleets(ctx, bin, dir, sizes)
	case "calls":
		return measureCalls(ctx, bin, dir)
	case "memory":
		return measureMemory()
	}
	return errors.Errorf("--parts: unknown part %q, want fleet, calls or memory", part)
}

// measureFleets measures the control cost of fleets of the given sizes without load.
func measureFleets(ctx context.Context, bin, dir string, sizes []int) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "DAEMONS\tSTATE\tCPU % OF A CORE\tRSS MB\tBYTES/S IN\tBYTES/S OUT\tPLATFORM READS/S\tWRITES/S\tFORCE MS\tJOIN MS")
	for _, n := range sizes {
		if err := measureFleet(ctx, w, options{bin: bin, dir: filepath.Join(dir, strconv.Itoa(n)), mode: "full", level: "warning", leaveWait: 100 * time.Millisecond}, n); err != nil {
			return err
		}
	}
	return w.Flush()
}

// idleTopology returns a fleet of n daemons that share one backend server.
func idleTopology(n int) topology {
	top := topology{name: "idle", region: "r", zones: 4, shared: true, policy: kolonihavePolicy}
	for i := range slopeServices {
		servers := n / slopeServices
		if i < n%slopeServices {
			servers++
		}
		top.services = append(top.services, serviceDef{name: fmt.Sprintf("service%d", i), servers: servers, slots: 10, conns: 10})
	}
	return top
}

func measureFleet(ctx context.Context, w *tabwriter.Writer, opt options, n int) (err error) {
	c, err := newCluster(idleTopology(n), opt)
	if err != nil {
		return err
	}
	defer func() {
		if stopErr := c.stop(); err == nil {
			err = stopErr
		}
	}()
	start := time.Now()
	if err := c.start(ctx); err != nil {
		return err
	}
	joined := time.Since(start)
	force, err := c.installPolicy(ctx, c.top.policy)
	if err != nil {
		return err
	}
	time.Sleep(slopeSettleTime)
	idle, err := c.measure(ctx, func() error {
		time.Sleep(slopeWindow)
		return nil
	})
	if err != nil {
		return err
	}
	churn, err := c.measure(ctx, func() error { return c.churn() })
	if err != nil {
		return err
	}
	idle.print(w, n, "idle", force, joined)
	churn.print(w, n, "a restart a second", force, joined)
	return nil
}

func (u usage) print(w *tabwriter.Writer, n int, state string, force, joined time.Duration) {
	fmt.Fprintf(w, "%d\t%s\t%.2f\t%.1f\t%.0f\t%.0f\t%.1f\t%.1f\t%d\t%d\n",
		n, state, 100*u.cpu, u.rss, u.in, u.out, u.reads, u.writes, force.Milliseconds(), joined.Milliseconds())
}

// churn kills and restarts one daemon after another for slopeWindow. It takes the last churnedDaemons
// daemons in turn, which are left out of the measurement.
func (c *cluster) churn() error {
	for k := range int(slopeWindow / churnInterval) {
		i := c.instances[len(c.instances)-1-k%churnedDaemons]
		i.daemon.signal(9)
		<-i.daemon.done
		if err := c.startDaemon(i); err != nil {
			return err
		}
		time.Sleep(churnInterval)
	}
	return nil
}

// churnedDaemons is the number of daemons that churn restarts.
const churnedDaemons = 3

// sample holds the counters at one time, as sums over the measured daemons.
type sample struct {
	at      time.Time
	cpu     float64
	in, out float64
	counts  *sycapb.StoreCounts
}

// measure returns the usage of the measured daemons while f runs.
func (c *cluster) measure(ctx context.Context, f func() error) (usage, error) {
	before, err := c.sample(ctx)
	if err != nil {
		return usage{}, err
	}
	if err := f(); err != nil {
		return usage{}, err
	}
	after, err := c.sample(ctx)
	if err != nil {
		return usage{}, err
	}
	n := float64(len(c.measured()))
	secs := after.at.Sub(before.at).Seconds()
	u := usage{
		cpu:    (after.cpu - before.cpu) / secs / n,
		in:     (after.in - before.in) / secs / n,
		out:    (after.out - before.out) / secs / n,
		reads:  float64(after.counts.Reads-before.counts.Reads) / secs,
		writes: float64(after.counts.Writes-before.counts.Writes) / secs,
	}
	for _, i := range c.measured() {
		mb, err := rssMB(i.daemon.cmd.Process.Pid)
		if err != nil {
			return u, err
		}
		u.rss += mb / n
	}
	return u, nil
}

// measured returns the instances whose daemons churn never restarts.
func (c *cluster) measured() []*instance {
	return c.instances[:len(c.instances)-churnedDaemons]
}

func (c *cluster) sample(ctx context.Context) (sample, error) {
	s := sample{at: time.Now()}
	for _, i := range c.measured() {
		cpu, err := cpuSeconds(i.daemon.cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		in, err := c.metric(ctx, i, "member.bytes_in")
		if err != nil {
			return s, err
		}
		out, err := c.metric(ctx, i, "member.bytes_out")
		if err != nil {
			return s, err
		}
		s.cpu += cpu
		s.in += in
		s.out += out
	}
	var err error
	s.counts, err = c.setStoreFaults(ctx, &sycapb.StoreFaults{})
	return s, err
}

// cpuSeconds returns the user and system CPU time of a process.
func cpuSeconds(pid int) (float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read CPU time")
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	const utime, stime = 11, 12
	u, _ := strconv.ParseFloat(fields[utime], 64)
	s, _ := strconv.ParseFloat(fields[stime], 64)
	return (u + s) / clockTicks, nil
}

// rssMB returns the resident set size of a process in MB.
func rssMB(pid int) (float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "memory")
	}
	_, rest, _ := strings.Cut(string(b), "VmRSS:")
	fields := strings.Fields(rest)
	kb, _ := strconv.ParseFloat(fields[0], 64)
	return kb / 1024, nil
}

// measureCalls measures the cost of calls in the Kolonihave deployment at several rates.
func measureCalls(ctx context.Context, bin, dir string) (err error) {
	opt := options{bin: bin, dir: filepath.Join(dir, "calls"), mode: "full", level: "warning", leaveWait: 100 * time.Millisecond}
	c, err := newCluster(kolonihave(), opt)
	if err != nil {
		return err
	}
	defer func() {
		if stopErr := c.stop(); err == nil {
			err = stopErr
		}
	}()
	if err := c.start(ctx); err != nil {
		return err
	}
	if _, err := c.installPolicy(ctx, c.top.policy); err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "ACTIONS/S\tRUNS/S\tADDED P50 MS\tADDED P99 MS\tDAEMON CPU US/RUN\tRSS MB")
	for _, rate := range []float64{0, 100, 300, 600} {
		if err := c.measureRate(ctx, w, rate); err != nil {
			return err
		}
	}
	return w.Flush()
}

func (c *cluster) measureRate(ctx context.Context, w *tabwriter.Writer, rate float64) error {
	gen := load.New(load.Config{
		Client:   c.client(0),
		Kinds:    c.top.kinds,
		Rate:     func(time.Duration) float64 { return rate },
		Duration: slopeWindow,
		Seed:     1,
		BodySize: 256,
	})
	before, err := c.totalRuns()
	if err != nil {
		return err
	}
	var add addedLatency
	var u usage
	g, inner := errgroup.WithContext(ctx)
	g.Go(func() error {
		gen.Run(inner)
		return nil
	})
	g.Go(func() error {
		var err error
		u, err = c.measure(inner, func() error {
			time.Sleep(slopeWindow / 2)
			return nil
		})
		if err == nil {
			add, err = c.measureAdded(inner)
		}
		return err
	})
	if err := g.Wait(); err != nil {
		return err
	}
	after, err := c.totalRuns()
	if err != nil {
		return err
	}
	runs := (float64(after-before) - 2*addedCalls - warmupCalls) / slopeWindow.Seconds()
	perRun := 0.0
	if rate > 0 {
		perRun = u.cpu * float64(len(c.measured())) / runs * 1e6
	}
	fmt.Fprintf(w, "%.0f\t%.0f\t%.2f\t%.2f\t%.0f\t%.1f\n", rate, runs, ms(add.p50), ms(add.p99), perRun, u.rss)
	return nil
}

func ms(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// totalRuns returns the number of runs in the ledgers of all backend server stand-ins so far.
func (c *cluster) totalRuns() (uint64, error) {
	runs := load.NewRuns()
	for _, i := range c.instances {
		if err := runs.ReadLedger(c.ledger(i)); err != nil {
			return 0, err
		}
	}
	return runs.Total, nil
}
