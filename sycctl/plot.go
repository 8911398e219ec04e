package main

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"sycamorespread.dev/burn"
	"sycamorespread.dev/sycapb"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// plotBurnRate plots the burn rate of each method over the long window to a PNG file.
func plotBurnRate(r *sycapb.BurnReply, file string) error {
	p := plot.New()
	p.Title.Text = "Service-level burn"
	p.X.Label.Text = "minutes ago"
	p.Y.Label.Text = "burn rate"
	var lines []any
	for _, row := range r.Rows {
		lines = append(lines, row.Service+"."+row.Method, burnLine(r, row))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plot the burn rate: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("write the plot to %s: %w", file, err)
	}
	return nil
}

func burnLine(r *sycapb.BurnReply, row *sycapb.BurnRow) plotter.XYs {
	const minute = 60_000.0
	n := len(row.GoodSeries)
	points := make(plotter.XYs, 0, n)
	for i := range n {
		age := float64(i-n+1) * float64(r.StepMs) / minute
		points = append(points, plotter.XY{X: age, Y: burn.Rate(row.GoodSeries[i], row.BadSeries[i], row.Objective)})
	}
	return points
}
