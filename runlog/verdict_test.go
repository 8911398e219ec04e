package runlog_test

import (
	"strings"
	"testing"
	"time"

	"sycamorespread.dev/runlog"
)

// runOf returns a run that serves the given numbers by second, with a fault from one time to another.
func runOf(from, to time.Duration, served ...uint64) *runlog.Run {
	run := &runlog.Run{Faults: []runlog.Fault{{Name: "kill", From: from, To: to}}}
	for _, n := range served {
		run.Seconds = append(run.Seconds, runlog.Counts{Served: n})
	}
	return run
}

func TestVerdict(t *testing.T) {
	five, seven := 5*time.Second, 7*time.Second
	for name, c := range map[string]struct {
		run      *runlog.Run
		recovers bool
		complete bool
		back     int
		word     string
	}{
		"recovers":             {runOf(five, seven, 100, 100, 100, 100, 100, 0, 0, 50, 99, 98, 99, 100, 101), true, true, 1, "recovered"},
		"exactly the bound":    {runOf(five, seven, 100, 100, 100, 100, 100, 0, 0, 97, 97, 97, 97, 97), true, true, 0, "recovered"},
		"one below the bound":  {runOf(five, seven, 100, 100, 100, 100, 100, 0, 0, 97, 97, 97, 97, 96), false, true, 0, "short"},
		"never back":           {runOf(five, seven, 100, 100, 100, 100, 100, 0, 0, 90, 90, 90, 90, 90), false, true, -1, "short"},
		"back and lost again":  {runOf(five, seven, 100, 100, 100, 100, 100, 0, 0, 100, 100, 80, 100, 100), false, true, 0, "short"},
		"fault until the end":  {runOf(five, 12*time.Second, 100, 100, 100, 100, 100, 0, 0, 100, 100, 100, 100, 100), false, false, -1, "unknown"},
		"fault past the end":   {runOf(five, 99*time.Second, 100, 100, 100, 100, 100, 0, 0, 100, 100, 100, 100, 100), false, false, -1, "unknown"},
		"fault at the start":   {runOf(0, seven, 100, 100, 100, 100, 100, 0, 0, 100, 100, 100, 100, 100), false, false, -1, "unknown"},
		"serves nothing first": {runOf(five, seven, 0, 0, 0, 0, 0, 0, 0, 100, 100, 100, 100, 100), false, true, -1, "short"},
		// The second in which a fault starts or ends belongs to neither side.
		"within seconds":    {runOf(3900*time.Millisecond, 5001*time.Millisecond, 100, 100, 100, 1, 1, 1, 100, 98, 97), true, false, 0, "recovered"},
		"no fault":          {&runlog.Run{Seconds: []runlog.Counts{{Served: 10}, {Served: 10}}}, true, false, 0, "recovered"},
		"the same seconds":  {&runlog.Run{Seconds: []runlog.Counts{{Served: 9}, {Served: 9}, {Served: 9}, {Served: 9}, {Served: 9}, {Served: 9}}}, true, false, 0, "recovered"},
		"no second":         {&runlog.Run{}, false, false, -1, "unknown"},
		"only other counts": {&runlog.Run{Seconds: []runlog.Counts{{Shed: 10, Late: 3, Lost: 9}}}, false, false, -1, "short"},
	} {
		t.Run(name, func(t *testing.T) {
			v := c.run.Verdict()
			if v.Recovered() != c.recovers || v.IsComplete() != c.complete || v.Back != c.back || !strings.HasPrefix(v.String(), "verdict="+c.word+" ") {
				t.Errorf("recovered=%t complete=%t back=%d: %s", v.Recovered(), v.IsComplete(), v.Back, v)
			}
			if strings.Contains(v.String(), "\n") || strings.Contains(v.String(), "NaN") {
				t.Errorf("%q is not one plain line", v)
			}
		})
	}
}

func TestVerdictSpansAllFaults(t *testing.T) {
	run := runOf(8*time.Second, 9*time.Second, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10)
	run.Faults = append(run.Faults, runlog.Fault{Name: "pause", From: 2500 * time.Millisecond, To: 12 * time.Second}, runlog.Fault{Name: "hup", From: 3 * time.Second, To: 3 * time.Second})
	v := run.Verdict()
	if v.First.To != 2 || v.After.From != 12 || v.Last.From != 12 || v.After.Counts.Served != 40 {
		t.Errorf("%+v", v)
	}
}
