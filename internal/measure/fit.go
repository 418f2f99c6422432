// Package measure determines how the cost of each part of a node grows with one size: it measures the cost at several
// sizes and fits a line through the points. docs/CAPACITY.md multiplies the slopes by the planned size.
package measure

import (
	"math"
	"slices"
)

// Line is a least-squares line through points.
type Line struct {
	Slope     float64
	Intercept float64
	// Residual is the root mean square distance of the points from the line, as a share of their mean value. A large
	// residual means that the cost does not grow linearly.
	Residual float64
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Fit returns the least-squares line. Without two different values in xs, the slope is 0 and the intercept is the mean.
func Fit(xs, ys []float64) Line {
	n := min(len(xs), len(ys))
	if n == 0 {
		return Line{}
	}
	meanX, meanY := mean(xs[:n]), mean(ys[:n])
	var sxx, sxy float64
	for i := range n {
		sxx += (xs[i] - meanX) * (xs[i] - meanX)
		sxy += (xs[i] - meanX) * (ys[i] - meanY)
	}
	l := Line{Intercept: meanY}
	if sxx > 0 {
		l.Slope = sxy / sxx
		l.Intercept = meanY - l.Slope*meanX
	}
	var squares float64
	for i := range n {
		d := ys[i] - l.At(xs[i])
		squares += d * d
	}
	if meanY != 0 {
		l.Residual = math.Sqrt(squares/float64(n)) / math.Abs(meanY)
	}
	return l
}

func mean(values []float64) float64 {
	var sum float64
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// median returns the median, which one disturbed measurement changes less than it changes the mean.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	if n == 0 {
		return 0
	}
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}
