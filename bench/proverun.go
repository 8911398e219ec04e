package main

import (
	"fmt"
	"math"
	"time"

	"sycamorespread.dev/load"
)

// writeRun logs the load and the faults of a run, whose load ended after duration or was broken off.
func (p *prover) writeRun(rec *load.Recorder, began time.Time, duration time.Duration) error {
	run := p.log.Finish(began.Add(min(duration, time.Since(began))))
	for i := range run.Seconds {
		at := time.Duration(i) * time.Second
		run.Seconds[i] = rec.Ended(at, at+time.Second)
	}
	run.Rest = rec.Ended(time.Duration(len(run.Seconds))*time.Second, math.MaxInt64)
	fmt.Println("prove:", run.Verdict())
	return writeRun(p.c.opt.runFile, run)
}
