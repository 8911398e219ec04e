package main

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"sycamorespread.dev/load"
)

const (
	// surgeBaseRatio is the demand before and after the surge, as a ratio of the bottleneck's capacity.
	surgeBaseRatio = 0.6
	// surgeSlowFactor multiplies the run times of the bottleneck during the surge.
	surgeSlowFactor = 3.0
	// surgeMaxResends is the maximum number of resends of a caller, which ignores Retry-After.
	surgeMaxResends = 6

	surgeStart       = 5 * time.Second
	surgeTripleStart = surgeStart + 2500*time.Millisecond
	surgeEnd         = surgeStart + 5*time.Second
	surgeTotal       = surgeEnd + 8*time.Second
	// settleTime is left out of the measurement after each step of the demand.
	settleTime = 500 * time.Millisecond

	// maxReasons is the maximum number of reasons printed for each mode.
	maxReasons = 12

	minGoodputRatio = 0.90
	minVitalRatio   = 0.99
	maxRecovery     = 2 * time.Second
)

// surgeRow is one line of the table.
type surgeRow struct {
	mode                 string
	goodput2x, goodput3x float64
	vital                float64
	maxRuns              uint32
	recovery             time.Duration
	mismatched           uint64
	brokenInvariants     float64
	falseNotRun          int
	duplicates           int
	p99                  time.Duration
	runsPerSuccess       float64
	sendsPerAction       float64
}

func surgeCommand(bin, dir *string) *cobra.Command {
	var name string
	var modes []string
	c := &cobra.Command{Use: "surge", Short: "Run the overload scenario and compare it with two baselines", Args: cobra.NoArgs}
	c.Flags().StringVar(&name, "deployment", "kolonihave", "deployment to run: kolonihave or ballonbuch")
	c.Flags().StringSliceVar(&modes, "modes", []string{"none", "static", "full"}, "control modes to run")
	c.RunE = func(c *cobra.Command, _ []string) error {
		top, err := topologyOf(name)
		if err != nil {
			return err
		}
		var table []surgeRow
		for _, mode := range modes {
			opt := options{bin: *bin, dir: filepath.Join(*dir, mode), mode: mode, level: "warning", leaveWait: time.Second}
			row, err := surge(c.Context(), top, opt)
			if err != nil {
				return err
			}
			table = append(table, row)
		}
		printSurge(top, table)
		return checkSurge(table[len(table)-1])
	}
	return c
}

// surge runs the overload scenario once, in the mode of opt.
func surge(ctx context.Context, top topology, opt options) (row surgeRow, err error) {
	c, err := newCluster(top, opt)
	if err != nil {
		return row, err
	}
	defer func() {
		if stopErr := c.stop(); err == nil {
			err = stopErr
		}
	}()
	if err := c.start(ctx); err != nil {
		return row, err
	}
	if _, err := c.installPolicy(ctx, top.policy); err != nil {
		return row, err
	}
	rec, err := c.surgeLoad(ctx)
	if err != nil {
		return row, err
	}
	printReasons(opt.mode, rec)
	return c.newSurgeRow(ctx, rec)
}

// printReasons prints why actions did not succeed, the most frequent reasons first.
func printReasons(mode string, rec *load.Recorder) {
	reasons := rec.Reasons()
	names := slices.SortedFunc(maps.Keys(reasons), func(a, b string) int {
		return cmp.Compare(reasons[b], reasons[a])
	})
	for _, name := range names[:min(len(names), maxReasons)] {
		fmt.Printf("mode=%s n=%d %s\n", mode, reasons[name], name)
	}
}

func (c *cluster) surgeLoad(ctx context.Context) (*load.Recorder, error) {
	base := surgeBaseRatio * c.top.capacity() / c.top.bottleneckRatio()
	gen := load.New(load.Config{
		Client:   c.client(surgeMaxResends),
		Kinds:    c.top.kinds,
		Rate:     func(at time.Duration) float64 { return base * surgeFactor(at) },
		Duration: surgeTotal,
		Seed:     1,
		BodySize: 256,
	})
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		time.Sleep(surgeStart)
		if err := c.slowService(ctx, c.top.bottleneck, surgeSlowFactor); err != nil {
			return err
		}
		time.Sleep(surgeEnd - surgeStart)
		return c.slowService(ctx, c.top.bottleneck, 1)
	})
	g.Go(func() error {
		gen.Run(ctx)
		return nil
	})
	return gen.Recorder(), g.Wait()
}

// surgeFactor returns the demand at a time as a multiple of the base.
func surgeFactor(at time.Duration) float64 {
	switch {
	case at >= surgeStart && at < surgeTripleStart:
		return 2
	case at >= surgeTripleStart && at < surgeEnd:
		return 3
	}
	return 1
}

func (c *cluster) newSurgeRow(ctx context.Context, rec *load.Recorder) (surgeRow, error) {
	runs, err := c.checkRuns(rec)
	if err != nil {
		return surgeRow{}, err
	}
	broken, err := c.brokenInvariants(ctx)
	if err != nil {
		return surgeRow{}, err
	}
	sum := rec.Sum()
	vital := rec.Started(surgeStart, surgeEnd, c.top.vitalKind)
	return surgeRow{
		mode:             c.opt.mode,
		goodput2x:        c.goodput(rec, surgeStart+settleTime, surgeTripleStart),
		goodput3x:        c.goodput(rec, surgeTripleStart+settleTime, surgeEnd),
		vital:            float64(vital.Succeeded) / float64(vital.Offered),
		maxRuns:          runs.MaxPerAction,
		recovery:         rec.Recovery(surgeEnd, surgeTotal),
		mismatched:       sum.Mismatched,
		brokenInvariants: broken,
		falseNotRun:      len(runs.FalseNotRun),
		duplicates:       len(runs.Duplicates),
		p99:              rec.Quantile(99),
		runsPerSuccess:   float64(runs.Total) / float64(max(1, sum.Succeeded)),
		sendsPerAction:   float64(sum.Sends) / float64(max(1, sum.Offered)),
	}, nil
}

// goodput returns the number of actions that need the bottleneck and succeeded in a time span, as a
// ratio of the capacity of the slowed bottleneck in that time.
func (c *cluster) goodput(rec *load.Recorder, from, to time.Duration) float64 {
	succeeded := rec.Completed(from, to, c.top.bottleneckKinds...)
	possible := c.top.capacity() / surgeSlowFactor * (to - from).Seconds()
	return float64(succeeded) / possible
}

func printSurge(top topology, table []surgeRow) {
	fmt.Printf("deployment=%s bottleneck=%s capacity=%.0f/s slowed=%.0f/s base=%.2f of capacity\n",
		top.name, top.bottleneck, top.capacity(), top.capacity()/surgeSlowFactor, surgeBaseRatio)
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "MODE\tGOODPUT 2X\tGOODPUT 3X\t%s\tRUNS/ACTION MAX\tRECOVERY\tP99\tRUNS/WHOLE\tSENDS/ACTION\tWRONG\tTWICE\tLIARS\tBROKEN\n", strings.ToUpper(top.vitalKind))
	for _, r := range table {
		recovery := fmt.Sprintf("%.1fs", r.recovery.Seconds())
		if r.recovery < 0 {
			recovery = "never"
		}
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.3f\t%d\t%s\t%s\t%.2f\t%.2f\t%d\t%d\t%d\t%.0f\n",
			r.mode, r.goodput2x, r.goodput3x, r.vital, r.maxRuns, recovery, r.p99.Round(time.Millisecond), r.runsPerSuccess, r.sendsPerAction, r.mismatched, r.duplicates, r.falseNotRun, r.brokenInvariants)
	}
	_ = w.Flush()
}

// checkSurge prints the final line and returns an error if a target is missed.
func checkSurge(r surgeRow) error {
	var missed []string
	check := func(ok bool, what string) {
		if !ok {
			missed = append(missed, what)
		}
	}
	check(r.goodput2x >= minGoodputRatio, "goodput2x")
	check(r.goodput3x >= minGoodputRatio, "goodput3x")
	check(r.vital >= minVitalRatio, "vital")
	check(r.recovery >= 0 && r.recovery <= maxRecovery, "recovery")
	check(r.maxRuns <= callerAllowance, "runs")
	check(r.mismatched == 0 && r.brokenInvariants == 0 && r.falseNotRun == 0 && r.duplicates == 0, "invariants")
	if len(missed) > 0 {
		fmt.Printf("bench: short %s\n", strings.Join(missed, ","))
		return errors.New("targets missed")
	}
	fmt.Println("bench: ok")
	return nil
}
