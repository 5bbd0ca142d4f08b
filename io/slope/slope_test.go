package slope

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a fit that does not find a line that is there.
func TestLineFindsLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slope := rapid.Float64Range(-1000, 1000).Draw(t, "slope")
		at := rapid.Float64Range(-1000, 1000).Draw(t, "intercept")
		var points []Point
		for x := range rapid.IntRange(3, 10).Draw(t, "points") {
			points = append(points, Point{float64(x), at + slope*float64(x)})
		}
		f, err := Line(points)
		if err != nil {
			t.Fatal(err)
		}
		const margin = 1e-6
		if math.Abs(f.Slope-slope) > margin || math.Abs(f.Intercept-at) > margin || f.Residual > margin {
			t.Fatalf("%+v, want %g + %g x", f, at, slope)
		}
	})
}

// Guards against a wrong residual: the best line through these points is
// level at 1, with distances of 1, 2 and 1.
func TestLineResidual(t *testing.T) {
	is := is.New(t)
	f, err := Line([]Point{{0, 0}, {1, 3}, {2, 0}})
	is.NoErr(err)
	is.Equal(f.Slope, 0.0)
	is.Equal(f.Intercept, 1.0)
	is.True(math.Abs(f.Residual-math.Sqrt2) < 1e-12) // sqrt((1+4+1)/3)
}

// Guards against a line through points that do not define one.
func TestLineRefuses(t *testing.T) {
	is := is.New(t)
	_, err := Line([]Point{{1, 1}, {2, 2}})
	is.True(err != nil)
	_, err = Line([]Point{{1, 1}, {1, 2}, {1, 3}})
	is.True(err != nil)
}

// Guards against a measurement that does not run, or that is missing from the
// table. Figures are not judged.
func TestRunTiny(t *testing.T) {
	is := is.New(t)
	three := []int{1, 2, 3}
	s := Sizes{
		Renewers: three, Active: three, Followers: three, Groups: three, Agents: 2,
		Instances: []int{2, 3, 4}, Upstreams: three, Items: three, Entries: three,
		Blocks: []int{10, 20, 30}, Changes: 1, Concurrent: three, Window: 10 * time.Millisecond,
	}
	steps := 0
	r, err := Run(t.Context(), s, t.TempDir(), func(string) { steps++ })
	is.NoErr(err)
	is.Equal(steps, 7)
	text := r.Text()
	for _, s := range r.Series {
		is.Equal(len(s.Points), 3)
		is.True(s.Role != "" && s.Unit != "" && s.Basis != "")
		is.True(strings.Contains(text, "| "+s.Role+" | "+s.Cost+" | "+s.Per+" |"))
	}
}
