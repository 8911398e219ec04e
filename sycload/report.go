package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"sycamorespread.dev/load"
)

// summary is the result of one run, also as JSON.
type summary struct {
	Offered     uint64            `json:"offered"`
	Whole       uint64            `json:"whole"`
	NotRun      uint64            `json:"not_run"`
	Failed      uint64            `json:"failed"`
	Unknown     uint64            `json:"unknown"`
	Wrong       uint64            `json:"wrong"`
	Sends       uint64            `json:"sends"`
	GoodputPerS float64           `json:"goodput_per_s"`
	P50Ms       float64           `json:"p50_ms"`
	P99Ms       float64           `json:"p99_ms"`
	MaxMs       float64           `json:"max_ms"`
	RunsMost    uint32            `json:"runs_per_action_max"`
	Runs        uint64            `json:"runs"`
	Twice       int               `json:"unrepeatable_twice"`
	Liars       int               `json:"not_run_but_ran"`
	RecoveryS   float64           `json:"recovery_s"`
	Reasons     map[string]uint64 `json:"reasons"`
}

func (f *flags) report(rec *load.Recorder, runs *load.Runs) error {
	sum := rec.Sum()
	ms := func(q float64) float64 { return float64(rec.Quantile(q).Microseconds()) / 1000 }
	s := summary{
		Offered: sum.Offered, Whole: sum.Whole, NotRun: sum.NotRun, Failed: sum.Failed,
		Unknown: sum.Unknown, Wrong: sum.Wrong, Sends: sum.Sends,
		GoodputPerS: float64(sum.Whole) / f.duration.Seconds(),
		P50Ms:       ms(50), P99Ms: ms(99), MaxMs: ms(100),
		RunsMost: runs.Most, Runs: runs.Total, Twice: len(runs.Twice), Liars: len(runs.Liars),
		RecoveryS: rec.Recovery(f.surgeTo, f.duration).Seconds(),
		Reasons:   rec.Reasons(),
	}
	if f.json {
		return json.NewEncoder(os.Stdout).Encode(s)
	}
	s.print(f.duration)
	if s.Wrong+uint64(s.Twice)+uint64(s.Liars) > 0 {
		return fmt.Errorf("wrong=%d twice=%d liars=%d", s.Wrong, s.Twice, s.Liars)
	}
	return nil
}

func (s summary) print(d time.Duration) {
	fmt.Printf("offered=%d whole=%d notrun=%d failed=%d unknown=%d wrong=%d sends=%d duration=%s\n",
		s.Offered, s.Whole, s.NotRun, s.Failed, s.Unknown, s.Wrong, s.Sends, d)
	fmt.Printf("goodput=%.1f/s p50=%.2fms p99=%.2fms max=%.2fms\n", s.GoodputPerS, s.P50Ms, s.P99Ms, s.MaxMs)
	fmt.Printf("runs=%d most_per_action=%d twice=%d liars=%d recovery=%.1fs\n", s.Runs, s.RunsMost, s.Twice, s.Liars, s.RecoveryS)
	for reason, n := range s.Reasons {
		fmt.Printf("reason %s=%d\n", reason, n)
	}
}
