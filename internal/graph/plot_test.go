package graph

import (
	"bytes"
	"image/png"
	"testing"
)

func TestPlotPNG(t *testing.T) {
	p := Plot{Title: "Latency", Lines: []Line{{Name: "a", Points: []Point{{0, 1}, {1, 2}}}, {Name: "b", Points: []Point{{0, 2}, {1, 1}}}}}
	data, err := p.PNG()
	if err != nil {
		t.Fatal(err)
	}
	size, err := png.DecodeConfig(bytes.NewReader(data))
	if err != nil || size.Width < 400 {
		t.Errorf("size %+v, %v", size, err)
	}
	again, err := p.PNG()
	if err != nil || !bytes.Equal(data, again) {
		t.Errorf("the same plot gave a different image, %v", err)
	}
}
