package protocol

import (
	"errors"
	"fmt"

	"github.com/tidwall/gjson"
)

// maxWeight is the largest weight of an endpoint; a larger one is treated as absent.
const maxWeight = 1e9

// ErrNotEndpointList is returned for a line that is not an endpoint list.
var ErrNotEndpointList = errors.New("not a list of servers")

// EntryError is returned for a list that has an entry with a missing or invalid field.
type EntryError struct {
	Entry int // index in the list, starting at 0
	Field string
}

// Error names the entry and the field.
func (e EntryError) Error() string {
	return fmt.Sprintf("entry %d of the list: bad %s", e.Entry, e.Field)
}

// EndpointList is a full list of endpoints, or the changes since an earlier list.
type EndpointList struct {
	Index      uint64 // version of the list; later versions have higher numbers
	IsSnapshot bool   // whether all endpoints are listed, or only those that changed
	Endpoints  []Endpoint
}

// Endpoint is an entry of the endpoint list: a server.
type Endpoint struct {
	Name           string
	Address        string // may be empty if the status is EndpointGone
	Status         EndpointStatus
	StartedAtNanos int64 // when the server started: wall clock, in nanoseconds since the Unix epoch
	Kind           string
	Zone           string
	Group          int
	Weight         float64 // 0 if absent or invalid
}

// ParseEndpointList parses one line: an endpoint list in JSON. It checks all entries, and an invalid one makes the
// whole list an error, so that a damaged list is never applied in part. The error is an EntryError or
// ErrNotEndpointList.
func ParseEndpointList(line []byte) (EndpointList, error) {
	if !gjson.ValidBytes(line) {
		return EndpointList{}, ErrNotEndpointList
	}
	object := gjson.ParseBytes(line)
	index, entries, isSnapshot := object.Get("index"), object.Get("endpoints"), object.Get("snapshot")
	if !object.IsObject() || index.Type != gjson.Number || !entries.IsArray() || !isSnapshot.IsBool() {
		return EndpointList{}, ErrNotEndpointList
	}
	list := EndpointList{Index: index.Uint(), IsSnapshot: isSnapshot.Bool()}
	for i, entry := range entries.Array() {
		if field := badField(entry); field != "" {
			return EndpointList{}, EntryError{Entry: i, Field: field}
		}
		list.Endpoints = append(list.Endpoints, parseEndpoint(entry))
	}
	return list, nil
}

// badField returns the name of the first field that makes an entry invalid, or "" if the entry is valid.
func badField(entry gjson.Result) string {
	name, address := entry.Get("name"), entry.Get("address")
	status := parseEndpointStatus(entry.Get("status").Str)
	switch {
	case name.Type != gjson.String || name.Str == "":
		return "name"
	case status == 0:
		return "status"
	case address.Type != gjson.String || address.Str == "" && status != EndpointGone:
		return "address"
	case entry.Get("since_ms").Num < 0:
		return "since_ms"
	}
	return ""
}

// parseEndpoint converts an entry that badField accepted. An invalid weight is treated as absent; it is not an error.
func parseEndpoint(entry gjson.Result) Endpoint {
	weight := entry.Get("weight").Num
	if !(weight > 0 && weight <= maxWeight) {
		weight = 0
	}
	return Endpoint{
		Name:           entry.Get("name").Str,
		Address:        entry.Get("address").Str,
		Status:         parseEndpointStatus(entry.Get("status").Str),
		StartedAtNanos: int64(entry.Get("since_ms").Num * 1e6),
		Kind:           entry.Get("type").Str,
		Zone:           entry.Get("zone").Str,
		Group:          int(entry.Get("group").Int()),
		Weight:         weight,
	}
}
