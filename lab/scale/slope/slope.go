// Package slope fits a straight line through what was measured at several sizes, and predicts from it what was not
// measured: a figure at the target size, and at a size that was held out to check the line. A line is by least
// squares, each run counting the same. It refuses too few sizes or seeds, since a line through them would say
// nothing.
package slope

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// What a line has to rest on at least.
const (
	// MinSizes is the least number of different sizes: through two there is always a line, and a third leaves one
	// residual only.
	MinSizes = 4
	// MinSeeds is the least number of different seeds at each size: less does not tell a size's effect from a run's
	// chance.
	MinSeeds = 3
)

// Why a line is refused.
var (
	ErrTooFew    = errors.New("too few sizes or seeds for a line")
	ErrDuplicate = errors.New("a size and seed given twice")
	ErrNotFinite = errors.New("not a finite number")
	ErrZero      = errors.New("measured as 0, so nothing is relative to it")
)

// Point is one figure of one run.
type Point struct {
	Size  float64 // what the figure may grow with, as members or connections; over 0
	Seed  uint64
	Value float64
}

// Line is a fitted line, value = Intercept + Slope * size, and how far the points are from it.
type Line struct {
	Slope, Intercept float64
	// RMS is the root of the mean of the squared relative residuals, Most the greatest; a point's relative residual is
	// |measured - fitted| / |measured|.
	RMS, MaxResidual float64
	// Exponent is the slope of the logarithm of the value over that of the size: 0 for a constant, 1 for what is
	// proportional, over 1 for what grows faster than the size. NaN where a value is not over 0.
	Exponent          float64
	Sizes             []float64 // that the line rests on, ascending
	Runs              int
	Smallest, Largest float64 // of the values measured
}

// Fit fits a line by least squares. It refuses less than MinSizes sizes, less than MinSeeds seeds at any of them, a
// run given twice, and values that are not finite or are 0.
func Fit(points []Point) (Line, error) {
	sizes, err := check(points)
	if err != nil {
		return Line{}, err
	}
	x, y := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		x[i], y[i] = p.Size, p.Value
	}
	l := Line{
		Sizes:    sizes,
		Runs:     len(points),
		Exponent: exponent(x, y),
		Smallest: slices.Min(y),
		Largest:  slices.Max(y),
	}
	l.Intercept, l.Slope = stat.LinearRegression(x, y, nil, false)
	squares := 0.0
	for i := range x {
		r := relative(l.At(x[i]), y[i])
		squares += r * r
		l.MaxResidual = max(l.MaxResidual, r)
	}
	l.RMS = math.Sqrt(squares / float64(len(x)))
	return l, nil
}

// check tells the sizes, or why the points are refused.
func check(points []Point) ([]float64, error) {
	seeds := map[float64]map[uint64]bool{}
	for _, p := range points {
		if err := p.check(); err != nil {
			return nil, err
		}
		if seeds[p.Size] == nil {
			seeds[p.Size] = map[uint64]bool{}
		}
		if seeds[p.Size][p.Seed] {
			return nil, fmt.Errorf("size %v, seed %d: %w", p.Size, p.Seed, ErrDuplicate)
		}
		seeds[p.Size][p.Seed] = true
	}
	var sizes []float64
	for size, of := range seeds {
		if len(of) < MinSeeds {
			return nil, fmt.Errorf("size %v has %d seeds of %d: %w", size, len(of), MinSeeds, ErrTooFew)
		}
		sizes = append(sizes, size)
	}
	if len(sizes) < MinSizes {
		return nil, fmt.Errorf("%d sizes of %d: %w", len(sizes), MinSizes, ErrTooFew)
	}
	slices.Sort(sizes)
	return sizes, nil
}

func (p Point) check() error {
	err := error(nil)
	switch {
	case math.IsNaN(p.Value) || math.IsInf(p.Value, 0) || !(p.Size > 0) || math.IsInf(p.Size, 0):
		err = ErrNotFinite
	case p.Value == 0:
		err = ErrZero
	default:
		return nil
	}
	return fmt.Errorf("size %v, seed %d: %v: %w", p.Size, p.Seed, p.Value, err)
}

func exponent(x, y []float64) float64 {
	lx, ly := make([]float64, len(x)), make([]float64, len(y))
	for i := range x {
		if y[i] <= 0 {
			return math.NaN()
		}
		lx[i], ly[i] = math.Log(x[i]), math.Log(y[i])
	}
	_, slope := stat.LinearRegression(lx, ly, nil, false)
	return slope
}

func relative(predicted, measured float64) float64 {
	return math.Abs(predicted-measured) / math.Abs(measured)
}

// At is what the line says for a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// PredictionError is the relative error of the line at a size that it was not fitted to: the mean over the runs of
// |predicted - measured| / |measured|. It rejects no run at all, a size that was fitted, and values that are 0 or not
// finite.
func (l Line) PredictionError(held []Point) (float64, error) {
	if len(held) == 0 {
		return 0, fmt.Errorf("nothing was held out: %w", ErrTooFew)
	}
	sum := 0.0
	for _, p := range held {
		if slices.Contains(l.Sizes, p.Size) {
			return 0, fmt.Errorf("size %v: the line was fitted to it", p.Size)
		}
		if err := p.check(); err != nil {
			return 0, err
		}
		sum += relative(l.At(p.Size), p.Value)
	}
	return sum / float64(len(held)), nil
}
