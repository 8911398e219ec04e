package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"sycamorespread.dev/runlog"
)

const (
	// soakWarmupTime is the time in which all callers start, before their traffic is logged.
	soakWarmupTime = time.Second
	// soakBaselineTime is the time without faults at the start of the callers' traffic. What is served in it
	// is compared with what is served at the end of the run.
	soakBaselineTime       = runlog.Window * time.Second
	soakCallersPerInstance = 8
	// soakRequestInterval is the time between the starts of two requests of a caller. It is well above their
	// latency, so that the demand is the same throughout a run and what is served can be compared.
	soakRequestInterval = 100 * time.Millisecond
	// slowRequestInterval is that interval in a soak whose requests cost more.
	slowRequestInterval = 240 * time.Millisecond
	// stallTime is the delay of the soak's own timer from which it counts as a stall of the machine.
	stallTime = time.Second
)

// startCallers starts the callers of all instances. Their requests are spread over the interval.
func (s *soak) startCallers(ctx context.Context) {
	interval := soakRequestInterval
	if s.deep || s.long {
		interval = slowRequestInterval
	}
	total := time.Duration(len(s.instances) * soakCallersPerInstance)
	for i, n := range s.instances {
		for k := range soakCallersPerInstance {
			s.g.Go(func() error {
				sleepFor(ctx, interval*time.Duration(k*len(s.instances)+i)/total)
				return s.runCaller(ctx, n, fmt.Sprintf("c%d-%d", i, k), interval)
			})
		}
	}
}

// watchStalls prints each time in which the soak itself did not run. What is lost then says little
// about the daemons.
func (s *soak) watchStalls(ctx context.Context, began time.Time) error {
	for last := time.Now(); sleepFor(ctx, proxyPollInterval); last = time.Now() {
		if stall := time.Since(last); stall > stallTime {
			fmt.Printf("stall=%s at=%s\n", stall.Round(time.Millisecond), last.Sub(began).Round(time.Millisecond))
		}
	}
	return nil
}

// awaitTick waits for a tick, and returns false if ctx ends first.
func awaitTick(ctx context.Context, t *time.Ticker) bool {
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// writeSettings writes a settings file, unless it has the text already: a busy disk may take many seconds
// to truncate a file, which would delay the restart of a daemon.
func writeSettings(file, text string) error {
	if old, err := os.ReadFile(file); err == nil && string(old) == text {
		return nil
	}
	return errors.Wrap(os.WriteFile(file, []byte(text), 0o644), "write daemon settings")
}

// outcomeOf returns the outcome of a request that took some time, in the log of the run.
func outcomeOf(res callResult, took time.Duration) runlog.Outcome {
	switch {
	case res.status == http.StatusOK:
		return runlog.Served
	case res.status == http.StatusServiceUnavailable, res.status == http.StatusTooManyRequests:
		return runlog.Shed
	case res.status == http.StatusGatewayTimeout, res.status == 0 && took >= soakRequestTimeout:
		return runlog.Late
	}
	return runlog.Lost
}

// recordFault records the start of a fault, and returns a function that records its end.
func (s *soak) recordFault(name, target string) func() {
	end := s.log.StartFault(time.Now(), name, target)
	return func() { end(time.Now()) }
}

// name returns the name of the run in its log.
func (s *soak) name() string {
	switch {
	case s.deep:
		return "soak --deep"
	case s.long:
		return "soak --long"
	}
	return "soak"
}

// checkServed checks that the last seconds of the traffic serve as much as its first ones, and writes
// the log of the run.
func (s *soak) checkServed(end time.Time) {
	if now := time.Now(); now.Before(end) {
		end = now
	}
	run := s.log.Finish(end)
	v := run.Verdict()
	fmt.Println("soak:", v)
	if !v.IsComplete() || !v.Recovered() {
		s.recordViolation("served", "-", v.String())
	}
	if err := writeRun(s.c.opt.runFile, run); err != nil {
		s.recordViolation("log", "-", err.Error())
	}
}

// writeRun writes the log of a run, unless file is empty.
func writeRun(file string, run *runlog.Run) error {
	if file == "" {
		return nil
	}
	return run.WriteFile(file)
}
