// Package tables holds what every driver of the decision module needs: the settings as a plain map, and the
// tables that turn names into small indices at the door.
package tables

import (
	"strconv"

	"github.com/tidwall/gjson"
)

// Flat turns the settings into a plain map: dotted names to values, a list's length under its own name.
func Flat(object gjson.Result) map[string]any {
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
		list := value.Array()
		into[name] = float64(len(list))
		for i, inner := range list {
			flatten(into, name+"."+strconv.Itoa(i), inner)
		}
	default:
		into[name] = value.Value()
	}
}

// Places gives each name of a list in the settings its place there; inner leads to the name within an entry.
func Places(settings map[string]any, list, inner string) map[string]int {
	places := map[string]int{}
	count, _ := settings[list].(float64)
	for i := range int(count) {
		name, _ := settings[list+"."+strconv.Itoa(i)+inner].(string)
		places[name] = i
	}
	return places
}
