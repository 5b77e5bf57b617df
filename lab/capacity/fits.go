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
	"spurspread/lab/report"
	"spurspread/lab/scale/slope"
	"strconv"
	"strings"
)

// Fits are lines through figures of kept runs, kept themselves: From names what they rest on, so that they can be
// computed again. Figures has, for each of Lines, NAME.slope, .intercept, .rms, .most and .exponent (package
// slope), .target (what the line says of Target), .at_target (the median measured there, where runs of it are among
// From), and where there are runs of the size Held, which no line rests on, .held (the median measured), .held_line
// (what the line says) and .prediction_error.
type Fits struct {
	Command string  `json:"command"`
	Commit  string  `json:"commit"` // of the runs
	Size    string  `json:"size"`   // the figure that the others may grow with
	Target  float64 `json:"target"`
	Held    float64 `json:"held,omitempty"`
	// sizes that are left out, as one of which too few runs are valid
	Without []float64          `json:"without,omitempty"`
	Only    map[string]string  `json:"only,omitempty"` // figures or words that a run has to have
	Lines   []string           `json:"lines"`
	From    []string           `json:"from"` // files in the folder of this one
	Figures map[string]float64 `json:"figures"`
	Refused map[string]string  `json:"refused,omitempty"` // of Lines, those that cannot be fitted, and why
}

// Compute fits the lines anew through what is kept in a folder.
func (f *Fits) Compute(dir string) error {
	var runs []Run
	for _, file := range f.From {
		read, err := Read(filepath.Join(dir, file))
		if err != nil {
			return err
		}
		for _, r := range read {
			runs = append(runs, f.split(r)...)
		}
	}
	runs = slices.DeleteFunc(runs, func(r Run) bool { return !f.takes(r) })
	if len(runs) == 0 {
		return errors.New("none of the runs is valid and has what is asked for")
	}
	f.Commit = commits(runs)
	f.Figures, f.Refused = map[string]float64{}, map[string]string{}
	for _, name := range f.Lines {
		if err := f.line(name, runs); err != nil {
			f.Refused[name] = err.Error()
		}
	}
	return nil
}

// How a run that plays several sizes names its figures: n02000_mb_idle, or control_memory_mb_at_600.
var (
	sizeBefore = regexp.MustCompile(`^[a-z](\d+)_(.+)$`)
	sizeAfter  = regexp.MustCompile(`^(.+)_at_(\d+)$`)
)

// sized takes such a name apart.
func sized(name string) (size, figure string, ok bool) {
	if m := sizeBefore.FindStringSubmatch(name); m != nil {
		return m[1], m[2], true
	}
	if m := sizeAfter.FindStringSubmatch(name); m != nil {
		return m[2], m[1], true
	}
	return "", "", false
}

// split takes a run of several sizes apart, a run for each. Each of them is valid or not by its own note.
func (f *Fits) split(r Run) []Run {
	if _, one := r.Figures[f.Size]; one {
		return []Run{r}
	}
	sizes := map[string]Run{}
	for name, v := range r.Figures {
		size, figure, ok := sized(name)
		if !ok {
			continue
		}
		if _, begun := sizes[size]; !begun {
			one := r
			one.Figures, one.NotValid = map[string]float64{}, r.Words[notValid+"_at_"+size]
			one.Figures[f.Size], _ = strconv.ParseFloat(size, 64) // digits
			sizes[size] = one
		}
		sizes[size].Figures[figure] = v
	}
	return slices.Collect(maps.Values(sizes))
}

func (f *Fits) takes(r Run) bool {
	for name, value := range f.Only {
		if !r.has(name, value) {
			return false
		}
	}
	return r.NotValid == ""
}

// commits are those of the runs, each once.
func commits(runs []Run) string {
	var all []string
	for _, r := range runs {
		if r.Commit != "" && !slices.Contains(all, r.Commit) {
			all = append(all, r.Commit)
		}
	}
	return strings.Join(all, " ")
}

func (f *Fits) line(name string, runs []Run) error {
	var fitted, held, atTarget []slope.Point
	for _, r := range runs {
		v, is := r.Figures[name]
		size, sized := r.Figures[f.Size]
		if !is || !sized || slices.Contains(f.Without, size) {
			continue
		}
		p := slope.Point{Size: size, Seed: r.Seed, Value: v}
		if f.Held != 0 && size == f.Held {
			held = append(held, p)
			continue
		}
		if size == f.Target {
			atTarget = append(atTarget, p)
		}
		fitted = append(fitted, p)
	}
	l, err := slope.Fit(fitted)
	if err != nil {
		return err
	}
	for of, v := range map[string]float64{
		"slope": l.Slope, "intercept": l.Intercept, "rms": l.RMS,
		"most": l.MaxResidual, "target": l.At(f.Target),
	} {
		f.Figures[name+"."+of] = v
	}
	if !math.IsNaN(l.Exponent) {
		f.Figures[name+".exponent"] = l.Exponent
	}
	if len(atTarget) > 0 {
		f.Figures[name+".at_target"] = median(atTarget)
	}
	if len(held) == 0 {
		return nil
	}
	f.Figures[name+".held"], f.Figures[name+".held_line"] = median(held), l.At(f.Held)
	f.Figures[name+".prediction_error"], err = l.PredictionError(held)
	return err
}

func median(points []slope.Point) float64 {
	var values []float64
	for _, p := range points {
		values = append(values, p.Value)
	}
	return report.Quantile(values, 0.5)
}

// Write keeps the lines.
func (f *Fits) Write(path string) error {
	text, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// CheckFits computes kept lines again, and tells what is not as it is kept.
func CheckFits(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var kept Fits
	if err := json.Unmarshal(text, &kept); err != nil {
		return fmt.Errorf("%s: %w", filepath.Base(path), err)
	}
	again := kept
	if err := again.Compute(filepath.Dir(path)); err != nil {
		return fmt.Errorf("%s: %w", filepath.Base(path), err)
	}
	if len(again.Figures) != len(kept.Figures) {
		return fmt.Errorf(
			"%s: %d figures, %d when computed again",
			filepath.Base(path),
			len(kept.Figures),
			len(again.Figures),
		)
	}
	for name, v := range again.Figures {
		if was, is := kept.Figures[name]; !is || math.Abs(v-was) > 1e-6*math.Max(math.Abs(v), 1e-9) {
			return fmt.Errorf("%s: %s is %v, and %v when computed again", filepath.Base(path), name, was, v)
		}
	}
	return nil
}
