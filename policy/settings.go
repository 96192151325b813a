package policy

import "strconv"

// settings holds the operators' settings that the package uses, as read by New. Durations are nanoseconds.
type settings struct {
	classes []requestClass
	quotas  []float64 // requests per second of each tenant, for the whole fleet; 0: no quota
	zone    int       // this balancer's zone, as an index in the list of zones; -1: not stated

	fleetSize         float64 // number of balancers, at least 1
	maxAttempts       int     // per request, at least 1
	mayHedge          bool    // two attempts of a request may be in flight at the same time
	mayCancel         bool    // attempts may be cancelled
	maxRetryAfter     int64   // the longest Retry-After that clients honour; 0: Retry-After must not be sent
	dialTimeout       int64   // a connection that is not established within it has failed
	hasLimitedBuffers bool    // a response to a slow client holds one of a limited number of buffers until its attempt ends

	startCapacity    float64 // fraction of its full capacity that an endpoint has when it starts
	warmUp           int64   // time until it has its full capacity
	overloadMultiple float64 // an endpoint that is warming up fails if it is sent more than this multiple of its capacity
	overloadAfter    int64   // for this long

	deadlineDrift  int64 // by how much longer than stated a client may wait, because clocks differ
	startTimeError int64 // the largest error of a stated start time
	keyOrderDelay  int64 // pause of a key whose requests are sent in order, after an attempt that may still be running

	cacheAside        bool // the balancer, not the cache, fetches missing keys from the origin
	originMachineType int  // machine type of the origin; -1: there is no origin
	weightsFollowLoad bool // stated weights decrease as load increases

	mayUseRemoved bool  // an endpoint that is removed without having drained may be sent to
	mustSubscribe bool  // discovery sends changes of the list only to balancers that watch it
	isListPushed  bool  // discovery sends changes without being asked
	pollInterval  int64 // time after which a list counts as known even if the balancer has not called for it
	drainGrace    int64 // time for which attempts may still start after a drain is known

	reportFields  []string // names of the values of a load report, in order
	reportsStrain bool     // one of them shows how busy an endpoint is
}

// The scopes within which endpoints drop duplicates of an idempotent request, as named in the settings.
const (
	dedupAll          = "all"
	dedupZone         = "zone"
	dedupReplicaGroup = "cell"
)

// requestClass holds the settings of one class of requests. Durations are nanoseconds.
type requestClass struct {
	effect           Effect
	inOrder          bool    // requests with the same key are sent one at a time, in the order of arrival
	dedupGroup       string  // for Idempotent, which endpoints drop duplicates: dedupAll, dedupZone or dedupReplicaGroup
	dedupWindow      int64   // how long they do so, from the first attempt that may have run
	objective        int64   // latency objective: an answer within it has its full value
	objectiveStretch float64 // the objective is extended by the predicted work times this factor
	lateValue        float64 // fraction of its value that an answer keeps after the objective; 0: none
}

// settingValues maps dotted names to values. A missing value reads as 0, "" or false.
type settingValues map[string]any

func (v settingValues) number(name string) float64 { x, _ := v[name].(float64); return x }
func (v settingValues) text(name string) string    { s, _ := v[name].(string); return s }
func (v settingValues) boolean(name string) bool   { y, _ := v[name].(bool); return y }

// duration returns a setting in milliseconds as nanoseconds.
func (v settingValues) duration(name string) int64 {
	return int64(v.number(name) * float64(millisecond))
}

// list returns the names of the entries of a list: "NAME.0", "NAME.1" and so on. The value of NAME is their number.
func (v settingValues) list(name string) []string {
	names := make([]string, int(v.number(name)))
	for i := range names {
		names[i] = name + "." + strconv.Itoa(i)
	}
	return names
}

// readSettings converts the operators' settings to typed ones. The names used in settings files do not occur in the
// rest of the package.
func readSettings(values map[string]any) settings {
	v := settingValues(values)
	s := settings{
		zone:              -1,
		fleetSize:         max(1, v.number("balancers")),
		maxAttempts:       max(1, int(v.number("allowed.mostTrips"))),
		mayHedge:          v.boolean("allowed.secondCopies"),
		mayCancel:         v.boolean("allowed.cancelling"),
		dialTimeout:       v.duration("allowed.dialTimeout"),
		hasLimitedBuffers: v.number("allowed.outBuffers") > 0,
		startCapacity:     v.number("invariants.startCapacity"),
		warmUp:            v.duration("invariants.warmUp"),
		overloadMultiple:  v.number("invariants.fallMultiple"),
		overloadAfter:     v.duration("invariants.tipAfter"),
		deadlineDrift:     v.duration("invariants.deadlineDrift"),
		startTimeError:    v.duration("invariants.bootStampError"),
		keyOrderDelay:     v.duration("invariants.orderSettle"),
		cacheAside:        v.text("extra.mode") == "aside",
		originMachineType: int(v.number("extra.originKind")),
		weightsFollowLoad: v.text("weights") == "live",
		mayUseRemoved:     v.boolean("invariants.onlyDrainingBinds"),
		mustSubscribe:     v.text("registryMode") == "subscribe",
		isListPushed:      v.text("registryMode") == "automatic",
		pollInterval:      v.duration("invariants.askEvery"),
		drainGrace:        v.duration("invariants.drainGrace"),
	}
	if v.boolean("allowed.retryAfter") {
		s.maxRetryAfter = v.duration("allowed.maxRetryAfter")
	}
	for i, name := range v.list("zones") {
		if v.text(name) == v.text("zone") {
			s.zone = i
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

// requestClass reads the entry with the given name from the list of request classes.
func (v settingValues) requestClass(name string) requestClass {
	class := requestClass{
		inOrder:          v.boolean(name + ".keepOrder"),
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
