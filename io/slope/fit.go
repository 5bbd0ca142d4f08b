package slope

import (
	"errors"
	"math"
)

// Fit is the least-squares line through points.
type Fit struct {
	Slope     float64 `json:"slope"`     // cost for each one more of the size
	Intercept float64 `json:"intercept"` // cost at size 0
	Residual  float64 `json:"residual"`  // root mean square distance, in the cost's unit
}

// Line fits a line through points. It fails for fewer than three points, where
// no residual would show a cost that does not grow with a line, and for points
// of one size.
func Line(points []Point) (Fit, error) {
	if len(points) < 3 {
		return Fit{}, errors.New("a fit needs three points or more")
	}
	n := float64(len(points))
	var mx, my float64
	for _, p := range points {
		mx += p.X / n
		my += p.Y / n
	}
	var sxx, sxy float64
	for _, p := range points {
		sxx += (p.X - mx) * (p.X - mx)
		sxy += (p.X - mx) * (p.Y - my)
	}
	if sxx == 0 {
		return Fit{}, errors.New("all points have the same size")
	}
	f := Fit{Slope: sxy / sxx}
	f.Intercept = my - f.Slope*mx
	var sum float64
	for _, p := range points {
		d := p.Y - f.Intercept - f.Slope*p.X
		sum += d * d
	}
	f.Residual = math.Sqrt(sum / n)
	return f, nil
}
