package policy

import "strconv"

// settings are the operators' settings that the module decides by, read once. Durations are nanoseconds.
type settings struct {
	classes []requestClass
	quotas  []float64 // requests a second by tenant, for all balancers together; 0: none
	zone    int       // this balancer's own, by its place in zones; -1: not stated

	fleetSize     float64 // balancers, at least 1
	maxAttempts   int     // of a request, at least 1
	mayHedge      bool    // two attempts of a request may be in flight at the same time
	mayCancel     bool    // attempts may be cancelled
	maxRetryAfter int64   // the longest wait that a rejected client honours; 0: none may be stated
	dialTimeout   int64   // a connection that is not up after it has failed
	hasFewBuffers bool    // an answer that a client reads slowly keeps one of a few buffers until its attempt ends

	startCapacity    float64 // part of its usual capacity that an endpoint has at its start
	warmUp           int64   // time in which its capacity climbs to the whole
	overloadMultiple float64 // a warming endpoint that is sent more than so many times its capacity falls over,
	overloadAfter    int64   // when that lasts for so long

	deadlineDrift  int64 // a client may wait by so much longer than stated, as clocks differ
	bootStampError int64 // by which a stated start may be off
	orderSettle    int64 // how long a key in order rests after an attempt that may still run

	cacheAside        bool // misses come back to the balancer, which asks the origin
	originMachineType int  // of the endpoint that is the origin; -1: none
	weightsFollowLoad bool // stated weights fall as load rises

	onlyDrainingBinds bool  // an endpoint that is removed without having drained may be sent to
	mustSubscribe     bool  // changes of the list are sent only to balancers that watch it
	isListPushed      bool  // changes come unasked
	pollInterval      int64 // time after which a list that was not called for counts as known
	drainGrace        int64 // time for which attempts may begin after a drain is known

	reportFields  []string // of a load report, in its order
	reportsStrain bool     // one of them tells how busy an endpoint is
}

// The groups of endpoints that drop a repeat of an idempotent request, as the operators name them.
const (
	dedupAll          = "all"
	dedupZone         = "zone"
	dedupReplicaGroup = "cell"
)

// requestClass is what the operators state of one class of requests. Durations are nanoseconds.
type requestClass struct {
	effect           Effect
	inOrder          bool    // requests of one key go one at a time, in the order in which they came
	dedupGroup       string  // Idempotent: dedupAll, dedupZone or dedupReplicaGroup: which endpoints drop a repeat
	dedupWindow      int64   // and for how long from the first attempt that may have run
	objective        int64   // an answer by then has its whole value
	objectiveStretch float64 // it grows by so many times the predicted work
	lateValue        float64 // part of the value of an answer after that; 0: none
}

// settingValues are the settings as a plain map of dotted names to values. One that is missing is 0, "" or false.
type settingValues map[string]any

func (v settingValues) number(name string) float64 { x, _ := v[name].(float64); return x }
func (v settingValues) text(name string) string    { s, _ := v[name].(string); return s }
func (v settingValues) yes(name string) bool       { y, _ := v[name].(bool); return y }

// duration is a number of milliseconds, as nanoseconds.
func (v settingValues) duration(name string) int64 {
	return int64(v.number(name) * float64(millisecond))
}

// list returns the names of a list's entries: "NAME.0", "NAME.1" and so on.
func (v settingValues) list(name string) []string {
	names := make([]string, int(v.number(name)))
	for i := range names {
		names[i] = name + "." + strconv.Itoa(i)
	}
	return names
}

// readSettings translates the operators' settings into typed ones. Nothing behind it uses the operators' names.
func readSettings(values map[string]any) settings {
	v := settingValues(values)
	s := settings{
		zone:              -1,
		fleetSize:         max(1, v.number("balancers")),
		maxAttempts:       max(1, int(v.number("allowed.mostTrips"))),
		mayHedge:          v.yes("allowed.secondCopies"),
		mayCancel:         v.yes("allowed.cancelling"),
		dialTimeout:       v.duration("allowed.dialTimeout"),
		hasFewBuffers:     v.number("allowed.outBuffers") > 0,
		startCapacity:     v.number("invariants.startCapacity"),
		warmUp:            v.duration("invariants.warmUp"),
		overloadMultiple:  v.number("invariants.fallMultiple"),
		overloadAfter:     v.duration("invariants.tipAfter"),
		deadlineDrift:     v.duration("invariants.deadlineDrift"),
		bootStampError:    v.duration("invariants.bootStampError"),
		orderSettle:       v.duration("invariants.orderSettle"),
		cacheAside:        v.text("extra.mode") == "aside",
		originMachineType: int(v.number("extra.originKind")),
		weightsFollowLoad: v.text("weights") == "live",
		onlyDrainingBinds: v.yes("invariants.onlyDrainingBinds"),
		mustSubscribe:     v.text("registryMode") == "subscribe",
		isListPushed:      v.text("registryMode") == "automatic",
		pollInterval:      v.duration("invariants.askEvery"),
		drainGrace:        v.duration("invariants.drainGrace"),
	}
	if v.yes("allowed.retryAfter") {
		s.maxRetryAfter = v.duration("allowed.maxRetryAfter")
	}
	for place, name := range v.list("zones") {
		if v.text(name) == v.text("zone") {
			s.zone = place
		}
	}
	for _, name := range v.list("report.fields") {
		field := v.text(name)
		s.reportFields = append(s.reportFields, field)
		s.reportsStrain = s.reportsStrain || field == reportCPUShare || field == reportPending
	}
	for _, name := range v.list("workloads") {
		s.classes = append(s.classes, v.requestClass(name))
	}
	for _, name := range v.list("tenants") {
		s.quotas = append(s.quotas, v.number(name+".quotaRps"))
	}
	return s
}

// requestClass reads one entry of the list of request classes.
func (v settingValues) requestClass(name string) requestClass {
	class := requestClass{
		inOrder:          v.yes(name + ".keepOrder"),
		dedupGroup:       v.text(name + ".group"),
		dedupWindow:      v.duration(name + ".dedupWindow"),
		objective:        v.duration(name + ".expectedTime"),
		objectiveStretch: v.number(name + ".aimStretch"),
		lateValue:        v.number(name + ".tardyValue"),
	}
	switch v.text(name + ".effect") {
	case "guarded":
		class.effect = Idempotent
	case "single_shot":
		class.effect = NonIdempotent
	}
	return class
}
