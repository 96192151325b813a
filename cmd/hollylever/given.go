package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"

	"github.com/tidwall/gjson"

	"hollylever/protocol"
	"hollylever/tables"
)

// given is what the balancer is told at its start.
type given struct {
	file, name, listen, discovery, mgmt string
	seed                                uint64
	cores, memory                       float64
	sockets                             int
	inherited                           int // the descriptor of a listening socket, -1 if none is
	known                               []byte
	settings                            map[string]any
}

const (
	mostFields  = 16 // of a load report
	leastMemory = 12 // MB: what the program itself needs, and as much again
)

func within(value any, least, most float64) bool {
	x, is := value.(float64)
	return is && x >= least && x <= most
}

// read takes the configuration file that LB_CONFIG names; the other variables, where they are set, go before it,
// but not when it is read again: the variables are those of the start, the file is new.
// An error names the variable or the field.
func read(again bool) (*given, error) {
	file := os.Getenv("LB_CONFIG")
	if file == "" {
		return nil, errors.New("LB_CONFIG: not set")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	if !gjson.ValidBytes(text) || !gjson.ParseBytes(text).IsObject() {
		return nil, fmt.Errorf("LB_CONFIG: %s is not a JSON object", file)
	}
	object := gjson.ParseBytes(text)
	g := &given{file: file, name: object.Get("name").String(), cores: object.Get("limits.cores").Num,
		memory: object.Get("limits.memory_mb").Num, sockets: int(object.Get("limits.sockets").Num),
		inherited: -1, known: []byte(object.Get("known").Raw), settings: tables.Flat(object.Get("settings"))}
	if name := os.Getenv("LB_NAME"); name != "" {
		g.name = name
	}
	for _, a := range []struct {
		into            *string
		variable, field string
	}{{&g.listen, "LB_LISTEN", "listen"}, {&g.discovery, "LB_DISCOVERY", "discovery"}, {&g.mgmt, "LB_MGMT", "mgmt"}} {
		at := file + ": " + a.field
		*a.into = object.Get(a.field).String()
		if value := os.Getenv(a.variable); value != "" && !again {
			*a.into, at = value, a.variable
		}
		if a.into == &g.mgmt && *a.into == "" && !object.Get(a.field).Exists() {
			continue // No door for operators.
		}
		if _, err := net.ResolveTCPAddr("tcp", *a.into); err != nil || *a.into == "" {
			return nil, fmt.Errorf("%s: %q is not an address and a port", at, *a.into)
		}
	}
	if fd := os.Getenv("LB_LISTEN_FD"); fd != "" && !again {
		if g.inherited, err = strconv.Atoi(fd); err != nil || g.inherited < 3 || g.inherited > 1<<20 {
			return nil, fmt.Errorf("LB_LISTEN_FD: %q is not a descriptor", fd)
		}
	}
	if g.seed, err = strconv.ParseUint(object.Get("seed").String(), 16, 64); err != nil {
		return nil, fmt.Errorf("%s: seed: not a hexadecimal number of 64 bits", file)
	}
	if err := protocol.List(g.known, func(uint64, bool) {}, func(_, _, _ string, _ int64, _, _ string, _ int, _ float64) {}); err != nil {
		return nil, fmt.Errorf("%s: known: %w", file, err)
	}
	workloads, _ := g.settings["workloads"].(float64)
	trips, _ := g.settings["allowed.mostTrips"].(float64)
	zones := tables.Places(g.settings, "zones", "")
	zone, _ := g.settings["zone"].(string)
	_, ownZone := zones[zone]
	count, _ := g.settings["report.fields"].(float64)
	fields, listed := tables.Places(g.settings, "report.fields", ""), object.Get("settings.report.fields")
	_, noName := fields[""]
	is := func(field string, words ...string) bool { // Left out, it is as the program has always taken it.
		word, stated := g.settings[field]
		return !stated || slices.ContainsFunc(words, func(w string) bool { return w == word })
	}
	balancers, some := g.settings["balancers"]
	for _, check := range []struct {
		good       bool
		field, why string
	}{
		{g.name != "", "name", "missing"},
		{g.cores > 0, "limits.cores", "not a number over 0"},
		{g.memory >= leastMemory, "limits.memory_mb", "not a number of at least " + strconv.Itoa(leastMemory)},
		{g.sockets >= 2*reserve, "limits.sockets", "not a number of at least " + strconv.Itoa(2*reserve)},
		{object.Get("settings").IsObject(), "settings", "not an object"},
		{workloads > 0, "settings.workloads", "names no workload"},
		{trips >= 1 && trips <= 1000, "settings.allowed.mostTrips", "not a number from 1 to 1000"},
		{!some || within(balancers, 1, 1e6), "settings.balancers", "not a number from 1 to 1000000"},
		{is("weights", "silent", "none", "nominal", "rough", "live"), "settings.weights",
			"none of silent, nominal, rough and live"},
		{is("zone", "") || ownZone, "settings.zone", "none of settings.zones"},
		{is("registryMode", "subscribe", "automatic"), "settings.registryMode", "neither subscribe nor automatic"},
		{is("extra.mode", "through"), "settings.extra.mode", "not through: hosts have no word yet for a read that misses"},
		{is("report.source", "silent", "pull", "piggyback"), "settings.report.source",
			"none of silent, pull and piggyback"},
		{int(count) == len(fields) && !noName && count <= mostFields && (!listed.Exists() || listed.IsArray()),
			"settings.report.fields", "not a list of at most " + strconv.Itoa(mostFields) + " names, each once"},
	} {
		if !check.good {
			return nil, fmt.Errorf("%s: %s: %s", file, check.field, check.why)
		}
	}
	return g, nil
}
