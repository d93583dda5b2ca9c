// Package graph draws lines as PNG pictures.
package graph

import (
	"bytes"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a plot.
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

	// Plot is a picture of lines. Name is part of its file's name.
	Plot struct {
		Name, Title, X, Y string
		Lines             []Line
	}
)

// PNG draws the plot.
func (p Plot) PNG() ([]byte, error) {
	picture := plot.New()
	picture.Title.Text = p.Title
	picture.X.Label.Text = p.X
	picture.Y.Label.Text = p.Y
	picture.Legend.Top = true
	picture.Add(plotter.NewGrid())
	for i, l := range p.Lines {
		line, err := plotter.NewLine(l.xys())
		if err != nil {
			return nil, errors.Annotatef(err, "line %s", l.Name)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		picture.Add(line)
		picture.Legend.Add(l.Name, line)
	}
	writer, err := picture.WriterTo(plotWidth, plotHeight, "png")
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
