package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"sycamorespread.dev/load"
)

// summary is the result of one run, printed as text or JSON.
type summary struct {
	Offered          uint64            `json:"offered"`
	Succeeded        uint64            `json:"whole"`
	NotRun           uint64            `json:"not_run"`
	Failed           uint64            `json:"failed"`
	Unknown          uint64            `json:"unknown"`
	Mismatched       uint64            `json:"wrong"`
	Sends            uint64            `json:"sends"`
	GoodputPerS      float64           `json:"goodput_per_s"`
	P50Ms            float64           `json:"p50_ms"`
	P99Ms            float64           `json:"p99_ms"`
	MaxMs            float64           `json:"max_ms"`
	MaxRunsPerAction uint32            `json:"runs_per_action_max"`
	Runs             uint64            `json:"runs"`
	DuplicateRuns    int               `json:"unrepeatable_twice"`
	FalseNotRun      int               `json:"not_run_but_ran"`
	RecoveryS        float64           `json:"recovery_s"`
	Reasons          map[string]uint64 `json:"reasons"`
}

func (f *flags) report(rec *load.Recorder, runs *load.Runs) error {
	sum := rec.Sum()
	ms := func(q float64) float64 { return float64(rec.Quantile(q).Microseconds()) / 1000 }
	s := summary{
		Offered: sum.Offered, Succeeded: sum.Succeeded, NotRun: sum.NotRun, Failed: sum.Failed,
		Unknown: sum.Unknown, Mismatched: sum.Mismatched, Sends: sum.Sends,
		GoodputPerS: float64(sum.Succeeded) / f.duration.Seconds(),
		P50Ms:       ms(50), P99Ms: ms(99), MaxMs: ms(100),
		MaxRunsPerAction: runs.MaxPerAction, Runs: runs.Total, DuplicateRuns: len(runs.Duplicates), FalseNotRun: len(runs.FalseNotRun),
		RecoveryS: rec.Recovery(f.surgeEnd, f.duration).Seconds(),
		Reasons:   rec.Reasons(),
	}
	if f.json {
		return json.NewEncoder(os.Stdout).Encode(s)
	}
	s.print(f.duration)
	if s.Mismatched+uint64(s.DuplicateRuns)+uint64(s.FalseNotRun) > 0 {
		return fmt.Errorf("wrong=%d twice=%d liars=%d", s.Mismatched, s.DuplicateRuns, s.FalseNotRun)
	}
	return nil
}

func (s summary) print(d time.Duration) {
	fmt.Printf("offered=%d whole=%d notrun=%d failed=%d unknown=%d wrong=%d sends=%d duration=%s\n",
		s.Offered, s.Succeeded, s.NotRun, s.Failed, s.Unknown, s.Mismatched, s.Sends, d)
	fmt.Printf("goodput=%.1f/s p50=%.2fms p99=%.2fms max=%.2fms\n", s.GoodputPerS, s.P50Ms, s.P99Ms, s.MaxMs)
	fmt.Printf("runs=%d most_per_action=%d twice=%d liars=%d recovery=%.1fs\n", s.Runs, s.MaxRunsPerAction, s.DuplicateRuns, s.FalseNotRun, s.RecoveryS)
	for reason, n := range s.Reasons {
		fmt.Printf("reason %s=%d\n", reason, n)
	}
}
