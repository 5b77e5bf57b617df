package slope

import (
	"errors"
	"math"
	"slices"
	"testing"
)

// runs returns three points at each size: the value of a function there, and values that are lower and higher by the
// relative spread.
func runs(value func(size float64) float64, spread float64, sizes ...float64) []Point {
	var points []Point
	for _, size := range sizes {
		for seed := range uint64(3) {
			points = append(points, Point{
				Size:  size,
				Seed:  seed + 1,
				Value: value(size) * (1 + spread*(float64(seed)-1)),
			})
		}
	}
	return points
}

// near returns whether two numbers are equal up to rounding errors.
func near(got, want float64) bool { return math.Abs(got-want) <= 1e-9*max(1, math.Abs(want)) }

// A line through exact points has their slope and intercept, and no residuals.
func TestFitsALineExactly(t *testing.T) {
	line, err := Fit(runs(func(size float64) float64 { return 900 + 0.25*size }, 0, 1500, 60, 300, 125))
	if err != nil {
		t.Fatal(err)
	}
	if !near(line.Slope, 0.25) || !near(line.Intercept, 900) || !near(line.At(850), 1112.5) || line.RMS > 1e-9 ||
		line.MaxResidual > 1e-9 {
		t.Errorf("%+v, %v at 850, want slope 0.25, intercept 900, 1112.5 at 850", line, line.At(850))
	}
	if !slices.Equal(line.Sizes, []float64{60, 125, 300, 1500}) || line.Runs != 12 || !near(line.Smallest, 915) ||
		!near(line.Largest, 1275) {
		t.Errorf("the line does not describe its points: %+v", line)
	}
}

// A line that was computed by hand: slope 1.4, intercept 3.5; residuals 1.1, -1.3, -0.7, 0.9 of 6, 5, 7, 10.
func TestResidualsByHand(t *testing.T) {
	var points []Point
	for i, value := range []float64{6, 5, 7, 10} {
		for seed := range uint64(3) {
			points = append(points, Point{float64(i + 1), seed, value})
		}
	}
	line, err := Fit(points)
	if err != nil {
		t.Fatal(err)
	}
	rms := math.Sqrt((1.1/6*1.1/6 + 1.3/5*1.3/5 + 0.7/7*0.7/7 + 0.9/10*0.9/10) / 4)
	if !near(line.Slope, 1.4) || !near(line.Intercept, 3.5) || !near(line.MaxResidual, 0.26) || !near(line.RMS, rms) {
		t.Errorf("%+v, want slope 1.4, intercept 3.5, greatest residual 0.26, RMS %v", line, rms)
	}
}

// The exponent distinguishes constant, linear and quadratic growth. It is NaN if a value is not over 0.
func TestExponentIsOrderOfGrowth(t *testing.T) {
	for want, value := range map[float64]func(float64) float64{
		0: func(float64) float64 { return 7 },
		1: func(size float64) float64 { return 3 * size },
		2: func(size float64) float64 { return size * size / 100 },
	} {
		line, err := Fit(runs(value, 0.02, 10, 100, 1000, 10000))
		if err != nil || !near(line.Exponent, want) {
			t.Errorf("exponent %v, want %v, %v", line.Exponent, want, err)
		}
	}
	line, err := Fit(runs(func(size float64) float64 { return size - 50 }, 0, 10, 100, 1000, 10000))
	if err != nil || !math.IsNaN(line.Exponent) {
		t.Errorf("values under 0 have the exponent %v, %v, want NaN", line.Exponent, err)
	}
}

// Points that no line can be fitted to are rejected with the reason.
func TestInvalidPointsAreRejected(t *testing.T) {
	identity := func(size float64) float64 { return size }
	valid := runs(identity, 0.1, 1, 2, 3, 4)
	with := func(p Point) []Point { return append(slices.Clone(valid), p) }
	for name, c := range map[string]struct {
		points []Point
		want   error
	}{
		"nothing":               {nil, ErrTooFew},
		"three sizes":           {runs(identity, 0.1, 1, 2, 3), ErrTooFew},
		"two seeds at one size": {valid[:len(valid)-1], ErrTooFew},
		"a fifth size, once":    {with(Point{5, 1, 5}), ErrTooFew},
		"a run twice":           {with(Point{4, 1, 4}), ErrDuplicate},
		"a value of NaN":        {with(Point{4, 9, math.NaN()}), ErrNotFinite},
		"an infinite value":     {with(Point{4, 9, math.Inf(1)}), ErrNotFinite},
		"a size of 0":           {with(Point{0, 9, 1}), ErrNotFinite},
		"a size of NaN":         {with(Point{math.NaN(), 9, 1}), ErrNotFinite},
		"a value of 0":          {with(Point{4, 9, 0}), ErrZero},
	} {
		if line, err := Fit(c.points); !errors.Is(err, c.want) || line.Runs != 0 {
			t.Errorf("%s: %+v, %v, want error %v", name, line, err, c.want)
		}
	}
	if _, err := Fit(valid); err != nil {
		t.Error(err)
	}
}

// The prediction error is the mean over the runs held out. Points that it is undefined for are rejected.
func TestPredictionError(t *testing.T) {
	line, err := Fit(runs(func(size float64) float64 { return 100 + size }, 0, 100, 200, 300, 400))
	if err != nil {
		t.Fatal(err)
	}
	// The prediction is 350, and 250 and 500 were measured: relative errors of 0.4 and 0.3.
	got, err := line.PredictionError([]Point{{250, 1, 250}, {250, 2, 500}})
	if err != nil || !near(got, 0.35) {
		t.Errorf("prediction error %v, %v, want 0.35", got, err)
	}
	for name, c := range map[string]struct {
		held []Point
		want error
	}{
		"none":           {nil, ErrTooFew},
		"a fitted size":  {[]Point{{200, 1, 300}}, ErrFitted},
		"0":              {[]Point{{250, 1, 0}}, ErrZero},
		"a value of NaN": {[]Point{{250, 1, math.NaN()}}, ErrNotFinite},
	} {
		if got, err := line.PredictionError(c.held); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, %v, want error %v", name, got, err, c.want)
		}
	}
}
