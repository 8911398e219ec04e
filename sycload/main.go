// Command sycload sends an open-loop load of actions to entry daemons and reports
// goodput, latency and outcomes.
//
//	sycload --entries 127.0.1.1:17101,127.0.2.2:17101 --rate 200 --duration 10s \
//	    --mix statements.view=5 --mix payments.pay=1:once
//	sycload report bin/soak-1.run   plots a run of the test harness and judges it
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"sycamorespread.dev/caller"
	"sycamorespread.dev/load"
)

// flags holds the values of the command-line flags.
type flags struct {
	entries, ledgers     []string
	mix                  []string
	rate                 float64
	surgeFactor          float64
	surgeStart, surgeEnd time.Duration
	duration             time.Duration
	timeout              time.Duration
	resends              int
	allowance            uint32
	bodySize             int
	seed                 uint64
	json                 bool
}

func main() {
	f := &flags{}
	root := &cobra.Command{Use: "sycload", Short: "Generate an open-loop load and verify the responses", Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true}
	root.Flags().StringSliceVar(&f.entries, "entries", nil, "IP:PORT of the daemons to use")
	root.Flags().StringSliceVar(&f.ledgers, "ledgers", nil, "ledger files of the simulated backend servers, to count runs")
	root.Flags().StringArrayVar(&f.mix, "mix", nil, "SERVICE.METHOD=WEIGHT, with :once for a non-idempotent method")
	root.Flags().Float64Var(&f.rate, "rate", 100, "actions per second")
	root.Flags().Float64Var(&f.surgeFactor, "surge", 1, "factor on the rate during the surge")
	root.Flags().DurationVar(&f.surgeStart, "surge-at", 0, "start of the surge")
	root.Flags().DurationVar(&f.surgeEnd, "surge-to", 0, "end of the surge, from which recovery is measured")
	root.Flags().DurationVar(&f.duration, "duration", 10*time.Second, "how long actions are started")
	root.Flags().DurationVar(&f.timeout, "timeout", 2*time.Second, "deadline of an action")
	root.Flags().IntVar(&f.resends, "resends", 3, "how often a caller sends again")
	root.Flags().Uint32Var(&f.allowance, "allowance", 16, "backend server runs that an action may cause over all resends")
	root.Flags().IntVar(&f.bodySize, "body", 256, "bytes of a request body")
	root.Flags().Uint64Var(&f.seed, "seed", 1, "seed of starts and mix")
	root.Flags().BoolVar(&f.json, "json", false, "print JSON")
	root.RunE = func(c *cobra.Command, _ []string) error { return f.run(c.Context()) }
	root.AddCommand(reportCommand())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := root.ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "sycload:", err)
		os.Exit(1)
	}
}

func (f *flags) run(ctx context.Context) error {
	entries, err := addrs("entries", f.entries)
	if err != nil {
		return err
	}
	kinds, err := f.kinds()
	if err != nil {
		return err
	}
	if len(entries) == 0 {
		return fmt.Errorf("--entries is missing: name at least one daemon")
	}
	client := caller.New(caller.Config{
		Entries:          entries,
		MaxResends:       f.resends,
		ResendDelay:      50 * time.Millisecond,
		IgnoreRetryAfter: true,
		Allowance:        f.allowance,
	})
	rec := load.New(load.Config{
		Client:   client,
		Kinds:    kinds,
		Rate:     f.rateAt,
		Duration: f.duration,
		Seed:     f.seed,
		BodySize: f.bodySize,
	}).Run(ctx)
	runs := load.NewRuns()
	for _, file := range f.ledgers {
		if err := runs.ReadLedger(file); err != nil {
			return err
		}
	}
	var once []string
	for _, k := range kinds {
		if k.NonIdempotent {
			once = append(once, k.Name)
		}
	}
	runs.Check(rec, once...)
	return f.report(rec, runs)
}

func (f *flags) rateAt(at time.Duration) float64 {
	if at >= f.surgeStart && at < f.surgeEnd {
		return f.rate * f.surgeFactor
	}
	return f.rate
}

func addrs(flag string, words []string) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for _, w := range words {
		a, err := netip.ParseAddrPort(w)
		if err != nil {
			return nil, fmt.Errorf("--%s: %q is not IP:PORT", flag, w)
		}
		list = append(list, a)
	}
	return list, nil
}

// kinds parses the --mix flags.
func (f *flags) kinds() ([]load.Kind, error) {
	var kinds []load.Kind
	for _, w := range f.mix {
		name, rest, ok := strings.Cut(w, "=")
		service, method, ok2 := strings.Cut(name, ".")
		weight, once := strings.CutSuffix(rest, ":once")
		n, err := strconv.ParseFloat(weight, 64)
		if !ok || !ok2 || err != nil || n <= 0 {
			return nil, fmt.Errorf("--mix: %q is not SERVICE.METHOD=WEIGHT[:once]", w)
		}
		kinds = append(kinds, load.Kind{Name: name, Service: service, Method: method, Weight: n, NonIdempotent: once, Timeout: f.timeout})
	}
	if len(kinds) == 0 {
		return nil, fmt.Errorf("--mix is missing: name at least one method")
	}
	return kinds, nil
}
