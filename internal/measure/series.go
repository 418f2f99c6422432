package measure

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strconv"
	"text/tabwriter"
)

// Series is one quantity, measured several times at each of several sizes.
type Series struct {
	Name   string
	Unit   string
	Size   string // name of the size that varies
	Points []Point
}

// Point holds the repeated measurements at one size.
type Point struct {
	Size   float64
	Values []float64
}

// Median returns the median of the repeated measurements.
func (p Point) Median() float64 { return median(p.Values) }

// Line returns the line fitted through the medians of the points.
func (s Series) Line() Line {
	var xs, ys []float64
	for _, p := range s.Points {
		xs = append(xs, p.Size)
		ys = append(ys, p.Median())
	}
	return Fit(xs, ys)
}

// table collects the series of one subject in the order in which they were first added.
type table struct {
	size   string
	series []*Series
}

func newTable(size string) *table { return &table{size: size} }

// add records one measurement. The measurements of a series must be added size by size.
func (t *table) add(size int, name, unit string, value float64) {
	i := slices.IndexFunc(t.series, func(s *Series) bool { return s.Name == name })
	if i < 0 {
		i = len(t.series)
		t.series = append(t.series, &Series{Name: name, Unit: unit, Size: t.size})
	}
	s := t.series[i]
	if n := len(s.Points); n == 0 || s.Points[n-1].Size != float64(size) {
		s.Points = append(s.Points, Point{Size: float64(size)})
	}
	last := &s.Points[len(s.Points)-1]
	last.Values = append(last.Values, value)
}

func (t *table) result() []Series {
	out := make([]Series, len(t.series))
	for i, s := range t.series {
		out[i] = *s
	}
	return out
}

// Print writes a table with the points, the range of values at each point, and the fitted line.
func Print(w io.Writer, series []Series) error {
	fmt.Fprintf(w, "%s, %d cores\n", runtime.Version(), runtime.NumCPU())
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "quantity\tunit\tagainst\tpoints: median (lowest to highest)\tslope\tintercept\tresidual")
	for _, s := range series {
		l := s.Line()
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%.1f%%\n", s.Name, s.Unit, s.Size, formatPoints(s.Points),
			formatNumber(l.Slope), formatNumber(l.Intercept), 100*l.Residual)
	}
	return tw.Flush()
}

func formatPoints(list []Point) string {
	text := ""
	for i, p := range list {
		if i > 0 {
			text += "; "
		}
		text += fmt.Sprintf("%s: %s (%s to %s)", formatNumber(p.Size), formatNumber(p.Median()),
			formatNumber(slices.Min(p.Values)), formatNumber(slices.Max(p.Values)))
	}
	return text
}

// formatNumber formats values of magnitude 1000 and above as integers and others with four significant digits, which need
// no exponent for the usual sizes.
func formatNumber(v float64) string {
	if v >= 1000 || v <= -1000 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}
