package server

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"hollylever/fields"
	"hollylever/protocol"
	"hollylever/tables"
	"hollylever/transport"
)

// given is what the balancer is told at its start.
type given struct {
	file, name, listen, discovery, mgmt string
	digest                              string // of the settings
	seed                                uint64
	cores, memory                       float64
	sockets                             int
	inherited                           int // the descriptor of a listening socket, -1 if none is
	known                               []byte
	settings                            map[string]any
}

const (
	mostFields  = 16   // of a load report
	maxNamed    = 4096 // workloads, or tenants
	leastTime   = 1e-3 // ms
	leastMemory = 12   // MB: what the program itself needs, and as much again

	writtenWithin = time.Second           // a configuration that is being written when the program starts is whole by then
	writtenEvery  = 10 * time.Millisecond // and is looked at so often
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
	wait := writtenWithin
	if again {
		wait = 0 // What is in force stays, and nothing that serves may wait.
	}
	text, err := readWhole(file, wait)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	variable := os.Getenv
	if again {
		variable = func(name string) string {
			if name == "LB_NAME" {
				return os.Getenv(name)
			}
			return ""
		}
	}
	g, wrong := examine(file, text, variable)
	if len(wrong) > 0 {
		first := wrong[0]
		first.Line = 0 // One line of a log or of an end, with the field that is to be found.
		return nil, first
	}
	return g, nil
}

// readWhole reads the configuration file. One that is missing or not a whole JSON object may just be written: it is read again until it is
// one, or the wait is over; so is one that can't be opened for want of descriptors. Guards a process that starts while discovery is moved against ending for half a file.
func readWhole(file string, wait time.Duration) ([]byte, error) {
	for end := time.Now().Add(wait); ; time.Sleep(writtenEvery) {
		text, err := os.ReadFile(file)
		isBeingWritten := errors.Is(err, fs.ErrNotExist) || err == nil && !isObject(text)
		if !isBeingWritten && !transport.IsLocalShortage(err) || !time.Now().Before(end) {
			return text, err
		}
	}
}

func isObject(text []byte) bool { return gjson.ValidBytes(text) && gjson.ParseBytes(text).IsObject() }

// notObject is the mistake of a file that is no configuration at all.
func notObject(file string) []fields.FieldError {
	return []fields.FieldError{{File: "LB_CONFIG", Why: file + " is not a JSON object"}}
}

// examine looks at the whole of a configuration and gives what it says, or all that is wrong with it.
func examine(file string, text []byte, variable func(string) string) (*given, []fields.FieldError) {
	if !isObject(text) {
		return nil, notObject(file)
	}
	object := gjson.ParseBytes(text)
	var wrong []fields.FieldError
	add := func(field, why string) {
		m := fields.FieldError{File: file, Field: field, Why: why}
		m.Line, m.Column = lineOf(text, field)
		wrong = append(wrong, m)
	}
	g := &given{file: file, name: object.Get("name").String(), cores: object.Get("limits.cores").Num,
		memory: object.Get("limits.memory_mb").Num, sockets: int(object.Get("limits.sockets").Num),
		digest:    fmt.Sprintf("%x", sha256.Sum256([]byte(object.Get("settings").Raw)))[:16],
		inherited: -1, known: []byte(object.Get("known").Raw), settings: tables.Flat(object.Get("settings"))}
	if name := variable("LB_NAME"); name != "" {
		g.name = name
	}
	for _, a := range []struct {
		into            *string
		variable, field string
	}{{&g.listen, "LB_LISTEN", "listen"}, {&g.discovery, "LB_DISCOVERY", "discovery"}, {&g.mgmt, "LB_MGMT", "mgmt"}} {
		value := variable(a.variable)
		if *a.into = object.Get(a.field).String(); value != "" {
			*a.into = value
		}
		if a.into == &g.mgmt && *a.into == "" && !object.Get(a.field).Exists() {
			continue // No door for operators.
		}
		if _, err := net.ResolveTCPAddr("tcp", *a.into); err == nil && *a.into != "" {
			continue
		}
		why := fmt.Sprintf("%q is not an address and a port", *a.into)
		if value != "" {
			wrong = append(wrong, fields.FieldError{File: a.variable, Why: why})
		} else {
			add(a.field, why)
		}
	}
	var err error
	if fd := variable("LB_LISTEN_FD"); fd != "" {
		if g.inherited, err = strconv.Atoi(fd); err != nil || g.inherited < 3 || g.inherited > 1<<20 {
			wrong = append(wrong, fields.FieldError{File: "LB_LISTEN_FD", Why: fmt.Sprintf("%q is not a descriptor", fd)})
		}
	}
	if g.seed, err = strconv.ParseUint(object.Get("seed").String(), 16, 64); err != nil {
		add("seed", "not a hexadecimal number of 64 bits")
	}
	if _, err := protocol.ParseEndpointList(g.known); err != nil {
		add("known", err.Error())
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
	span := func(field string, most float64) bool { // In ms; left out, 0.
		ms, stated := g.settings[field]
		return !stated || within(ms, 0, most)
	}
	yes := func(field string) bool {
		_, is := g.settings[field].(bool)
		return is || g.settings[field] == nil
	}
	for _, list := range []string{"workloads", "tenants"} {
		count, _ := g.settings[list].(float64)
		names := map[string]bool{"": true}
		for n := range int(min(count, maxNamed)) {
			at := list + "." + strconv.Itoa(n)
			name, is := g.settings[at+".name"].(string)
			if !is || names[name] {
				add("settings."+at+".name", "not a name of its own")
			}
			names[name] = true
			if !span(at+".fraction", 1) { // Tenants have these.
				add("settings."+at+".fraction", "not a part from 0 to 1")
			}
			if !span(at+".quotaRps", 1e9) {
				add("settings."+at+".quotaRps", "not a number from 0 to 1000000000")
			}
		}
	}
	for w := range int(min(workloads, maxNamed)) {
		at := "workloads." + strconv.Itoa(w)
		for _, check := range []struct {
			good       bool
			field, why string
		}{
			{yes(at + ".keepOrder"), ".keepOrder", "neither true nor false"},
			{g.settings[at+".effect"] != nil && is(at+".effect", "free", "guarded", "single_shot"), ".effect",
				"none of free, guarded and single_shot"},
			{is(at+".group", "all", "zone", "cell"), ".group", "none of all, zone and cell"},
			{within(g.settings[at+".expectedTime"], leastTime, 3600e3), ".expectedTime", "not milliseconds over 0, up to 3600000"},
			{within(g.settings[at+".hardStop"], leastTime, 3600e3), ".hardStop", "not milliseconds over 0, up to 3600000"},
			{span(at+".dedupWindow", 24*3600e3), ".dedupWindow", "not milliseconds from 0 to 86400000"},
			{span(at+".value", 1e9), ".value", "not a number from 0 to 1000000000"},
			{span(at+".tardyValue", 1e9), ".tardyValue", "not a number from 0 to 1000000000"},
		} {
			if !check.good {
				add("settings."+at+check.field, check.why)
			}
		}
	}
	for _, check := range []struct {
		good       bool
		field, why string
	}{
		{g.name != "", "name", "missing"},
		{g.cores > 0, "limits.cores", "not a number over 0"},
		{g.memory >= leastMemory, "limits.memory_mb", "not a number of at least " + strconv.Itoa(leastMemory)},
		{g.sockets >= 2*reserve, "limits.sockets", "not a number of at least " + strconv.Itoa(2*reserve)},
		{object.Get("settings").IsObject(), "settings", "not an object"},
		{workloads > 0 && workloads <= maxNamed, "settings.workloads", "names no workload, or over " + strconv.Itoa(maxNamed)},
		{span("allowed.connIdle", 24*3600e3), "settings.allowed.connIdle", "not milliseconds from 0 to 86400000"},
		{span("allowed.dialTimeout", 60e3), "settings.allowed.dialTimeout", "not milliseconds from 0 to 60000"},
		{yes("allowed.secondCopies"), "settings.allowed.secondCopies", "neither true nor false"},
		{yes("allowed.cancelling"), "settings.allowed.cancelling", "neither true nor false"},
		{span("invariants.askEvery", 3600e3), "settings.invariants.askEvery", "not milliseconds from 0 to 3600000"},
		{span("invariants.drainGrace", 3600e3), "settings.invariants.drainGrace", "not milliseconds from 0 to 3600000"},
		{span("invariants.warmUp", 24*3600e3), "settings.invariants.warmUp", "not milliseconds from 0 to 86400000"},
		{span("invariants.tipAfter", 3600e3), "settings.invariants.tipAfter", "not milliseconds from 0 to 3600000"},
		{span("invariants.startCapacity", 1), "settings.invariants.startCapacity", "not a part from 0 to 1"},
		{span("invariants.fallMultiple", 1e3), "settings.invariants.fallMultiple", "not a number from 0 to 1000"},
		{trips >= 1 && trips <= 1000, "settings.allowed.mostTrips", "not a number from 1 to 1000"},
		{!some || within(balancers, 1, 1e6), "settings.balancers", "not a number from 1 to 1000000"},
		{is("weights", "silent", "none", "nominal", "rough", "live"), "settings.weights",
			"none of silent, nominal, rough and live"},
		{is("zone", "") || ownZone, "settings.zone", "none of settings.zones"},
		{span("invariants.deadlineDrift", 60e3), "settings.invariants.deadlineDrift", "not milliseconds from 0 to 60000"},
		{span("invariants.orderSettle", 60e3), "settings.invariants.orderSettle", "not milliseconds from 0 to 60000"},
		{span("invariants.bootStampError", 600e3), "settings.invariants.bootStampError", "not milliseconds from 0 to 600000"},
		{span("allowed.outBuffers", 1e6), "settings.allowed.outBuffers", "not a number from 0 to 1000000"},
		{span("goal.keptPromises", 1e6), "settings.goal.keptPromises", "not a weight of at least 0"},
		{span("goal.missShare", 1), "settings.goal.missShare", "not a part from 0 to 1"},
		{yes("invariants.onlyDrainingBinds"), "settings.invariants.onlyDrainingBinds", "neither true nor false"},
		{is("registryMode", "subscribe", "automatic"), "settings.registryMode", "neither subscribe nor automatic"},
		{is("extra.mode", "through"), "settings.extra.mode", "not through: hosts have no word yet for a read that misses"},
		{is("report.source", "silent", "pull", "piggyback"), "settings.report.source",
			"none of silent, pull and piggyback"},
		{int(count) == len(fields) && !noName && count <= mostFields && (!listed.Exists() || listed.IsArray()),
			"settings.report.fields", "not a list of at most " + strconv.Itoa(mostFields) + " names, each once"},
	} {
		if !check.good {
			add(check.field, check.why)
		}
	}
	return g, wrong
}

// lineOf is where a field stands in a JSON text; one that is missing, where what it belongs to begins.
func lineOf(text []byte, field string) (line, column int) {
	for ; field != ""; field = field[:max(0, strings.LastIndexByte(field, '.'))] {
		if r := gjson.GetBytes(text, field); r.Exists() && r.Index > 0 {
			before := text[:r.Index]
			return 1 + bytes.Count(before, []byte("\n")), r.Index - bytes.LastIndexByte(before, '\n')
		}
	}
	return 1, 1
}
