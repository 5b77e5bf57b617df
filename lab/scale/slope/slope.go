// Package slope fits a straight line by least squares to a figure that was measured at several sizes, each run with
// the same weight. The line predicts the figure at sizes that were not measured: at the target size, and at a size
// that was held out to check the line.
//
// It does not know what is measured. Too few sizes or seeds are rejected, since a line through them would show
// nothing.
package slope

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	// MinSizes is the least number of different sizes of a line: two always fit exactly, and a third leaves a single
	// residual.
	MinSizes = 4
	// MinSeeds is the least number of different seeds at each size: fewer do not separate the effect of a size from
	// the variation between runs.
	MinSeeds = 3
)

// Why points are rejected.
var (
	ErrTooFew    = errors.New("too few sizes or seeds for a line")
	ErrDuplicate = errors.New("a size and seed given twice")
	ErrNotFinite = errors.New("not a finite number")
	ErrZero      = errors.New("measured as 0, so nothing is relative to it")
	ErrFitted    = errors.New("the line was fitted to it")
)

// Point is a figure of one run.
type Point struct {
	Size  float64 // what the figure may grow with, such as members or connections; over 0
	Seed  uint64
	Value float64
}

// Line is a fitted line, value = Intercept + Slope * size, and how far the points are from it. The relative residual
// of a point is |measured - fitted| / |measured|.
type Line struct {
	Slope       float64
	Intercept   float64
	RMS         float64 // root of the mean of the squared relative residuals
	MaxResidual float64 // the greatest relative residual
	// Exponent is the slope of the logarithm of the value over that of the size: 0 for a constant, 1 for a value
	// that is proportional to the size, over 1 for one that grows faster. NaN where a value is not over 0.
	Exponent float64
	Sizes    []float64 // of the points, ascending
	Runs     int
	Smallest float64 // of the values measured
	Largest  float64 // of the values measured
}

// Fit fits a line to points. The error wraps ErrTooFew for fewer than MinSizes sizes or fewer than MinSeeds seeds at
// one of them, ErrDuplicate for a run given twice, ErrNotFinite for a value that is not finite or a size that is not
// finite and over 0, and ErrZero for a value of 0.
func Fit(points []Point) (Line, error) {
	sizes, err := checkPoints(points)
	if err != nil {
		return Line{}, err
	}
	x := make([]float64, len(points))
	y := make([]float64, len(points))
	for i, p := range points {
		x[i] = p.Size
		y[i] = p.Value
	}
	line := Line{
		Sizes:    sizes,
		Runs:     len(points),
		Exponent: growthExponent(x, y),
		Smallest: slices.Min(y),
		Largest:  slices.Max(y),
	}
	line.Intercept, line.Slope = stat.LinearRegression(x, y, nil, false)
	squares := 0.0
	for i := range x {
		residual := relativeError(line.At(x[i]), y[i])
		squares += residual * residual
		line.MaxResidual = max(line.MaxResidual, residual)
	}
	line.RMS = math.Sqrt(squares / float64(len(x)))
	return line, nil
}

// checkPoints returns the sizes of the points, ascending, or the reason why no line is fitted to them.
func checkPoints(points []Point) ([]float64, error) {
	seedsBySize := map[float64]map[uint64]bool{}
	for _, p := range points {
		if err := p.check(); err != nil {
			return nil, err
		}
		seeds := seedsBySize[p.Size]
		if seeds == nil {
			seeds = map[uint64]bool{}
			seedsBySize[p.Size] = seeds
		}
		if seeds[p.Seed] {
			return nil, fmt.Errorf("size %v, seed %d: %w", p.Size, p.Seed, ErrDuplicate)
		}
		seeds[p.Seed] = true
	}
	var sizes []float64
	for size, seeds := range seedsBySize {
		if len(seeds) < MinSeeds {
			return nil, fmt.Errorf("size %v has %d seeds of %d: %w", size, len(seeds), MinSeeds, ErrTooFew)
		}
		sizes = append(sizes, size)
	}
	if len(sizes) < MinSizes {
		return nil, fmt.Errorf("%d sizes of %d: %w", len(sizes), MinSizes, ErrTooFew)
	}
	slices.Sort(sizes)
	return sizes, nil
}

// check returns the reason why a point cannot be used: ErrNotFinite or ErrZero.
func (p Point) check() error {
	reason := p.invalid()
	if reason == nil {
		return nil
	}
	return fmt.Errorf("size %v, seed %d: %v: %w", p.Size, p.Seed, p.Value, reason)
}

func (p Point) invalid() error {
	validSize := p.Size > 0 && !math.IsInf(p.Size, 0) // false for NaN
	switch {
	case !validSize, math.IsNaN(p.Value), math.IsInf(p.Value, 0):
		return ErrNotFinite
	case p.Value == 0:
		return ErrZero
	}
	return nil
}

// growthExponent is the slope of log y over log x; NaN where a y is not over 0.
func growthExponent(x, y []float64) float64 {
	logX := make([]float64, len(x))
	logY := make([]float64, len(y))
	for i := range x {
		if y[i] <= 0 {
			return math.NaN()
		}
		logX[i] = math.Log(x[i])
		logY[i] = math.Log(y[i])
	}
	_, exponent := stat.LinearRegression(logX, logY, nil, false)
	return exponent
}

// relativeError is the distance of a prediction from a measured value, relative to that value.
func relativeError(predicted, measured float64) float64 {
	return math.Abs(predicted-measured) / math.Abs(measured)
}

// At is the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// PredictionError is the relative error of the line at sizes that it was not fitted to: the mean over the runs of
// |predicted - measured| / |measured|. The error wraps ErrTooFew where there is no run, ErrFitted for a size that the
// line was fitted to, and ErrNotFinite or ErrZero as for Fit.
func (l Line) PredictionError(held []Point) (float64, error) {
	if len(held) == 0 {
		return 0, fmt.Errorf("nothing was held out: %w", ErrTooFew)
	}
	sum := 0.0
	for _, p := range held {
		if slices.Contains(l.Sizes, p.Size) {
			return 0, fmt.Errorf("size %v: %w", p.Size, ErrFitted)
		}
		if err := p.check(); err != nil {
			return 0, err
		}
		sum += relativeError(l.At(p.Size), p.Value)
	}
	return sum / float64(len(held)), nil
}
