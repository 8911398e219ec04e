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
	// surgeBase is the demand before and after, as a share of what the bottleneck can do.
	surgeBase = 0.6
	// surgeSlow is the factor on the run times of the bottleneck.
	surgeSlow = 3.0
	// surgeResends is how often callers send again, without patience.
	surgeResends = 6

	surgeStart  = 5 * time.Second
	surgeTriple = surgeStart + 2500*time.Millisecond
	surgeEnd    = surgeStart + 5*time.Second
	surgeTotal  = surgeEnd + 8*time.Second
	// settle is left out after each step of the demand.
	settle = 500 * time.Millisecond

	// mostReasons is the number of reasons printed for each mode.
	mostReasons = 12

	wantGoodput  = 0.90
	wantVital    = 0.99
	wantRecovery = 2 * time.Second
)

// surgeRow is one line of the table.
type surgeRow struct {
	mode       string
	x2, x3     float64
	vital      float64
	most       uint32
	recovery   time.Duration
	wrong      uint64
	broken     float64
	liars      int
	twice      int
	p99        time.Duration
	perAction  float64
	resendRate float64
}

func surgeCommand(bin, dir *string) *cobra.Command {
	var name string
	var modes []string
	c := &cobra.Command{Use: "surge", Short: "Run the overload scene against two baselines", Args: cobra.NoArgs}
	c.Flags().StringVar(&name, "deployment", "kolonihave", "kolonihave or ballonbuch")
	c.Flags().StringSliceVar(&modes, "modes", []string{"none", "static", "full"}, "modes to run")
	c.RunE = func(c *cobra.Command, _ []string) error {
		top, err := topologyOf(name)
		if err != nil {
			return err
		}
		var table []surgeRow
		for _, mode := range modes {
			opt := options{bin: *bin, dir: filepath.Join(*dir, mode), mode: mode, level: "warning", leave: time.Second}
			row, err := surge(c.Context(), top, opt)
			if err != nil {
				return err
			}
			table = append(table, row)
		}
		printSurge(top, table)
		return judgeSurge(table[len(table)-1])
	}
	return c
}

// surge runs the scene once.
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
	if _, err := c.install(ctx, top.policy); err != nil {
		return row, err
	}
	rec, err := c.surgeLoad(ctx)
	if err != nil {
		return row, err
	}
	printReasons(opt.mode, rec)
	return c.surgeRow(ctx, rec)
}

// printReasons lists why actions were not done, the most frequent first.
func printReasons(mode string, rec *load.Recorder) {
	reasons := rec.Reasons()
	names := slices.SortedFunc(maps.Keys(reasons), func(a, b string) int {
		return cmp.Compare(reasons[b], reasons[a])
	})
	for _, name := range names[:min(len(names), mostReasons)] {
		fmt.Printf("mode=%s n=%d %s\n", mode, reasons[name], name)
	}
}

func (c *cluster) surgeLoad(ctx context.Context) (*load.Recorder, error) {
	base := surgeBase * c.top.capacity() / c.top.deepShare()
	gen := load.New(load.Config{
		Client:   c.client(surgeResends),
		Kinds:    c.top.kinds,
		Rate:     func(at time.Duration) float64 { return base * surgeFactor(at) },
		Duration: surgeTotal,
		Seed:     1,
		BodySize: 256,
	})
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		time.Sleep(surgeStart)
		if err := c.slow(ctx, c.top.deep, surgeSlow); err != nil {
			return err
		}
		time.Sleep(surgeEnd - surgeStart)
		return c.slow(ctx, c.top.deep, 1)
	})
	g.Go(func() error {
		gen.Run(ctx)
		return nil
	})
	return gen.Recorder(), g.Wait()
}

// surgeFactor is the demand at a time, relative to the base.
func surgeFactor(at time.Duration) float64 {
	switch {
	case at >= surgeStart && at < surgeTriple:
		return 2
	case at >= surgeTriple && at < surgeEnd:
		return 3
	}
	return 1
}

func (c *cluster) surgeRow(ctx context.Context, rec *load.Recorder) (surgeRow, error) {
	runs, err := c.judgeRuns(rec)
	if err != nil {
		return surgeRow{}, err
	}
	broken, err := c.broken(ctx)
	if err != nil {
		return surgeRow{}, err
	}
	sum := rec.Sum()
	vital := rec.Started(surgeStart, surgeEnd, c.top.vital)
	return surgeRow{
		mode:       c.opt.mode,
		x2:         c.goodput(rec, surgeStart+settle, surgeTriple),
		x3:         c.goodput(rec, surgeTriple+settle, surgeEnd),
		vital:      float64(vital.Succeeded) / float64(vital.Offered),
		most:       runs.MaxPerAction,
		recovery:   rec.Recovery(surgeEnd, surgeTotal),
		wrong:      sum.Mismatched,
		broken:     broken,
		liars:      len(runs.FalseNotRun),
		twice:      len(runs.Duplicates),
		p99:        rec.Quantile(99),
		perAction:  float64(runs.Total) / float64(max(1, sum.Succeeded)),
		resendRate: float64(sum.Sends) / float64(max(1, sum.Offered)),
	}, nil
}

// goodput returns the whole actions that need the bottleneck and ended in a
// span, as a share of what the slowed bottleneck can do in that time.
func (c *cluster) goodput(rec *load.Recorder, from, to time.Duration) float64 {
	whole := rec.Completed(from, to, c.top.deepKinds...)
	can := c.top.capacity() / surgeSlow * (to - from).Seconds()
	return float64(whole) / can
}

func printSurge(top topology, table []surgeRow) {
	fmt.Printf("deployment=%s bottleneck=%s capacity=%.0f/s slowed=%.0f/s base=%.2f of capacity\n",
		top.name, top.deep, top.capacity(), top.capacity()/surgeSlow, surgeBase)
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "MODE\tGOODPUT 2X\tGOODPUT 3X\t%s\tRUNS/ACTION MAX\tRECOVERY\tP99\tRUNS/WHOLE\tSENDS/ACTION\tWRONG\tTWICE\tLIARS\tBROKEN\n", strings.ToUpper(top.vital))
	for _, r := range table {
		recovery := fmt.Sprintf("%.1fs", r.recovery.Seconds())
		if r.recovery < 0 {
			recovery = "never"
		}
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.3f\t%d\t%s\t%s\t%.2f\t%.2f\t%d\t%d\t%d\t%.0f\n",
			r.mode, r.x2, r.x3, r.vital, r.most, recovery, r.p99.Round(time.Millisecond), r.perAction, r.resendRate, r.wrong, r.twice, r.liars, r.broken)
	}
	_ = w.Flush()
}

// judgeSurge prints the closing line and fails when a target is missed.
func judgeSurge(r surgeRow) error {
	var short []string
	check := func(ok bool, what string) {
		if !ok {
			short = append(short, what)
		}
	}
	check(r.x2 >= wantGoodput, "goodput2x")
	check(r.x3 >= wantGoodput, "goodput3x")
	check(r.vital >= wantVital, "vital")
	check(r.recovery >= 0 && r.recovery <= wantRecovery, "recovery")
	check(r.most <= callerAllowance, "runs")
	check(r.wrong == 0 && r.broken == 0 && r.liars == 0 && r.twice == 0, "invariants")
	if len(short) > 0 {
		fmt.Printf("bench: short %s\n", strings.Join(short, ","))
		return errors.New("targets missed")
	}
	fmt.Println("bench: ok")
	return nil
}
