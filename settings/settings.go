// Package settings holds what every driver of the decision module needs at the edge: the operators' settings as a plain
// map of dotted names, the tables that turn their names into small indices, the reader of load reports, and small
// indices for requests and endpoints that come and go.
package settings

import (
	"bytes"
	"math"
	"strconv"

	"github.com/tidwall/gjson"
)

// Flatten turns the settings into a plain map of dotted names to values ("workloads.0.name"), a list's length under its
// own name.
func Flatten(object gjson.Result) map[string]any {
	settings := map[string]any{}
	flatten(settings, "", object)
	return settings
}

func flatten(into map[string]any, name string, value gjson.Result) {
	switch {
	case value.IsObject():
		value.ForEach(func(key, inner gjson.Result) bool {
			if name != "" {
				flatten(into, name+"."+key.String(), inner)
			} else {
				flatten(into, key.String(), inner)
			}
			return true
		})
	case value.IsArray():
		length := 0
		value.ForEach(func(_, inner gjson.Result) bool { // One by one: a list of a thousand names takes no room of its own.
			flatten(into, name+"."+strconv.Itoa(length), inner)
			length++
			return true
		})
		into[name] = float64(length)
	default:
		into[name] = value.Value()
	}
}

// NameIndices gives each name of a list in the settings its place there. inner leads to the name within an entry
// (".name"); empty: the entry is the name.
func NameIndices(settings map[string]any, list, inner string) map[string]int {
	count, _ := settings[list].(float64)
	places := make(map[string]int, int(count))
	for i := range int(count) {
		name, _ := settings[list+"."+strconv.Itoa(i)+inner].(string)
		places[name] = i
	}
	return places
}

// maxReportedFigure is the largest figure of a load report that is taken: no endpoint serves a billion requests a
// second.
const maxReportedFigure = 1e9

// ParseReport reads an endpoint's load report, names and values between commas, into the places that the settings give
// its fields. A figure that is missing, no plain number, negative or huge becomes NaN: none. It tells whether anything
// was read. It guards the decision module against whatever an endpoint sends.
func ParseReport(text []byte, between string, fields map[string]int, into []float64) bool {
	for i := range into {
		into[i] = math.NaN()
	}
	read := false
	for len(text) > 0 && len(into) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte{','})
		name, value, _ := bytes.Cut(pair, []byte(between))
		place, isKnown := fields[string(name)]
		figure, err := strconv.ParseFloat(string(value), 64)
		if err == nil && isKnown && place < len(into) && figure >= 0 && figure <= maxReportedFigure {
			into[place], read = figure, true
		}
	}
	return read
}
