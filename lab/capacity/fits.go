package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"spurspread/lab/report"
	"spurspread/lab/scale/slope"
)

// Fits are lines through figures of stored runs, and are stored as well. RunFiles names the runs, so that the lines can
// be recomputed. For each of Lines, Figures has:
//   - NAME.slope, .intercept, .rms, .most and .exponent, see package slope (.most is the greatest residual),
//   - .target, the value of the line at Target, and .at_target, the median that was measured there, if RunFiles has
//     runs of that size,
//   - if RunFiles has runs of the size HeldOut: .held, the median that was measured there, .held_line, the value of the
//     line there, and .prediction_error.
type Fits struct {
	Command string  `json:"command"`
	Commit  string  `json:"commit"` // of the runs
	Size    string  `json:"size"`   // name of the figure that the others may grow with
	Target  float64 `json:"target"`
	HeldOut float64 `json:"held,omitempty"` // size whose runs are not used for the lines; 0: none
	// ExcludedSizes are left out, for example because too few of their runs are valid.
	ExcludedSizes []float64          `json:"without,omitempty"`
	Required      map[string]string  `json:"only,omitempty"` // figures or labels that a run must have
	Lines         []string           `json:"lines"`          // names of the figures to fit lines through
	RunFiles      []string           `json:"from"`           // files in the same folder
	Figures       map[string]float64 `json:"figures"`
	Rejected      map[string]string  `json:"refused,omitempty"` // reasons by name, for those of Lines that no line can be fitted to
}

// ErrNoRuns means that Compute found no run that is valid and has the required values.
var ErrNoRuns = errors.New("no run is valid and has the required figures and labels")

// Compute sets Commit, Figures and Rejected from the runs in a folder. A line that cannot be fitted is not an error,
// but listed in Rejected.
func (f *Fits) Compute(dir string) error {
	var runs []Run
	for _, file := range f.RunFiles {
		stored, err := Read(filepath.Join(dir, file))
		if err != nil {
			return err
		}
		for _, r := range stored {
			runs = append(runs, f.splitBySize(r)...)
		}
	}
	runs = slices.DeleteFunc(runs, func(r Run) bool { return !f.includes(r) })
	if len(runs) == 0 {
		return ErrNoRuns
	}
	f.Commit = commitsOf(runs)
	f.Figures = map[string]float64{}
	f.Rejected = map[string]string{}
	for _, name := range f.Lines {
		if err := f.fitLine(name, runs); err != nil {
			f.Rejected[name] = err.Error()
		}
	}
	return nil
}

// Patterns of the names of figures in a run of several sizes, such as n02000_mb_idle or control_memory_mb_at_600.
var (
	sizePrefixPattern = regexp.MustCompile(`^[a-z](\d+)_(.+)$`)
	sizeSuffixPattern = regexp.MustCompile(`^(.+)_at_(\d+)$`)
)

// sizeInName splits the name of a figure into its size and the name without it. ok is false if it contains no size.
func sizeInName(name string) (size, figure string, ok bool) {
	if m := sizePrefixPattern.FindStringSubmatch(name); m != nil {
		return m[1], m[2], true
	}
	if m := sizeSuffixPattern.FindStringSubmatch(name); m != nil {
		return m[2], m[1], true
	}
	return "", "", false
}

// splitBySize splits a run of several sizes into one run for each size, whose validity depends on the note for that
// size. A run of a single size is returned as it is.
func (f *Fits) splitBySize(r Run) []Run {
	if _, ok := r.Figures[f.Size]; ok {
		return []Run{r}
	}
	runs := map[string]Run{}
	for name, v := range r.Figures {
		size, figure, ok := sizeInName(name)
		if !ok {
			continue
		}
		if _, ok := runs[size]; !ok {
			runs[size] = f.runOfSize(r, size)
		}
		runs[size].Figures[figure] = v
	}
	return slices.Collect(maps.Values(runs))
}

// runOfSize returns a run for one size of a run of several sizes. It has no figure yet except the size.
func (f *Fits) runOfSize(r Run, size string) Run {
	part := r
	part.InvalidReason = r.Labels[invalidNote+"_at_"+size]
	part.Figures = map[string]float64{}
	part.Figures[f.Size], _ = strconv.ParseFloat(size, 64) // cannot fail: only digits
	return part
}

// includes reports whether a run is valid and has the required figures and labels.
func (f *Fits) includes(r Run) bool {
	for name, value := range f.Required {
		if !r.has(name, value) {
			return false
		}
	}
	return r.InvalidReason == ""
}

// commitsOf returns the commits of the runs, without duplicates.
func commitsOf(runs []Run) string {
	var all []string
	for _, r := range runs {
		if r.Commit != "" && !slices.Contains(all, r.Commit) {
			all = append(all, r.Commit)
		}
	}
	return strings.Join(all, " ")
}

// fitLine fits a line through a figure of the runs, and sets the figures of the line.
func (f *Fits) fitLine(name string, runs []Run) error {
	fitted, heldOut, atTarget := f.pointsOf(name, runs)
	line, err := slope.Fit(fitted)
	if err != nil {
		return err
	}
	f.Figures[name+".slope"] = line.Slope
	f.Figures[name+".intercept"] = line.Intercept
	f.Figures[name+".rms"] = line.RMS
	f.Figures[name+".most"] = line.MaxResidual
	f.Figures[name+".target"] = line.At(f.Target)
	if !math.IsNaN(line.Exponent) {
		f.Figures[name+".exponent"] = line.Exponent
	}
	if len(atTarget) > 0 {
		f.Figures[name+".at_target"] = median(atTarget)
	}
	if len(heldOut) == 0 {
		return nil
	}
	f.Figures[name+".held"] = median(heldOut)
	f.Figures[name+".held_line"] = line.At(f.HeldOut)
	f.Figures[name+".prediction_error"], err = line.PredictionError(heldOut)
	return err
}

// pointsOf returns the values of a figure by size: those to fit, those of the size that is held out, and those at the
// target, which are among those to fit.
func (f *Fits) pointsOf(name string, runs []Run) (fitted, heldOut, atTarget []slope.Point) {
	for _, r := range runs {
		v, hasFigure := r.Figures[name]
		size, hasSize := r.Figures[f.Size]
		if !hasFigure || !hasSize || slices.Contains(f.ExcludedSizes, size) {
			continue
		}
		p := slope.Point{Size: size, Seed: r.Seed, Value: v}
		if f.HeldOut != 0 && size == f.HeldOut {
			heldOut = append(heldOut, p)
			continue
		}
		if size == f.Target {
			atTarget = append(atTarget, p)
		}
		fitted = append(fitted, p)
	}
	return fitted, heldOut, atTarget
}

func median(points []slope.Point) float64 {
	var values []float64
	for _, p := range points {
		values = append(values, p.Value)
	}
	return report.Quantile(values, 0.5)
}

// Write writes the lines to a file.
func (f *Fits) Write(path string) error {
	text, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), fileMode)
}

// ErrChanged means that stored lines differ from those that are recomputed from their runs.
var ErrChanged = errors.New("differs from the recomputed lines")

const (
	maxRelativeError  = 1e-6 // between a stored and a recomputed figure
	relativeThreshold = 1e-9 // for smaller figures, the error is relative to this
)

// CheckFits recomputes stored lines. The error wraps ErrChanged if a figure differs.
func CheckFits(path string) error {
	file := filepath.Base(path)
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var stored Fits
	if err := json.Unmarshal(text, &stored); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	computed := stored
	if err := computed.Compute(filepath.Dir(path)); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	if len(computed.Figures) != len(stored.Figures) {
		return fmt.Errorf("%s: %w: %d figures stored, %d recomputed",
			file, ErrChanged, len(stored.Figures), len(computed.Figures))
	}
	for name, v := range computed.Figures {
		before, ok := stored.Figures[name]
		tolerance := maxRelativeError * math.Max(math.Abs(v), relativeThreshold)
		if !ok || math.Abs(v-before) > tolerance {
			return fmt.Errorf("%s: %w: %s is %v, recomputed %v", file, ErrChanged, name, before, v)
		}
	}
	return nil
}
