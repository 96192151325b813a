package server

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"hollylever/config"
	"hollylever/protocol"
	"hollylever/settings"
)

// Bounds of the configuration. Times are in milliseconds, as in the file.
const (
	minMemoryMB = 12 // what the program itself needs, and as much again

	maxReportFields = 16   // of a load report: each is kept for each cache host
	maxNamed        = 4096 // workloads, or tenants: as many as cache hosts

	minDescriptor = 3 // under it are standard input, output and error
	maxDescriptor = 1 << 20

	minPositiveMillis = 1e-3 // a microsecond
	minuteMillis      = 60e3
	hourMillis        = 3600e3
	dayMillis         = 24 * hourMillis
)

// configurationParser parses one configuration and collects what is wrong with it.
type configurationParser struct {
	file     string
	text     []byte
	object   gjson.Result
	getenv   func(string) string
	mistakes []config.FieldError

	configuration *Configuration
	settings      map[string]any // the configuration's, by path
}

func newConfigurationParser(file string, text []byte, getenv func(string) string) *configurationParser {
	object := gjson.ParseBytes(text)
	stated := object.Get("settings")
	c := &Configuration{
		File:             file,
		Name:             object.Get("name").String(),
		ListenDescriptor: noDescriptor,
		Cores:            object.Get("limits.cores").Num,
		MemoryMB:         object.Get("limits.memory_mb").Num,
		MaxDescriptors:   int(object.Get("limits.sockets").Num),
		EndpointList:     []byte(object.Get("known").Raw),
		Settings:         settings.Flatten(stated),
		SettingsDigest:   fmt.Sprintf("%x", sha256.Sum256([]byte(stated.Raw)))[:16],
	}
	if name := getenv("LB_NAME"); name != "" {
		c.Name = name
	}
	return &configurationParser{file: file, text: text, object: object, getenv: getenv, configuration: c, settings: c.Settings}
}

// reject notes a mistake of a field of the file.
func (p *configurationParser) reject(field, why string) {
	line, column := position(p.text, field)
	p.mistakes = append(p.mistakes, config.FieldError{File: p.file, Line: line, Column: column, Field: field, Reason: why})
}

// rejectVariable notes a mistake of a variable.
func (p *configurationParser) rejectVariable(name, why string) {
	p.mistakes = append(p.mistakes, config.FieldError{File: name, Reason: why})
}

// position is where a field is in a JSON text, from 1; for one that is missing, where the object that it belongs to
// begins.
func position(text []byte, field string) (line, column int) {
	for ; field != ""; field = field[:max(0, strings.LastIndexByte(field, '.'))] {
		if r := gjson.GetBytes(text, field); r.Exists() && r.Index > 0 {
			before := text[:r.Index]
			return 1 + bytes.Count(before, []byte("\n")), r.Index - bytes.LastIndexByte(before, '\n')
		}
	}
	return 1, 1
}

func (p *configurationParser) parseAddresses() {
	c := p.configuration
	c.ListenAddress = p.parseAddress("listen", "LB_LISTEN")
	c.DiscoveryAddress = p.parseAddress("discovery", "LB_DISCOVERY")
	if p.getenv("LB_MGMT") != "" || p.object.Get("mgmt").Exists() { // Else there is no admin endpoint.
		c.AdminAddress = p.parseAddress("mgmt", "LB_MGMT")
	}
}

// parseAddress returns the address in a variable or, where that is not set, in a field.
func (p *configurationParser) parseAddress(field, variable string) string {
	fromVariable := p.getenv(variable)
	address := fromVariable
	if address == "" {
		address = p.object.Get(field).String()
	}
	if _, err := net.ResolveTCPAddr("tcp", address); err == nil && address != "" {
		return address
	}
	why := fmt.Sprintf("%q is not an address and a port", address)
	if fromVariable != "" {
		p.rejectVariable(variable, why)
	} else {
		p.reject(field, why)
	}
	return address
}

func (p *configurationParser) parseListenDescriptor() {
	const variable = "LB_LISTEN_FD"
	text := p.getenv(variable)
	if text == "" {
		return
	}
	descriptor, err := strconv.Atoi(text)
	if err != nil || descriptor < minDescriptor || descriptor > maxDescriptor {
		p.rejectVariable(variable, fmt.Sprintf("%q is not a descriptor", text))
		return
	}
	p.configuration.ListenDescriptor = descriptor
}

func (p *configurationParser) parseSeed() {
	seed, err := strconv.ParseUint(p.object.Get("seed").String(), 16, 64)
	if err != nil {
		p.reject("seed", "not a hexadecimal number of 64 bits")
		return
	}
	p.configuration.Seed = seed
}

// checkEndpointList checks the form of the list of cache hosts to start with; routing.New reads it.
func (p *configurationParser) checkEndpointList() {
	if _, err := protocol.ParseEndpointList(p.configuration.EndpointList); err != nil {
		p.reject("known", err.Error())
	}
}

// count is the length of a list in the settings.
func (p *configurationParser) count(list string) float64 {
	count, _ := p.settings[list].(float64)
	return count
}

// checkNamedTables checks what workloads and tenants have in common. Two of one name would be counted, and limited, as
// one.
func (p *configurationParser) checkNamedTables() {
	for _, list := range []string{"workloads", "tenants"} {
		names := map[string]bool{"": true}
		for n := range int(min(p.count(list), maxNamed)) {
			path := list + "." + strconv.Itoa(n)
			name, isText := p.settings[path+".name"].(string)
			p.check("settings."+path+".name", isText && !names[name], "not a name of its own")
			names[name] = true
			p.check("settings."+path+".fraction", p.isWithin(path+".fraction", 1), "not a part from 0 to 1") // Tenants have these.
			p.check("settings."+path+".quotaRps", p.isWithin(path+".quotaRps", 1e9), "not a number from 0 to 1000000000")
		}
	}
}

// checkWorkloads checks how each workload's requests may be sent, their times in milliseconds, and what their answers
// are worth.
func (p *configurationParser) checkWorkloads() {
	for n := range int(min(p.count("workloads"), maxNamed)) {
		path := "workloads." + strconv.Itoa(n)
		check := func(field string, isValid bool, why string) { p.check("settings."+path+field, isValid, why) }
		check(".keepOrder", p.isBool(path+".keepOrder"), "neither true nor false")
		check(".effect", p.settings[path+".effect"] != nil && p.isOneOf(path+".effect", "free", "guarded", "single_shot"),
			"none of free, guarded and single_shot")
		check(".group", p.isOneOf(path+".group", "all", "zone", "cell"), "none of all, zone and cell")
		check(".expectedTime", p.isPositiveTime(path+".expectedTime"), "not milliseconds over 0, up to 3600000")
		check(".hardStop", p.isPositiveTime(path+".hardStop"), "not milliseconds over 0, up to 3600000")
		check(".dedupWindow", p.isWithin(path+".dedupWindow", dayMillis), "not milliseconds from 0 to 86400000")
		check(".value", p.isWithin(path+".value", 1e9), "not a number from 0 to 1000000000")
		check(".tardyValue", p.isWithin(path+".tardyValue", 1e9), "not a number from 0 to 1000000000")
	}
}

// checkFields checks what a configuration has once.
func (p *configurationParser) checkFields() {
	p.checkProcess()
	p.checkEndpointTimes()
	p.checkDispatch()
	p.checkTolerances()
	p.checkModes()
}

func (p *configurationParser) checkProcess() {
	c, workloads := p.configuration, p.count("workloads")
	p.check("name", c.Name != "", "missing")
	p.check("limits.cores", c.Cores > 0, "not a number over 0")
	p.check("limits.memory_mb", c.MemoryMB >= minMemoryMB, "not a number of at least "+strconv.Itoa(minMemoryMB))
	p.check("limits.sockets", c.MaxDescriptors >= 2*reservedDescriptors, "not a number of at least "+strconv.Itoa(2*reservedDescriptors))
	p.check("settings", p.object.Get("settings").IsObject(), "not an object")
	p.check("settings.workloads", workloads > 0 && workloads <= maxNamed, "names no workload, or over "+strconv.Itoa(maxNamed))
}

func (p *configurationParser) checkEndpointTimes() {
	p.checkWithin("allowed.connIdle", dayMillis, "not milliseconds from 0 to 86400000")
	p.checkWithin("allowed.dialTimeout", minuteMillis, "not milliseconds from 0 to 60000")
	p.checkBool("allowed.secondCopies")
	p.checkBool("allowed.cancelling")
	p.checkWithin("invariants.askEvery", hourMillis, "not milliseconds from 0 to 3600000")
	p.checkWithin("invariants.drainGrace", hourMillis, "not milliseconds from 0 to 3600000")
	p.checkWithin("invariants.warmUp", dayMillis, "not milliseconds from 0 to 86400000")
	p.checkWithin("invariants.tipAfter", hourMillis, "not milliseconds from 0 to 3600000")
	p.checkWithin("invariants.startCapacity", 1, "not a part from 0 to 1")
	p.checkWithin("invariants.fallMultiple", 1e3, "not a number from 0 to 1000")
}

func (p *configurationParser) checkDispatch() {
	attempts := p.count("allowed.mostTrips")
	p.check("settings.allowed.mostTrips", attempts >= 1 && attempts <= 1000, "not a number from 1 to 1000")
	balancers, stated := p.settings["balancers"]
	p.check("settings.balancers", !stated || isNumberWithin(balancers, 1, 1e6), "not a number from 1 to 1000000")
	p.check("settings.weights", p.isOneOf("weights", "silent", "none", "nominal", "rough", "live"), "none of silent, nominal, rough and live")
	_, ownZoneIsListed := settings.NameIndices(p.settings, "zones", "")[p.configuration.zone()]
	p.check("settings.zone", p.isOneOf("zone", "") || ownZoneIsListed, "none of settings.zones")
}

func (p *configurationParser) checkTolerances() {
	p.checkWithin("invariants.deadlineDrift", minuteMillis, "not milliseconds from 0 to 60000")
	p.checkWithin("invariants.orderSettle", minuteMillis, "not milliseconds from 0 to 60000")
	p.checkWithin("invariants.bootStampError", 10*minuteMillis, "not milliseconds from 0 to 600000")
	p.checkWithin("allowed.outBuffers", 1e6, "not a number from 0 to 1000000")
	p.checkWithin("goal.keptPromises", 1e6, "not a weight of at least 0")
	p.checkWithin("goal.missShare", 1, "not a part from 0 to 1")
	p.checkBool("invariants.onlyDrainingBinds")
}

func (p *configurationParser) checkModes() {
	p.check("settings.registryMode", p.isOneOf("registryMode", "subscribe", "automatic"), "neither subscribe nor automatic")
	p.check("settings.extra.mode", p.isOneOf("extra.mode", "through"), "not through: hosts have no word yet for a read that misses")
	p.check("settings.report.source", p.isOneOf("report.source", "silent", "pull", "piggyback"), "none of silent, pull and piggyback")
	p.check("settings.report.fields", p.areReportFieldsValid(), "not a list of at most "+strconv.Itoa(maxReportFields)+" names, each once")
}

// areReportFieldsValid tells whether the fields of a load report are names, each once.
func (p *configurationParser) areReportFieldsValid() bool {
	count := p.count("report.fields")
	names, listed := settings.NameIndices(p.settings, "report.fields", ""), p.object.Get("settings.report.fields")
	_, hasEmptyName := names[""]
	return int(count) == len(names) && !hasEmptyName && count <= maxReportFields && (!listed.Exists() || listed.IsArray())
}

// check notes a mistake of a field that is not valid.
func (p *configurationParser) check(field string, isValid bool, why string) {
	if !isValid {
		p.reject(field, why)
	}
}

func (p *configurationParser) checkWithin(path string, maxValue float64, why string) {
	p.check("settings."+path, p.isWithin(path, maxValue), why)
}

func (p *configurationParser) checkBool(path string) {
	p.check("settings."+path, p.isBool(path), "neither true nor false")
}

// isWithin tells whether a setting is a number from 0 to maxValue; one that is left out is.
func (p *configurationParser) isWithin(path string, maxValue float64) bool {
	value, stated := p.settings[path]
	return !stated || isNumberWithin(value, 0, maxValue)
}

// isPositiveTime tells whether a setting is a time over 0, up to an hour; one that is left out is not.
func (p *configurationParser) isPositiveTime(path string) bool {
	return isNumberWithin(p.settings[path], minPositiveMillis, hourMillis)
}

// isBool tells whether a setting is true or false; one that is left out is.
func (p *configurationParser) isBool(path string) bool {
	_, isBool := p.settings[path].(bool)
	return isBool || p.settings[path] == nil
}

// isOneOf tells whether a setting is one of the words; one that is left out is, and means what the program has always
// taken it for.
func (p *configurationParser) isOneOf(path string, words ...string) bool {
	value, stated := p.settings[path]
	return !stated || slices.ContainsFunc(words, func(word string) bool { return value == word })
}

func isNumberWithin(value any, minValue, maxValue float64) bool {
	number, isNumber := value.(float64)
	return isNumber && number >= minValue && number <= maxValue
}
