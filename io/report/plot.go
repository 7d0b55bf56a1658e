package report

import (
	"image/color"
	"io"
	"math"
	"slices"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"sassafrasward/core/replay"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 20 * vg.Centimeter
	lineWidth  = vg.Length(1.5) // points
)

// Colours that stay apart for colour-blind readers.
var (
	blue   = color.RGBA{R: 0x1f, G: 0x5a, B: 0xa6, A: 0xff}
	orange = color.RGBA{R: 0xd9, G: 0x6b, B: 0x0b, A: 0xff}
	grey   = color.RGBA{R: 0x70, G: 0x70, B: 0x70, A: 0xff}
)

// Plot writes a PNG with arrivals, in-time answers, waiting calls and the preset in force
// over the time of the run.
func WritePlot(out io.Writer, r *replay.Result) (err error) {
	defer func() { err = Error.Wrap(err) }()
	list := bins(r)
	panels := [][]*plot.Plot{{plot.New()}, {plot.New()}, {plot.New()}}
	if err := rates(panels[0][0], r, list); err != nil {
		return err
	}
	if err := waiting(panels[1][0], list); err != nil {
		return err
	}
	if err := presets(panels[2][0], r, list); err != nil {
		return err
	}
	for _, row := range panels {
		row[0].X.Min, row[0].X.Max = 0, float64(len(list))
		row[0].X.Tick.Marker = plot.TickerFunc(wholeTicks)
	}
	image := vgimg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadX: vg.Millimeter, PadY: 3 * vg.Millimeter, PadTop: 2 * vg.Millimeter, PadRight: 4 * vg.Millimeter}
	for i, row := range plot.Align(panels, tiles, draw.New(image)) {
		panels[i][0].Draw(row[0])
	}
	_, err = vgimg.PngCanvas{Canvas: image}.WriteTo(out)
	return err
}

// addLine draws a stepped line over the seconds.
func addLine(p *plot.Plot, name string, c color.Color, list []bin, value func(bin) float64) error {
	points := make(plotter.XYs, len(list))
	for i, b := range list {
		points[i] = plotter.XY{X: float64(i), Y: value(b)}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.StepStyle = plotter.PostStep
	line.Color, line.Width = c, lineWidth
	p.Add(line)
	if name != "" {
		p.Legend.Add(name, line)
	}
	return nil
}

func rates(p *plot.Plot, r *replay.Result, list []bin) error {
	p.Title.Text = "trace " + r.Trace().Name() + ", policy " + r.Variant()
	p.Y.Label.Text = "requests/s"
	p.Y.Min = 0
	p.Y.Tick.Marker = plot.TickerFunc(wholeTicks)
	p.Legend.Top, p.Legend.XOffs = true, -vg.Millimeter
	p.Add(plotter.NewGrid())
	if err := addLine(p, "arrivals", grey, list, func(b bin) float64 { return float64(b.arrivals) }); err != nil {
		return err
	}
	if err := addLine(p, "answers in time", blue, list, func(b bin) float64 { return float64(b.answers) }); err != nil {
		return err
	}
	w := r.Trace().Peak()
	if w.Length() == 0 {
		return nil
	}
	room, _ := r.Trace().Capacity(w)
	line, err := plotter.NewLine(plotter.XYs{{X: w.From().Seconds(), Y: room}, {X: w.To().Seconds(), Y: room}})
	if err != nil {
		return err
	}
	line.Color, line.Width, line.Dashes = orange, lineWidth, []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(line)
	p.Legend.Add("capacity in the peak", line)
	return nil
}

// wholeTicks returns at most about 10 ticks at multiples of 1, 2 or 5 times a power of ten.
func wholeTicks(low, high float64) (ticks []plot.Tick) {
	const most = 10
	step := 1.0
	for i := 0; (high-low)/step > most; i++ {
		step *= []float64{2, 2.5, 2}[i%3]
	}
	for v := math.Ceil(low/step) * step; v <= high; v += step {
		ticks = append(ticks, plot.Tick{Value: v, Label: strconv.FormatFloat(v, 'f', -1, 64)})
	}
	return ticks
}

func waiting(p *plot.Plot, list []bin) error {
	p.Y.Label.Text = "waiting calls"
	p.Y.Min = 0
	p.Y.Tick.Marker = plot.TickerFunc(wholeTicks)
	p.Add(plotter.NewGrid())
	return addLine(p, "", blue, list, func(b bin) float64 { return float64(b.queue) })
}

func presets(p *plot.Plot, r *replay.Result, list []bin) error {
	names := r.Trace().Document().PresetNames()
	p.Y.Label.Text = "preset"
	p.X.Label.Text = "time (s)"
	p.NominalY(names...)
	p.Y.Min, p.Y.Max = -0.5, float64(len(names))-0.5
	return addLine(p, "", orange, list, func(b bin) float64 { return float64(slices.Index(names, b.preset)) })
}
