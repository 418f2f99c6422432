package measure

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a fitted line that does not match the points. The capacity page is computed from its slopes.
func TestFit(t *testing.T) {
	for _, tc := range []struct {
		name   string
		xs, ys []float64
		want   Line
	}{
		{"exact line", []float64{1, 2, 4}, []float64{5, 7, 11}, Line{Slope: 2, Intercept: 3}},
		{"falling line", []float64{0, 10}, []float64{10, 0}, Line{Slope: -1, Intercept: 10}},
		{"points off the line", []float64{0, 1, 2}, []float64{0, 3, 0}, Line{Intercept: 1, Residual: 1.4142135623730951}},
		{"one size", []float64{3, 3}, []float64{2, 4}, Line{Intercept: 3, Residual: 1.0 / 3}},
		{"no points", nil, nil, Line{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			got := Fit(tc.xs, tc.ys)
			g.Expect(got.Slope).To(BeNumerically("~", tc.want.Slope, 1e-9))
			g.Expect(got.Intercept).To(BeNumerically("~", tc.want.Intercept, 1e-9))
			g.Expect(got.Residual).To(BeNumerically("~", tc.want.Residual, 1e-9))
		})
	}
}

// Guards against one outlier that changes the fitted line, and against values recorded at the wrong point.
func TestSeriesUsesMedianOfEachPoint(t *testing.T) {
	g := NewWithT(t)
	table := newTable("n")
	for _, v := range []float64{1, 1, 100} {
		table.add(1, "cost", "us", v)
	}
	table.add(2, "cost", "us", 2)
	table.add(2, "other", "B", 7)
	series := table.result()
	g.Expect(series).To(HaveLen(2))
	g.Expect(series[0].Points).To(HaveLen(2))
	g.Expect(series[0].Line()).To(Equal(Line{Slope: 1}))
	var out bytes.Buffer
	g.Expect(Print(&out, series)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("1: 1 (1 to 100); 2: 2 (2 to 2)"))
}

// Guards against a subject that fails after a change to the code that it measures.
func TestEachSubjectRuns(t *testing.T) {
	o := Options{Repeat: 1, Count: 4, Window: 100 * time.Millisecond, Settle: 100 * time.Millisecond, Small: true}
	for _, s := range Subjects {
		t.Run(s.Name, func(t *testing.T) {
			g := NewWithT(t)
			series, err := s.Run(t.Context(), o)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(series).NotTo(BeEmpty())
			for _, got := range series {
				g.Expect(got.Points).To(HaveLen(2), got.Name)
			}
		})
	}
}

// Guards against invalid options or subject names that yield an empty run instead of an error.
func TestRunRejectsInvalidOptions(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	g.Expect(Run(t.Context(), &out, nil, Options{})).NotTo(Succeed())
	g.Expect(Run(t.Context(), &out, []string{"unknown"}, Options{Repeat: 1, Count: 1, Window: 1})).NotTo(Succeed())
	g.Expect(out.String()).To(BeEmpty())
}
