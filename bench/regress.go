package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"gopkg.in/ini.v1"

	"sycamorespread.dev/platform"
)

// regressFlags holds the flags of the regress command.
type regressFlags struct {
	player, floors, journal string
	jobs                    int
}

func regressCommand() *cobra.Command {
	f := &regressFlags{}
	c := &cobra.Command{Use: "regress SITE...", Short: "Play the standard days of sites and compare their worth with the recorded floors", Args: cobra.MinimumNArgs(1)}
	c.Flags().StringVar(&f.player, "player", "", "program of the users' bench")
	c.Flags().StringVar(&f.floors, "floors", "deploy/floors.ini", "file with the minimum worth of each day, by site")
	c.Flags().StringVar(&f.journal, "journal", "journal", "folder of the journal")
	c.Flags().IntVar(&f.jobs, "jobs", 3, "number of days played concurrently")
	c.RunE = func(c *cobra.Command, sites []string) error {
		if f.player == "" {
			return errors.New("--player is empty; give the path of the users' bench program")
		}
		return f.run(c.Context(), sites)
	}
	return c
}

func (f *regressFlags) run(ctx context.Context, sites []string) error {
	floors, err := ini.Load(f.floors)
	if err != nil {
		return errors.Wrap(err, "read floors")
	}
	failed := 0
	for _, site := range sites {
		days, err := f.runSite(ctx, site)
		if err != nil {
			return errors.Wrapf(err, "play %s", site)
		}
		results, err := Compare(days, floors)
		if err != nil {
			return err
		}
		for _, r := range results {
			fmt.Println(r)
			if r.Rank < RankMet {
				failed++
			}
		}
	}
	if failed > 0 {
		return errors.Errorf("%d days failed or are below their floor", failed)
	}
	return nil
}

// runSite scores one site with the users' bench and reads the days from its new journal entry.
func (f *regressFlags) runSite(ctx context.Context, site string) ([]platform.BenchDay, error) {
	before, err := f.journalEntries()
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, f.player, "score", site, "--jobs", strconv.Itoa(f.jobs), "--why", "regression run")
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	if err := cmd.Run(); err != nil {
		// The bench may also exit so when a score fails its gate; the journal entry has the result.
		fmt.Fprintln(os.Stderr, "bench:", err)
	}
	after, err := f.journalEntries()
	if err != nil {
		return nil, err
	}
	for _, file := range after {
		if !slices.Contains(before, file) {
			return platform.ReadJournalEntry(file)
		}
	}
	return nil, errors.New("the journal has no new entry")
}

func (f *regressFlags) journalEntries() ([]string, error) {
	return filepath.Glob(filepath.Join(f.journal, "*.json"))
}

// Ranks of a result, the worst first.
const (
	RankBroken = iota
	RankFailed
	RankBelowFloor
	RankMet
	RankNoFloor
)

// Result compares one day with its floor.
type Result struct {
	platform.BenchDay
	// Floor is the minimum worth of the day, 0 if none is recorded.
	Floor float64
	Rank  int
}

// String returns a line of key=value pairs.
func (r Result) String() string {
	verdict := [...]string{"broken", "failed", "fell", "held", "no-floor"}[r.Rank]
	return fmt.Sprintf("site=%s day=%s worth=%.3f floor=%.3f verdict=%s rules=%v fault=%q", r.Site, r.Day, r.RawScore, r.Floor, verdict, r.BrokenRules, r.Fault)
}

// Compare compares the days with their floors and returns the results, the worst rank first. floors
// has a section for each site with a key for each day.
func Compare(days []platform.BenchDay, floors *ini.File) ([]Result, error) {
	results := make([]Result, 0, len(days))
	for _, d := range days {
		r := Result{BenchDay: d, Rank: RankNoFloor}
		section, err := floors.GetSection(d.Site)
		if err == nil && section.HasKey(d.Day) {
			if r.Floor, err = section.Key(d.Day).Float64(); err != nil {
				return nil, errors.Wrapf(err, "parse floor of site %s, day %s", d.Site, d.Day)
			}
			r.Rank = RankMet
			if d.RawScore < r.Floor {
				r.Rank = RankBelowFloor
			}
		}
		switch {
		case len(d.BrokenRules) > 0:
			r.Rank = RankBroken
		case d.Fault != "" || !d.Passed:
			r.Rank = RankFailed
		}
		results = append(results, r)
	}
	slices.SortStableFunc(results, func(a, b Result) int { return cmp.Compare(a.Rank, b.Rank) })
	return results, nil
}
