package slope

import (
	"errors"
	"math"
	"slices"
	"testing"
)

// runs are three runs at each size, a little over, on and under what of tells.
func runs(of func(size float64) float64, spread float64, sizes ...float64) []Point {
	var out []Point
	for _, size := range sizes {
		for seed := range uint64(3) {
			out = append(out, Point{size, seed + 1, of(size) * (1 + spread*(float64(seed)-1))})
		}
	}
	return out
}

func near(got, want float64) bool { return math.Abs(got-want) <= 1e-9*max(1, math.Abs(want)) }

func TestFitsALineExactly(t *testing.T) {
	l, err := Fit(runs(func(n float64) float64 { return 900 + 0.25*n }, 0, 1500, 60, 300, 125))
	if err != nil {
		t.Fatal(err)
	}
	if !near(l.Slope, 0.25) || !near(l.Intercept, 900) || !near(l.At(850), 1112.5) || l.RMS > 1e-9 ||
		l.MaxResidual > 1e-9 {
		t.Errorf("%+v, %v at 850", l, l.At(850))
	}
	if !slices.Equal(l.Sizes, []float64{60, 125, 300, 1500}) || l.Runs != 12 || !near(l.Smallest, 915) ||
		!near(l.Largest, 1275) {
		t.Errorf("rests on %+v", l)
	}
}

// Four points that can be worked out by hand: slope 1.4, intercept 3.5; residuals 1.1, -1.3, -0.7, 0.9 of 6, 5, 7, 10.
func TestResidualsByHand(t *testing.T) {
	var points []Point
	for i, y := range []float64{6, 5, 7, 10} {
		for seed := range uint64(3) {
			points = append(points, Point{float64(i + 1), seed, y})
		}
	}
	l, err := Fit(points)
	if err != nil {
		t.Fatal(err)
	}
	rms := math.Sqrt((1.1/6*1.1/6 + 1.3/5*1.3/5 + 0.7/7*0.7/7 + 0.9/10*0.9/10) / 4)
	if !near(l.Slope, 1.4) || !near(l.Intercept, 3.5) || !near(l.MaxResidual, 0.26) || !near(l.RMS, rms) {
		t.Errorf("%+v, r.m.s. %v wanted", l, rms)
	}
}

// The exponent tells a list that is walked for each of its entries from one that is walked once, and both from a
// constant.
func TestExponentTellsTheOrderOfGrowth(t *testing.T) {
	for want, of := range map[float64]func(float64) float64{
		0: func(float64) float64 { return 7 },
		1: func(n float64) float64 { return 3 * n },
		2: func(n float64) float64 { return n * n / 100 },
	} {
		l, err := Fit(runs(of, 0.02, 10, 100, 1000, 10000))
		if err != nil || !near(l.Exponent, want) {
			t.Errorf("%v for %v, %v", l.Exponent, want, err)
		}
	}
	l, err := Fit(runs(func(n float64) float64 { return n - 50 }, 0, 10, 100, 1000, 10000))
	if err != nil || !math.IsNaN(l.Exponent) {
		t.Errorf("values under 0 have the exponent %v, %v", l.Exponent, err)
	}
}

func TestRefuses(t *testing.T) {
	line := func(n float64) float64 { return n }
	whole := runs(line, 0.1, 1, 2, 3, 4)
	with := func(p Point) []Point { return append(slices.Clone(whole), p) }
	for name, c := range map[string]struct {
		points []Point
		want   error
	}{
		"nothing":               {nil, ErrTooFew},
		"three sizes":           {runs(line, 0.1, 1, 2, 3), ErrTooFew},
		"two seeds at one size": {whole[:len(whole)-1], ErrTooFew},
		"a fifth size, once":    {with(Point{5, 1, 5}), ErrTooFew},
		"a run twice":           {with(Point{4, 1, 4}), ErrDuplicate},
		"no number":             {with(Point{4, 9, math.NaN()}), ErrNotFinite},
		"no end":                {with(Point{4, 9, math.Inf(1)}), ErrNotFinite},
		"a size of 0":           {with(Point{0, 9, 1}), ErrNotFinite},
		"a size that is none":   {with(Point{math.NaN(), 9, 1}), ErrNotFinite},
		"a value of 0":          {with(Point{4, 9, 0}), ErrZero},
	} {
		if l, err := Fit(c.points); !errors.Is(err, c.want) || l.Runs != 0 {
			t.Errorf("%s: %+v, %v", name, l, err)
		}
	}
	if _, err := Fit(whole); err != nil {
		t.Error(err)
	}
}

func TestPredictionError(t *testing.T) {
	l, err := Fit(runs(func(n float64) float64 { return 100 + n }, 0, 100, 200, 300, 400))
	if err != nil {
		t.Fatal(err)
	}
	// 350 is predicted; 250 and 500 are measured: 0.4 and 0.3 off.
	got, err := l.PredictionError([]Point{{250, 1, 250}, {250, 2, 500}})
	if err != nil || !near(got, 0.35) {
		t.Errorf("%v, %v", got, err)
	}
	for name, held := range map[string][]Point{
		"none": nil, "a fitted size": {{200, 1, 300}}, "0": {{250, 1, 0}},
		"no number": {{250, 1, math.NaN()}},
	} {
		if got, err := l.PredictionError(held); err == nil {
			t.Errorf("%s: %v", name, got)
		}
	}
}
