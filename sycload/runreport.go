package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sycamorespread.dev/runlog"
)

func reportCommand() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use:   "report FILE",
		Short: "Plot a run of the test harness, and judge it by what it serves after its last fault",
		Args:  cobra.ExactArgs(1),
	}
	c.Flags().StringVar(&out, "out", "", "folder of the plots; that of FILE if empty")
	c.RunE = func(c *cobra.Command, args []string) error {
		if out == "" {
			out = filepath.Dir(args[0])
		}
		return ReportRun(c.OutOrStdout(), args[0], out)
	}
	return c
}

// ReportRun plots the run of a log file to a PNG and an SVG file in the folder out, and
// prints its seconds as a table and the verdict. If the log is invalid, it reports the
// seconds before the invalid line, without a verdict, and returns the error.
func ReportRun(w io.Writer, file, out string) error {
	run, readErr := runlog.ReadFile(file)
	if run == nil || len(run.Seconds) == 0 {
		if readErr != nil {
			return readErr
		}
		return errors.Errorf("%s: the run has no whole second", file)
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return errors.Wrap(err, "create the folder of the plots")
	}
	if err := WriteTable(w, run); err != nil {
		return errors.Wrap(err, "print the table")
	}
	base := filepath.Join(out, strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)))
	for _, format := range PlotFormats {
		name := base + "." + format
		if err := plotFile(run, name, format); err != nil {
			return err
		}
		fmt.Fprintf(w, "plot=%s\n", name)
	}
	if readErr != nil {
		return readErr
	}
	fmt.Fprintln(w, run.Verdict())
	return nil
}

func plotFile(run *runlog.Run, name, format string) error {
	f, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create a plot")
	}
	if err := PlotRun(f, run, format); err != nil {
		_ = f.Close()
		return errors.Wrapf(err, "write %s", name)
	}
	return errors.Wrapf(f.Close(), "write %s", name)
}

// WriteTable writes the seconds of a run with the faults that were active in each.
func WriteTable(w io.Writer, run *runlog.Run) error {
	fmt.Fprintf(w, "run=%q seed=%d began=%s seconds=%d faults=%d\n", run.Name, run.Seed, run.Began.Format(time.RFC3339), len(run.Seconds), len(run.Faults))
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "SECOND\tSERVED\tSHED\tLATE\tLOST\t  FAULTS")
	for i, c := range run.Seconds {
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t  %s\n", i, c.Served, c.Shed, c.Late, c.Lost, strings.Join(activeFaults(run, i), " "))
	}
	c := run.Rest
	fmt.Fprintf(t, "later\t%d\t%d\t%d\t%d\t\n", c.Served, c.Shed, c.Late, c.Lost)
	return t.Flush()
}

// activeFaults returns the faults that were active in a second, with their targets.
func activeFaults(run *runlog.Run, second int) []string {
	from := time.Duration(second) * time.Second
	var names []string
	for _, f := range run.Faults {
		if f.From < from+time.Second && f.To >= from {
			names = append(names, f.Name+"@"+f.Target)
		}
	}
	return names
}
