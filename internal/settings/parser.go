package settings

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"spurspread/decision"
)

const (
	// maxItems bounds the lists of classes and of tenants.
	maxItems = 10000
	// maxNumber bounds each number; in microseconds it is about 30 years.
	maxNumber = 1e15
)

// parser holds the values of an input by key, and collects the problems found while they are read.
type parser struct {
	values   map[string]string
	problems []*KeyError
}

func newParser() *parser { return &parser{values: map[string]string{}} }

func (p *parser) reject(key string, kind error, format string, args ...any) {
	p.problems = append(p.problems, &KeyError{Key: key, Problem: fmt.Sprintf(format, args...), Kind: kind})
}

func (p *parser) rejectMissing(key string) { p.reject(key, ErrMissing, "missing") }

// requiredNumber reads a number, and rejects an absent key.
func (p *parser) requiredNumber(key string) float64 {
	if _, given := p.values[key]; !given {
		p.rejectMissing(key)
		return 0
	}
	return p.optionalNumber(key, 0)
}

// optionalNumber reads a number; it returns fallback if the key is absent or its value is rejected.
func (p *parser) optionalNumber(key string, fallback float64) float64 {
	text, given := p.values[key]
	if !given {
		return fallback
	}
	number, ok := parseNumber(text)
	if !ok {
		p.reject(key, ErrNotNumber, "%q is not a number from 0 to %g", text, maxNumber)
		return fallback
	}
	return number
}

// parseNumber reads a number from 0 to maxNumber.
func parseNumber(text string) (number float64, ok bool) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) {
		return 0, false
	}
	return number, number >= 0 && number <= maxNumber
}

// requirePositive rejects a value of 0 for a deadline or a number of attempts, with which no request could be served. A
// value that is not a number is rejected where it is read.
func (p *parser) requirePositive(key string) {
	number, err := strconv.ParseFloat(p.values[key], 64)
	if err == nil && number == 0 {
		p.reject(key, ErrNotPositive, "%v is not greater than 0", p.values[key])
	}
}

func (p *parser) requiredMicros(key string) decision.Micros {
	return decision.Micros(p.requiredNumber(key))
}

func (p *parser) optionalMicros(key string, fallback decision.Micros) decision.Micros {
	return decision.Micros(p.optionalNumber(key, float64(fallback)))
}

// requiredCount reads the number of items of a list of objects.
func (p *parser) requiredCount(list string) int {
	return p.checkCount(list+".count", p.requiredNumber(list+".count"))
}

// optionalCount is like requiredCount, but returns 0 if the list is absent.
func (p *parser) optionalCount(list string) int {
	return p.checkCount(list+".count", p.optionalNumber(list+".count", 0))
}

func (p *parser) checkCount(key string, count float64) int {
	if count > maxItems {
		p.reject(key, ErrTooMany, "%v is over the maximum of %d", count, maxItems)
		return 0
	}
	return int(count)
}

// boolean reads true or false; an absent key means false.
func (p *parser) boolean(key string) bool {
	return p.oneOf(key, "false", "true", "false") == "true"
}

// requiredOneOf reads one of the allowed words. It rejects any other value and an absent key, and returns "" then.
func (p *parser) requiredOneOf(key string, allowed ...string) string {
	if _, given := p.values[key]; !given {
		p.rejectMissing(key)
		return ""
	}
	return p.oneOf(key, "", allowed...)
}

// oneOf reads one of the allowed words; it returns fallback if the key is absent or its value is rejected.
func (p *parser) oneOf(key, fallback string, allowed ...string) string {
	text, given := p.values[key]
	if !given {
		return fallback
	}
	if !slices.Contains(allowed, text) {
		p.reject(key, ErrNotAllowed, "%q is not one of %s", text, strings.Join(allowed, ", "))
		return fallback
	}
	return text
}

// list reads values separated by commas.
func (p *parser) list(key string) []string {
	if p.values[key] == "" {
		return nil
	}
	return strings.Split(p.values[key], ",")
}

// listNumber reads item i of a list. It returns 0 if the list is too short or the item is empty or null.
func (p *parser) listNumber(key string, list []string, i int) float64 {
	if i >= len(list) || list[i] == "null" || list[i] == "" {
		return 0
	}
	number, ok := parseNumber(list[i])
	if !ok {
		p.reject(key, ErrNotNumber, "item %d: %q is not a number from 0 to %g", i, list[i], maxNumber)
		return 0
	}
	return number
}
