package protocol

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/tidwall/gjson"
)

func appendWhole(out []byte, n int64) []byte { return strconv.AppendInt(out, n, 10) }

const mostWeight = 1e9

var errNotList = errors.New("not a list of servers")

// List reads a list in discovery's form. The whole of it is looked at before anything is told, so that a damaged
// one changes nothing; then begin is called, and row for each entry.
func List(line []byte, begin func(index uint64, whole bool),
	row func(name, address, status string, started int64, kind, zone string, cell int, weight float64)) error {
	if !gjson.ValidBytes(line) {
		return errNotList
	}
	list := gjson.ParseBytes(line)
	index, endpoints := list.Get("index"), list.Get("endpoints")
	if !list.IsObject() || index.Type != gjson.Number || !endpoints.IsArray() || !isBool(list.Get("snapshot")) {
		return errNotList
	}
	entries := endpoints.Array()
	for i, e := range entries {
		field := ""
		switch status := e.Get("status"); {
		case e.Get("name").Type != gjson.String || e.Get("name").Str == "":
			field = "name"
		case status.Str != "Ready" && status.Str != "Terminating" && status.Str != "Gone":
			field = "status"
		case e.Get("address").Type != gjson.String || e.Get("address").Str == "" && status.Str != "Gone":
			field = "address"
		case e.Get("since_ms").Num < 0:
			field = "since_ms"
		}
		if field != "" {
			return fmt.Errorf("entry %d of the list: bad %s", i, field)
		}
	}
	begin(index.Uint(), list.Get("snapshot").Bool())
	for _, e := range entries {
		weight := e.Get("weight").Num
		if !(weight > 0 && weight <= mostWeight) {
			weight = 0 // Not stated: a bad weight need not spoil the list.
		}
		row(e.Get("name").Str, e.Get("address").Str, e.Get("status").Str,
			int64(e.Get("since_ms").Num*1e6), e.Get("type").Str, e.Get("zone").Str,
			int(e.Get("group").Int()), weight)
	}
	return nil
}

func isBool(r gjson.Result) bool { return r.Type == gjson.True || r.Type == gjson.False }
