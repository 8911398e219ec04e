package main_test

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"image"
	"image/color"
	_ "image/png"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sycamorespread.dev/runlog"
	sycload "sycamorespread.dev/sycload"
)

// runWith returns a run with n kinds of faults, whose last seconds serve a number of requests each.
func runWith(n int, last uint64) *runlog.Run {
	run := &runlog.Run{Name: "soak", Seed: 3, Began: time.Date(2026, 5, 4, 10, 0, 0, 0, time.UTC)}
	for i := range 20 {
		c := runlog.Counts{Served: 600}
		switch {
		case i >= 15:
			c.Served = last
		case i >= 5 && i < 10:
			c = runlog.Counts{Served: 200, Shed: 150, Late: 20, Lost: 90}
		}
		run.Seconds = append(run.Seconds, c)
	}
	for i := range n {
		run.Faults = append(run.Faults, runlog.Fault{Name: fmt.Sprintf("fault-%d", i), Target: "upper-2", From: 5200 * time.Millisecond, To: time.Duration(5200+100*i) * time.Millisecond})
	}
	return run
}

func write(t *testing.T, run *runlog.Run) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "soak-3.run")
	if err := run.WriteFile(file); err != nil {
		t.Fatal(err)
	}
	return file
}

// checkPlots decodes the plots in a folder, and returns the PNG.
func checkPlots(t *testing.T, dir string) image.Image {
	t.Helper()
	f, err := os.Open(filepath.Join(dir, "soak-3.png"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	img, format, err := image.Decode(f)
	if err != nil || format != "png" {
		t.Fatalf("format %q: %v", format, err)
	}
	b, err := os.ReadFile(filepath.Join(dir, "soak-3.svg"))
	if err != nil {
		t.Fatal(err)
	}
	d, elements := xml.NewDecoder(bytes.NewReader(b)), 0
	for {
		tok, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if e, ok := tok.(xml.StartElement); ok {
			if elements == 0 && e.Name.Local != "svg" {
				t.Errorf("the root of the SVG is %q", e.Name.Local)
			}
			elements++
		}
	}
	for _, text := range []string{"served", "shed", "late", "lost", "requests ended per second", "seconds from the start of the traffic"} {
		if !bytes.Contains(b, []byte(">"+text+"<")) {
			t.Errorf("the SVG has no text %q", text)
		}
	}
	return img
}

// isShaded reports whether an image has an area of the colour of faults. Text has single pixels of it.
func isShaded(img image.Image) bool {
	const least = 1000
	want := color.RGBA{R: 225, G: 225, B: 225, A: 255}
	n := 0
	for y := img.Bounds().Min.Y; y < img.Bounds().Max.Y; y++ {
		for x := img.Bounds().Min.X; x < img.Bounds().Max.X; x++ {
			if color.RGBAModel.Convert(img.At(x, y)) == want {
				n++
			}
		}
	}
	return n >= least
}

func TestReport(t *testing.T) {
	for last, verdict := range map[uint64]string{600: "recovered", 582: "recovered", 581: "short"} {
		out := filepath.Join(t.TempDir(), "new", "folder")
		var b strings.Builder
		if err := sycload.ReportRun(&b, write(t, runWith(3, last)), out); err != nil {
			t.Fatal(err)
		}
		img := checkPlots(t, out)
		if !isShaded(img) {
			t.Error("the plot shades no fault")
		}
		lines := strings.Split(strings.TrimSpace(b.String()), "\n")
		if got := lines[len(lines)-1]; !strings.HasPrefix(got, "verdict="+verdict+" ") {
			t.Errorf("%d a second at the end: %s", last, got)
		}
		row := strings.Fields(lines[1+1+5])
		if want := "5 200 150 20 90 fault-0@upper-2 fault-1@upper-2 fault-2@upper-2"; strings.Join(row, " ") != want {
			t.Errorf("got row %v, want %s", row, want)
		}
	}
}

func TestPlotsWithoutFaultsAndWithMany(t *testing.T) {
	heights := map[int]int{}
	for _, n := range []int{0, 1, 40} {
		dir := t.TempDir()
		if err := sycload.ReportRun(io.Discard, write(t, runWith(n, 600)), dir); err != nil {
			t.Fatal(err)
		}
		img := checkPlots(t, dir)
		if got := isShaded(img); got != (n > 0) {
			t.Errorf("%d faults: shaded=%t", n, got)
		}
		heights[n] = img.Bounds().Dy()
	}
	if heights[40] <= heights[1] {
		t.Errorf("heights %v: the rows of 40 faults have no room", heights)
	}
}

func TestPlotsOfExtremeRuns(t *testing.T) {
	for name, seconds := range map[string][]runlog.Counts{"idle": make([]runlog.Counts, 3), "one second": {{Served: 1}}, "long": make([]runlog.Counts, 3600)} {
		for _, format := range sycload.PlotFormats {
			run := &runlog.Run{Name: name, Seconds: seconds, Faults: []runlog.Fault{{Name: "kill", To: 2 * time.Hour}}}
			if err := sycload.PlotRun(io.Discard, run, format); err != nil {
				t.Errorf("%s as %s: %v", name, format, err)
			}
		}
	}
}

func TestInvalidLogIsReportedUpToTheInvalidLine(t *testing.T) {
	file := write(t, runWith(1, 600))
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.SplitAfter(text, []byte("\n"))
	if err := os.WriteFile(file, bytes.Join(lines[:9], nil), 0o600); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	var b strings.Builder
	err = sycload.ReportRun(&b, file, dir)
	var bad *runlog.LineError
	if !errors.As(err, &bad) || bad.File != file || bad.Line != 10 {
		t.Fatalf("got %v", err)
	}
	if strings.Contains(b.String(), "verdict=") || !strings.Contains(b.String(), "\n       7 ") {
		t.Errorf("got %s", b.String())
	}
	checkPlots(t, dir)
}

func TestNothingToReport(t *testing.T) {
	empty := filepath.Join(t.TempDir(), "empty.run")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	none := write(t, &runlog.Run{Name: "soak"})
	for file, want := range map[string]string{empty: empty + ":1: the file is empty", none: none + ": the run has no whole second"} {
		dir := t.TempDir()
		if err := sycload.ReportRun(io.Discard, file, dir); err == nil || err.Error() != want {
			t.Errorf("got %v, want %s", err, want)
		}
		if left, err := os.ReadDir(dir); err != nil || len(left) > 0 {
			t.Errorf("%v was written, %v", left, err)
		}
	}
	if err := sycload.ReportRun(io.Discard, empty+".missing", t.TempDir()); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v", err)
	}
}
