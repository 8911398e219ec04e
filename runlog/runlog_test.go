package runlog_test

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"sycamorespread.dev/runlog"
)

var began = time.Date(2026, 5, 4, 10, 0, 0, 0, time.UTC)

const (
	runLine   = `{"kind":"run","name":"soak","seed":7,"began":"2026-05-04T10:00:00Z"}`
	second0   = `{"kind":"second","at":0,"served":640,"shed":3,"late":0,"lost":1}`
	second1   = `{"kind":"second","at":1,"served":0,"shed":0,"late":2,"lost":0}`
	faultLine = `{"kind":"fault","name":"kill","target":"upper-2","from":300,"to":1200}`
	endLine   = `{"kind":"end","seconds":2,"faults":1,"served":1,"shed":0,"late":0,"lost":4}`
)

func TestWrittenRunIsReadBack(t *testing.T) {
	want := &runlog.Run{
		Name: "soak --deep", Seed: 21, Began: began,
		Seconds: []runlog.Counts{{Served: 9, Shed: 1}, {}, {Late: 3, Lost: 2}},
		Faults:  []runlog.Fault{{Name: "a<b", Target: "-", From: 0, To: 0}, {Name: "kill", Target: "upper-2", From: 1500 * time.Millisecond, To: 2 * time.Second}},
		Rest:    runlog.Counts{Late: 1},
	}
	file := filepath.Join(t.TempDir(), "x.run")
	if err := want.WriteFile(file); err != nil {
		t.Fatal(err)
	}
	got, err := runlog.ReadFile(file)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, %v", got, err)
	}
}

func TestVerdictOfTheFileIsThatOfTheRun(t *testing.T) {
	// The fault ends within the first millisecond of a second.
	run := &runlog.Run{Began: began, Seconds: make([]runlog.Counts, 9), Faults: []runlog.Fault{{Name: "kill", From: 3 * time.Second, To: 5*time.Second + time.Nanosecond}}}
	for i := range run.Seconds {
		run.Seconds[i].Served = uint64(100 + i)
	}
	var b strings.Builder
	if err := run.Write(&b); err != nil {
		t.Fatal(err)
	}
	got, err := runlog.Read(strings.NewReader(b.String()))
	if err != nil || got.Verdict() != run.Verdict() {
		t.Fatalf("%s in place of %s, %v", got.Verdict(), run.Verdict(), err)
	}
}

func TestInvalidLogNamesFileAndLine(t *testing.T) {
	lines := func(l ...string) string { return strings.Join(l, "\n") + "\n" }
	for name, c := range map[string]struct {
		text    string
		line    int
		seconds int
		problem string
	}{
		"empty":              {"", 1, 0, "empty"},
		"empty line":         {"\n", 1, 0, "JSON"},
		"not JSON":           {lines(runLine, second0, "served 5"), 3, 1, "JSON"},
		"no run line":        {lines(second0, second1), 1, 0, `"run"`},
		"two run lines":      {lines(runLine, second0, runLine), 3, 1, `"run"`},
		"unknown kind":       {lines(runLine, `{"kind":"pause"}`), 2, 0, `unknown kind "pause"`},
		"gap":                {lines(runLine, second1), 2, 0, "second 1 in place of second 0"},
		"second twice":       {lines(runLine, second0, second0), 3, 1, "second 0 in place of second 1"},
		"missing field":      {lines(runLine, `{"kind":"second","at":0,"served":640,"late":0,"lost":1}`), 2, 0, "missing"},
		"unknown field":      {lines(runLine, strings.Replace(second0, "}", `,"odd":1}`, 1)), 2, 0, "unknown"},
		"field twice":        {lines(runLine, strings.Replace(second0, "}", `,"lost":1}`, 1)), 2, 0, "out of order"},
		"negative count":     {lines(runLine, strings.Replace(second0, "640", "-1", 1)), 2, 0, "served"},
		"two on a line":      {lines(runLine, second0+second1), 2, 0, "JSON"},
		"fault ends early":   {lines(runLine, strings.Replace(faultLine, "1200", "299", 1)), 2, 0, "from 300 ms to 299 ms"},
		"fault before start": {lines(runLine, strings.Replace(faultLine, "300", "-1", 1)), 2, 0, "from -1 ms"},
		"unnamed fault":      {lines(runLine, strings.Replace(faultLine, "kill", "", 1)), 2, 0, `fault ""`},
		"cut off":            {lines(runLine, second0, second1, faultLine), 5, 2, "end line is missing"},
		"cut in a line":      {runLine + "\n" + second0[:20], 2, 0, "JSON"},
		"second lost":        {lines(runLine, second0, faultLine, endLine), 4, 1, "2 seconds and 1 faults, the file has 1 and 1"},
		"fault lost":         {lines(runLine, second0, second1, endLine), 4, 2, "the file has 2 and 0"},
		"after the end":      {lines(runLine, second0, second1, faultLine, endLine, second0), 6, 2, "follows the end line"},
		"line too long":      {lines(runLine, second0, strings.Repeat("x", 2<<20)), 3, 1, "too long"},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "bad.run")
			if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			run, err := runlog.ReadFile(file)
			var bad *runlog.LineError
			if !errors.As(err, &bad) || bad.Line != c.line || bad.File != file || !strings.Contains(bad.Problem, c.problem) {
				t.Fatalf("got %v, want line %d with %q", err, c.line, c.problem)
			}
			if len(run.Seconds) != c.seconds {
				t.Errorf("%d seconds before the invalid line, want %d", len(run.Seconds), c.seconds)
			}
		})
	}
}

func TestMissingFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "none.run")
	if run, err := runlog.ReadFile(file); run != nil || !errors.Is(err, os.ErrNotExist) || !strings.Contains(err.Error(), file) {
		t.Fatalf("got %v, %v", run, err)
	}
}

func TestCompleteLog(t *testing.T) {
	run, err := runlog.Read(strings.NewReader(strings.Join([]string{runLine, second0, faultLine, second1, endLine}, "\n")))
	if err != nil || len(run.Seconds) != 2 || len(run.Faults) != 1 || run.Rest.Lost != 4 || run.Seed != 7 {
		t.Fatalf("got %+v, %v", run, err)
	}
}

func TestRecorder(t *testing.T) {
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	r := runlog.NewRecorder("soak", 1, began)
	endKill := r.StartFault(at(500), "kill", "a")
	r.StartFault(at(1500), "pause", "b")
	for ms, o := range map[int]runlog.Outcome{-1: runlog.Lost, 0: runlog.Served, 999: runlog.Shed, 1000: runlog.Late, 3100: runlog.Lost, 3600: runlog.Served} {
		r.Add(at(ms), o)
	}
	endKill(at(900))
	run := r.Finish(at(3500))
	want := []runlog.Counts{{Served: 1, Shed: 1}, {Late: 1}, {}}
	if !reflect.DeepEqual(run.Seconds, want) || run.Rest != (runlog.Counts{Lost: 1, Served: 1}) {
		t.Errorf("seconds %+v, rest %+v", run.Seconds, run.Rest)
	}
	if run.Faults[0].To != 900*time.Millisecond || run.Faults[1].To != 3500*time.Millisecond {
		t.Errorf("faults %+v", run.Faults)
	}
	if none := runlog.NewRecorder("soak", 1, began).Finish(at(2000)); len(none.Seconds) != 2 {
		t.Errorf("%d seconds without traffic, want 2", len(none.Seconds))
	}
}
