// Package graph draws line charts as PNG images.
package graph

import (
	"bytes"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a plot's image.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

type (
	// Point is one point of a line.
	Point struct{ X, Y float64 }

	// Line is a named line of a plot.
	Line struct {
		Name   string
		Points []Point
	}

	// Plot is a line chart. Name is part of its file name; X and Y are the labels of
	// the axes.
	Plot struct {
		Name, Title, X, Y string
		Lines             []Line
	}
)

// PNG returns the plot as a PNG image.
func (p Plot) PNG() ([]byte, error) {
	chart := plot.New()
	chart.Title.Text = p.Title
	chart.X.Label.Text = p.X
	chart.Y.Label.Text = p.Y
	chart.Legend.Top = true
	chart.Add(plotter.NewGrid())
	for i, l := range p.Lines {
		line, err := plotter.NewLine(l.xys())
		if err != nil {
			return nil, errors.Annotatef(err, "line %s", l.Name)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		chart.Add(line)
		chart.Legend.Add(l.Name, line)
	}
	writer, err := chart.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return nil, errors.Trace(err)
	}
	var b bytes.Buffer
	_, err = writer.WriteTo(&b)
	return b.Bytes(), errors.Trace(err)
}

func (l Line) xys() plotter.XYs {
	points := make(plotter.XYs, 0, len(l.Points))
	for _, p := range l.Points {
		points = append(points, plotter.XY(p))
	}
	return points
}
