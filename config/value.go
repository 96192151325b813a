package config

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// defaultMaxTextBytes is the maximum length of a Text field without a MaxBytes of its own.
const defaultMaxTextBytes = 4096

// Errors of values that have the wrong type. FieldError puts the field's name before the text.
var (
	errNotBoolean  = errors.New("has to be true or false")
	errNotInteger  = errors.New("has to be a whole number")
	errNotString   = errors.New("has to be a string")
	errNotDuration = errors.New(`has to be a duration with its unit, such as "100ms"`)
	errNotSize     = errors.New(`has to be a size with its unit, such as "8 MiB"`)
)

// parse checks a value as decoded by the TOML library and converts it to the field's kind.
func (f *Field) parse(raw any) (value, error) {
	switch f.Kind {
	case Boolean:
		return parseBoolean(raw)
	case Option:
		return f.parseOption(raw)
	case Text:
		return f.parseText(raw)
	}
	number, err := f.parseNumber(raw)
	if err != nil {
		return value{}, err
	}
	if number < f.parseBound(f.Min) || number > f.parseBound(f.Max) {
		return value{}, fmt.Errorf("is not from %s to %s", f.Min, f.Max)
	}
	return value{number: number}, nil
}

func parseBoolean(raw any) (value, error) {
	boolean, isBoolean := raw.(bool)
	if !isBoolean {
		return value{}, errNotBoolean
	}
	if boolean {
		return value{number: 1}, nil
	}
	return value{}, nil
}

func (f *Field) parseOption(raw any) (value, error) {
	text, isText := raw.(string)
	if !isText {
		return value{}, fmt.Errorf("has to be one of %s", strings.Join(f.Options, ", "))
	}
	if !slices.Contains(f.Options, text) {
		return value{}, fmt.Errorf("%q is none of %s", text, strings.Join(f.Options, ", "))
	}
	return value{text: text}, nil
}

func (f *Field) parseText(raw any) (value, error) {
	text, isText := raw.(string)
	if !isText {
		return value{}, errNotString
	}
	isControl := func(r rune) bool { return r < ' ' }
	if len(text) > f.maxTextBytes() || strings.ContainsFunc(text, isControl) {
		return value{}, fmt.Errorf("is longer than %d bytes or contains a line break or another control character", f.maxTextBytes())
	}
	return value{text: text}, nil
}

// parseNumber converts the value of an Integer, Duration or Size field, without checking its bounds.
func (f *Field) parseNumber(raw any) (int64, error) {
	if f.Kind == Integer {
		number, isNumber := raw.(int64)
		if !isNumber {
			return 0, errNotInteger
		}
		return number, nil
	}
	text, isText := raw.(string)
	switch {
	case !isText && f.Kind == Duration:
		return 0, errNotDuration
	case !isText:
		return 0, errNotSize
	case f.Kind == Size:
		return parseSize(text)
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf(`%q is not a duration with its unit, such as "100ms"`, text)
	}
	return int64(duration), nil
}

// maxTextBytes returns the maximum length of a Text field.
func (f *Field) maxTextBytes() int {
	if f.MaxBytes > 0 {
		return f.MaxBytes
	}
	return defaultMaxTextBytes
}

// parseBound parses a number written in the field's declaration: Min, Max or the Default of an Integer. It panics if the
// text is invalid: that is a bug in the declaration, which the tests find.
func (f *Field) parseBound(text string) int64 {
	var number int64
	var err error
	switch f.Kind {
	case Duration:
		var duration time.Duration
		duration, err = time.ParseDuration(text)
		number = int64(duration)
	case Size:
		number, err = parseSize(text)
	default:
		number, err = strconv.ParseInt(text, 10, 64)
	}
	if err != nil {
		panic("field " + f.Name + ": " + err.Error())
	}
	return number
}

// sizeUnits are matched as suffixes in this order. "B" comes last because every other unit ends in it.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"kB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1}}

// maxSize is the upper limit of a size, well below the largest int64.
const maxSize = 1 << 62

// parseSize returns the number of bytes that a size with its unit stands for.
func parseSize(text string) (int64, error) {
	for _, unit := range sizeUnits {
		digits, hasUnit := strings.CutSuffix(text, unit.name)
		if !hasUnit {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > maxSize/unit.bytes {
			return 0, fmt.Errorf("%q is not a size", text)
		}
		return n * unit.bytes, nil
	}
	return 0, fmt.Errorf("%q has no unit: B, kB, KiB, MB, MiB, GB or GiB", text)
}
