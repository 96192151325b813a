package config

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// defaultMaxText is how many bytes a text may have where its field states no other bound.
const defaultMaxText = 4096

// What is wrong with a value whatever it is. The texts are for people, behind the field's name.
var (
	errNotBoolean  = errors.New("has to be true or false")
	errNotInteger  = errors.New("has to be a whole number")
	errNotText     = errors.New("has to be a text")
	errNotDuration = errors.New(`has to be a duration with its unit, such as "100ms"`)
	errNotSize     = errors.New(`has to be a size with its unit, such as "8 MiB"`)
)

// parse takes a value as the TOML library gives it.
func (f *Field) parse(raw any) (value, error) {
	switch f.Kind {
	case Boolean:
		return parseBoolean(raw)
	case Option:
		return f.parseWord(raw)
	case Text:
		return f.parseText(raw)
	}
	number, err := f.parseNumber(raw)
	if err != nil {
		return value{}, err
	}
	if number < f.bound(f.Min) || number > f.bound(f.Max) {
		return value{}, fmt.Errorf("is not from %s to %s", f.Min, f.Max)
	}
	return value{number: number}, nil
}

func parseBoolean(raw any) (value, error) {
	yes, isBoolean := raw.(bool)
	if !isBoolean {
		return value{}, errNotBoolean
	}
	if yes {
		return value{number: 1}, nil
	}
	return value{}, nil
}

func (f *Field) parseWord(raw any) (value, error) {
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
		return value{}, errNotText
	}
	isControl := func(r rune) bool { return r < ' ' }
	if len(text) > f.maxText() || strings.ContainsFunc(text, isControl) {
		return value{}, fmt.Errorf("is over %d bytes, or not one line of text", f.maxText())
	}
	return value{text: text}, nil
}

// parseNumber reads an Integer, a Duration or a Size.
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

// maxText is how many bytes a text may have.
func (f *Field) maxText() int {
	if f.MaxBytes > 0 {
		return f.MaxBytes
	}
	return defaultMaxText
}

// bound reads a bound of the declaration. One that makes no sense is a defect of this program, which its tests find.
func (f *Field) bound(text string) int64 {
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

// sizeUnits are tried in this order, as "B" ends all of them.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"kB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1}}

// maxSize keeps sizes away from the end of an int64.
const maxSize = 1 << 62

// parseSize reads a size with its unit.
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
