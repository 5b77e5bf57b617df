// Package slope fits a straight line by least squares to a figure that was measured at several sizes, with equal weight
// for each run. The line predicts the figure at sizes that were not measured, such as the target size, and is checked
// at a size that was held out.
//
// The package does not depend on the meaning of the figure. Too few sizes or seeds are rejected, since a line through
// them would be meaningless.
package slope

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	// MinSizes is the minimum number of different sizes for a line: a line fits two exactly, and three leave a single
	// residual.
	MinSizes = 4
	// MinSeeds is the minimum number of different seeds at each size: fewer do not separate the effect of the size from
	// the variation between runs.
	MinSeeds = 3
)

// Reasons why points are rejected.
var (
	ErrTooFew    = errors.New("too few sizes or seeds for a line")
	ErrDuplicate = errors.New("duplicate size and seed")
	ErrNotFinite = errors.New("not a finite number")
	ErrZero      = errors.New("value is 0, so that relative errors are undefined")
	ErrFitted    = errors.New("the line was fitted to this size")
)

// Point is the value of a figure in one run.
type Point struct {
	Size  float64 // quantity that the figure may grow with, such as members or connections; positive
	Seed  uint64
	Value float64
}

// Line is a fitted line, value = Intercept + Slope * size, with measures of its distance from the points. The relative
// residual of a point is |measured - fitted| / |measured|.
type Line struct {
	Slope       float64
	Intercept   float64
	RMS         float64 // root mean square of the relative residuals
	MaxResidual float64 // greatest relative residual
	// Exponent is the slope of log(value) over log(size): 0 for a constant, 1 for a value that is proportional to the
	// size, greater than 1 for one that grows faster. NaN if a value is not positive.
	Exponent float64
	Sizes    []float64 // of the points, ascending
	Runs     int
	Smallest float64 // smallest measured value
	Largest  float64 // greatest measured value
}

// Fit fits a line to points. The error wraps ErrTooFew if there are fewer than MinSizes sizes or fewer than MinSeeds
// seeds at one of them, ErrDuplicate if a size and seed occur twice, ErrNotFinite if a value is not finite or a size is
// not finite and positive, and ErrZero if a value is 0.
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

// checkPoints returns the sizes of the points, ascending, or the reason why no line can be fitted to them.
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
			return nil, fmt.Errorf("size %v has %d of %d seeds: %w", size, len(seeds), MinSeeds, ErrTooFew)
		}
		sizes = append(sizes, size)
	}
	if len(sizes) < MinSizes {
		return nil, fmt.Errorf("%d of %d sizes: %w", len(sizes), MinSizes, ErrTooFew)
	}
	slices.Sort(sizes)
	return sizes, nil
}

// check returns an error with the reason why a point cannot be used: it wraps ErrNotFinite or ErrZero.
func (p Point) check() error {
	reason := p.invalid()
	if reason == nil {
		return nil
	}
	return fmt.Errorf("size %v, seed %d: %v: %w", p.Size, p.Seed, p.Value, reason)
}

// invalid returns ErrNotFinite or ErrZero if a point cannot be used, else nil.
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

// growthExponent returns the slope of log(y) over log(x), NaN if a y is not positive.
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

// relativeError returns the distance of a prediction from a measured value, relative to that value.
func relativeError(predicted, measured float64) float64 {
	return math.Abs(predicted-measured) / math.Abs(measured)
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// PredictionError returns the mean relative error of the line over runs at sizes that it was not fitted to: |predicted
// - measured| / |measured|. The error wraps ErrTooFew if there are no runs, ErrFitted if the line was fitted to one of
// the sizes, and ErrNotFinite or ErrZero as for Fit.
func (l Line) PredictionError(held []Point) (float64, error) {
	if len(held) == 0 {
		return 0, fmt.Errorf("no run was held out: %w", ErrTooFew)
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
