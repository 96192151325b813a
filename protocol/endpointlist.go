package protocol

import (
	"errors"
	"fmt"

	"github.com/tidwall/gjson"
)

// maxWeight bounds a server's weight; one beyond it is taken as not stated.
const maxWeight = 1e9

// ErrNotEndpointList is the error of a line that is no endpoint list.
var ErrNotEndpointList = errors.New("not a list of servers")

// EntryError is the error of a list with an entry of which a field is missing or bad.
type EntryError struct {
	Entry int // from 0
	Field string
}

// Error names the entry and the field.
func (e EntryError) Error() string {
	return fmt.Sprintf("entry %d of the list: bad %s", e.Entry, e.Field)
}

// EndpointList is a list of servers, or the changes since an earlier one.
type EndpointList struct {
	Index      uint64 // of the list's version; later ones have higher numbers
	IsSnapshot bool   // all servers are listed, else only those that have changed
	Endpoints  []Endpoint
}

// Endpoint is an entry of the list.
type Endpoint struct {
	Name           string
	Address        string // may be empty for one that is gone
	Status         EndpointStatus
	StartedAtNanos int64 // when the server started, by the wall clock, in nanoseconds since 1970
	Kind           string
	Zone           string
	Group          int
	Weight         float64 // 0: not stated
}

// ParseEndpointList reads a line of the endpoint list. It checks all entries: a list with a bad one is an error as a
// whole (EntryError, ErrNotEndpointList), so that a damaged list changes nothing.
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

// badField returns the name of the first field of an entry that spoils the list, "" if none does.
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

// parseEndpoint reads an entry without a bad field. A bad weight does not spoil the list: it counts as not stated.
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
