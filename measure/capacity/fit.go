package capacity

import (
	"errors"
	"math"
)

// ErrFit means that points do not determine a line with an error.
var ErrFit = errors.New("capacity: need three points with different x")

// Point is one measured value.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is the least-squares line through points. SlopeError and InterceptError
// are standard errors.
type Fit struct {
	Slope          float64 `json:"slope"`
	SlopeError     float64 `json:"slope_error"`
	Intercept      float64 `json:"intercept"`
	InterceptError float64 `json:"intercept_error"`
	R2             float64 `json:"r2"`
}

// At returns the line's value at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// minPoints is the least number of points that leaves a degree of freedom for
// the error of a line.
const minPoints = 3

// Line fits a line to the points.
func Line(points []Point) (Fit, error) {
	n := float64(len(points))
	if len(points) < minPoints {
		return Fit{}, ErrFit
	}
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	var xx, xy, yy float64
	for _, p := range points {
		xx += (p.X - meanX) * (p.X - meanX)
		xy += (p.X - meanX) * (p.Y - meanY)
		yy += (p.Y - meanY) * (p.Y - meanY)
	}
	if xx == 0 {
		return Fit{}, ErrFit
	}
	f := Fit{Slope: xy / xx}
	f.Intercept = meanY - f.Slope*meanX
	f.addErrors(points, n, meanX, xx, yy)
	return f, nil
}

// addErrors sets R2 and the standard errors; xx and yy are the sums of squared
// distances from the means.
func (f *Fit) addErrors(points []Point, n, meanX, xx, yy float64) {
	var residual float64
	for _, p := range points {
		d := p.Y - f.At(p.X)
		residual += d * d
	}
	f.R2 = 1
	if yy > 0 {
		f.R2 = 1 - residual/yy
	}
	variance := residual / (n - 2)
	f.SlopeError = math.Sqrt(variance / xx)
	f.InterceptError = math.Sqrt(variance * (1/n + meanX*meanX/xx))
}
