package main

import (
	"fmt"
	"image/color"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"sycamorespread.dev/runlog"
)

const (
	plotWidth = 26 * vg.Centimeter
	// minPanelHeight is the least height of each of the two panels, rowHeight that of a row of faults.
	minPanelHeight = 9 * vg.Centimeter
	rowHeight      = 0.45 * vg.Centimeter
	// plotMargin is the space around the panels.
	plotMargin = 0.4 * vg.Centimeter
	// minFaultWidth is the width at which a momentary fault is drawn.
	minFaultWidth = 100 * time.Millisecond
)

// PlotFormats are the formats of the plots, which are also their file name extensions.
var PlotFormats = []string{"png", "svg"}

// series is one line of the plot. The colours are distinct for colour-blind readers.
type series struct {
	name  string
	color color.RGBA
	dash  []vg.Length
	value func(runlog.Counts) uint64
}

var allSeries = []series{
	{"served", color.RGBA{G: 114, B: 178, A: 255}, nil, func(c runlog.Counts) uint64 { return c.Served }},
	{"shed", color.RGBA{R: 230, G: 159, A: 255}, nil, func(c runlog.Counts) uint64 { return c.Shed }},
	{"late", color.RGBA{R: 204, G: 121, B: 167, A: 255}, []vg.Length{4, 2}, func(c runlog.Counts) uint64 { return c.Late }},
	{"lost", color.RGBA{R: 192, G: 40, B: 20, A: 255}, []vg.Length{1.5, 1.5}, func(c runlog.Counts) uint64 { return c.Lost }},
}

var (
	faultShade = color.RGBA{R: 225, G: 225, B: 225, A: 255}
	faultColor = color.RGBA{R: 120, G: 120, B: 120, A: 255}
	boundColor = color.RGBA{G: 158, B: 115, A: 255}
)

// PlotRun plots a run: its requests by second with the faults shaded, and below them the
// faults by name.
func PlotRun(w io.Writer, run *runlog.Run, format string) error {
	names := faultNames(run)
	height := max(minPanelHeight, font.Length(len(names))*rowHeight)
	c, err := draw.NewFormattedCanvas(plotWidth, 2*height, format)
	if err != nil {
		return errors.Wrap(err, "create the canvas")
	}
	requests, err := requestPanel(run)
	if err != nil {
		return err
	}
	faults, err := faultPanel(run, names)
	if err != nil {
		return err
	}
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadTop: plotMargin, PadBottom: plotMargin, PadLeft: plotMargin, PadRight: plotMargin, PadY: plotMargin}
	panels := [][]*plot.Plot{{requests}, {faults}}
	for i, row := range plot.Align(panels, tiles, draw.New(c)) {
		panels[i][0].Draw(row[0])
	}
	_, err = c.WriteTo(w)
	return errors.Wrap(err, "encode the plot")
}

// newPanel returns an empty plot over the seconds of a run.
func newPanel(run *runlog.Run) *plot.Plot {
	p := plot.New()
	p.X.Min, p.X.Max = 0, float64(len(run.Seconds))
	p.X.Label.Text = "seconds from the start of the traffic"
	p.X.Tick.Marker = secondTicks(len(run.Seconds))
	return p
}

// secondTicks returns a tick for each second, with labels for about ten of them.
func secondTicks(seconds int) plot.ConstantTicks {
	const labels, step = 10, 5
	every := step * max(1, (seconds+labels*step/2)/(labels*step))
	ticks := make(plot.ConstantTicks, 0, seconds+1)
	for i := range seconds + 1 {
		t := plot.Tick{Value: float64(i)}
		if i%every == 0 {
			t.Label = strconv.Itoa(i)
		}
		ticks = append(ticks, t)
	}
	return ticks
}

func requestPanel(run *runlog.Run) (*plot.Plot, error) {
	p := newPanel(run)
	p.Title.Text = fmt.Sprintf("%s, seed %d", run.Name, run.Seed)
	p.Y.Label.Text = "requests ended per second"
	p.Y.Min, p.Y.Max = 0, maxRequests(run)
	p.Legend.Top, p.Legend.Padding = true, vg.Points(2)
	p.Legend.XOffs = -plotMargin
	for i, f := range run.Faults {
		box, err := newBox(f, p.Y.Min, p.Y.Max, faultShade)
		if err != nil {
			return nil, err
		}
		p.Add(box)
		if i == 0 {
			p.Legend.Add("fault active", box)
		}
	}
	for _, s := range allSeries {
		points := make(plotter.XYs, 0, len(run.Seconds)+1)
		for i, c := range run.Seconds {
			points = append(points, plotter.XY{X: float64(i), Y: float64(s.value(c))})
		}
		last := points[len(points)-1]
		points = append(points, plotter.XY{X: last.X + 1, Y: last.Y})
		if err := addLine(p, s.name, points, draw.LineStyle{Color: s.color, Width: vg.Points(1.5), Dashes: s.dash}); err != nil {
			return nil, err
		}
	}
	return p, addBound(p, run)
}

// addBound adds the line that the last seconds must reach, and none if no second is before the first fault.
func addBound(p *plot.Plot, run *runlog.Run) error {
	first := run.Verdict().First
	if first.Seconds() == 0 {
		return nil
	}
	bound := runlog.MinRatio * first.Rate()
	name := fmt.Sprintf("%.2f of what the first %d s serve", runlog.MinRatio, first.Seconds())
	return addLine(p, name, plotter.XYs{{X: 0, Y: bound}, {X: p.X.Max, Y: bound}}, draw.LineStyle{Color: boundColor, Width: vg.Points(0.8), Dashes: []vg.Length{6, 3}})
}

func addLine(p *plot.Plot, name string, points plotter.XYs, style draw.LineStyle) error {
	l, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrapf(err, "plot %s", name)
	}
	l.LineStyle, l.StepStyle = style, plotter.PostStep
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// maxRequests returns the upper end of the axis, with room for the legend above the lines.
func maxRequests(run *runlog.Run) float64 {
	const headroom = 1.9
	most := uint64(1)
	for _, c := range run.Seconds {
		most = max(most, c.Served, c.Shed, c.Late, c.Lost)
	}
	return headroom * float64(most)
}

// faultPanel plots the faults as bars, with a row for each name.
func faultPanel(run *runlog.Run, names []string) (*plot.Plot, error) {
	p := newPanel(run)
	p.Y.Label.Text = "fault"
	p.Y.Min, p.Y.Max = -0.5, max(1, float64(len(names)))-0.5
	ticks := make(plot.ConstantTicks, 0, len(names))
	for i, name := range names {
		ticks = append(ticks, plot.Tick{Value: rowOf(names, i), Label: name})
	}
	p.Y.Tick.Marker = ticks
	p.Y.Tick.LineStyle.Width = 0
	p.Add(plotter.NewGrid())
	for _, f := range run.Faults {
		row := rowOf(names, slices.Index(names, f.Name))
		box, err := newBox(f, row-0.35, row+0.35, faultColor)
		if err != nil {
			return nil, err
		}
		p.Add(box)
	}
	return p, nil
}

// rowOf returns the position of the i-th name; the first one is at the top.
func rowOf(names []string, i int) float64 {
	return float64(len(names) - 1 - i)
}

// faultNames returns the names of the faults in the order of their first starts.
func faultNames(run *runlog.Run) []string {
	var names []string
	for _, f := range run.Faults {
		if !slices.Contains(names, f.Name) {
			names = append(names, f.Name)
		}
	}
	return names
}

// newBox returns a filled box over the time of a fault.
func newBox(f runlog.Fault, low, high float64, fill color.Color) (*plotter.Polygon, error) {
	from, to := f.From.Seconds(), max(f.To, f.From+minFaultWidth).Seconds()
	box, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: low}, {X: to, Y: low}, {X: to, Y: high}, {X: from, Y: high}})
	if err != nil {
		return nil, errors.Wrapf(err, "plot the fault %s", f.Name)
	}
	box.Color, box.LineStyle.Width = fill, 0
	return box, nil
}
