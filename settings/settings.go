// Package settings holds what each caller of the decision module needs to prepare its input: it flattens the operators'
// settings into a map of dotted names, maps names in them to small indices, parses load reports, and allocates small
// indices for requests and endpoints.
package settings

import (
	"bytes"
	"math"
	"strconv"

	"github.com/tidwall/gjson"
)

// Flatten returns the settings as a map of dotted names ("workloads.0.name") to values. The name of a list has the
// list's length as its value.
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
		value.ForEach(func(_, inner gjson.Result) bool { // Unlike value.Array, this allocates no slice for a list of a thousand names.
			flatten(into, name+"."+strconv.Itoa(length), inner)
			length++
			return true
		})
		into[name] = float64(length)
	default:
		into[name] = value.Value()
	}
}

// NameIndices maps each name of a list in the settings to its index in the list. inner is the path of the name within an
// entry (".name"), or empty if the entry itself is the name.
func NameIndices(settings map[string]any, list, inner string) map[string]int {
	count, _ := settings[list].(float64)
	indices := make(map[string]int, int(count))
	for i := range int(count) {
		name, _ := settings[list+"."+strconv.Itoa(i)+inner].(string)
		indices[name] = i
	}
	return indices
}

// maxReportValue is the largest value accepted in a load report: no endpoint serves a billion requests a second.
const maxReportValue = 1e9

// ParseReport parses an endpoint's load report, a comma-separated list of names and values, into the indices that the
// settings give the fields. A value that is missing, invalid, negative or above maxReportValue becomes NaN. It returns
// whether any value was read. It protects the decision module from arbitrary input of endpoints.
func ParseReport(report []byte, separator string, fields map[string]int, into []float64) bool {
	for i := range into {
		into[i] = math.NaN()
	}
	read := false
	for len(report) > 0 && len(into) > 0 {
		var pair []byte
		pair, report, _ = bytes.Cut(report, []byte{','})
		name, value, _ := bytes.Cut(pair, []byte(separator))
		index, isKnown := fields[string(name)]
		parsed, err := strconv.ParseFloat(string(value), 64)
		if err == nil && isKnown && index < len(into) && parsed >= 0 && parsed <= maxReportValue {
			into[index], read = parsed, true
		}
	}
	return read
}
