package capacity

import (
	"fmt"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// plotted are the series of the plot, by row.
var plotted = [][]string{
	{"execute_entry", "execute_owner", "daemon_query"},
	{"panel_cpu", "full_exchange_bytes", "state_heap"},
	{"idle_reducer", "bundle_bytes", "spread_last"},
}

// Size of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 18 * vg.Centimeter
	plotDPI    = 72
	labelSize  = font.Length(8)
)

// Plot draws points and fits of the main series as a PNG.
func (r *Report) Plot(path string) error {
	plots := make([][]*plot.Plot, len(plotted))
	for i, row := range plotted {
		plots[i] = make([]*plot.Plot, len(row))
		for j, name := range row {
			p, err := r.plotOne(name)
			if err != nil {
				return err
			}
			plots[i][j] = p
		}
	}
	img := vgimg.NewWith(vgimg.UseWH(plotWidth, plotHeight), vgimg.UseDPI(plotDPI))
	tiles := draw.Tiles{Rows: len(plotted), Cols: len(plotted[0]), PadX: vg.Centimeter, PadY: vg.Centimeter}
	canvases := plot.Align(plots, tiles, draw.New(img))
	for i := range plots {
		for j := range plots[i] {
			plots[i][j].Draw(canvases[i][j])
		}
	}
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(f); err != nil {
		f.Close()
		return fmt.Errorf("capacity: write plot: %w", err)
	}
	return f.Close()
}

func (r *Report) plotOne(name string) (*plot.Plot, error) {
	s, err := r.series(name)
	if err != nil {
		return nil, err
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, R2 %.3f", name, s.Fit.R2)
	p.X.Label.Text, p.Y.Label.Text = s.X, s.Y
	for _, style := range []*font.Font{&p.Title.TextStyle.Font, &p.X.Label.TextStyle.Font, &p.Y.Label.TextStyle.Font} {
		style.Size = labelSize
	}
	points := make(plotter.XYs, len(s.Points))
	for i, q := range s.Points {
		points[i] = plotter.XY{X: q.X, Y: q.Y}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil, fmt.Errorf("capacity: plot %s: %w", name, err)
	}
	p.Add(scatter, plotter.NewFunction(s.Fit.At))
	return p, nil
}
