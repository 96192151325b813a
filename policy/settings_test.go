package policy

import (
	"reflect"
	"testing"
)

// A settings file may lack any setting, so each must have a usable default.
func TestMissingSettingsHaveDefaults(t *testing.T) {
	want := settings{zone: -1, fleetSize: 1, maxAttempts: 1}
	if got := readSettings(nil); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// A misspelled name would silently leave a rule without its setting. Each setting must be read under its name in the
// settings file and converted to its unit.
func TestEachSettingIsRead(t *testing.T) {
	got := readSettings(map[string]any{
		"zones": 2.0, "zones.0": "a", "zones.1": "b", "zone": "b",
		"balancers":                    30.0,
		"allowed.mostTrips":            3.0,
		"allowed.secondCopies":         true,
		"allowed.cancelling":           true,
		"allowed.retryAfter":           true,
		"allowed.maxRetryAfter":        2000.0,
		"allowed.dialTimeout":          200.0,
		"allowed.outBuffers":           4.0,
		"invariants.startCapacity":     0.2,
		"invariants.warmUp":            9000.0,
		"invariants.fallMultiple":      2.5,
		"invariants.tipAfter":          1000.0,
		"invariants.deadlineDrift":     500.0,
		"invariants.bootStampError":    800.0,
		"invariants.orderSettle":       0.5,
		"invariants.onlyDrainingBinds": true,
		"invariants.askEvery":          10000.0,
		"invariants.drainGrace":        2500.0,
		"extra.mode":                   "aside",
		"extra.originKind":             2.0,
		"weights":                      "live",
		"registryMode":                 "subscribe",
		"report.fields":                2.0, "report.fields.0": "served_ps", "report.fields.1": "pending",
		"tenants": 2.0, "tenants.0.quotaRps": 50.0,
		"workloads":             3.0,
		"workloads.0.effect":    "free",
		"workloads.0.keepOrder": true,
		"workloads.1.effect":    "guarded", "workloads.1.group": "zone", "workloads.1.dedupWindow": 900.0,
		"workloads.2.effect": "single_shot", "workloads.2.expectedTime": 600.0, "workloads.2.aimStretch": 2.0, "workloads.2.tardyValue": 0.2,
	})
	want := settings{
		classes: []requestClass{
			{effect: Safe, inOrder: true},
			{effect: Idempotent, dedupGroup: "zone", dedupWindow: 900 * ms},
			{effect: NonIdempotent, objective: 600 * ms, objectiveStretch: 2, lateValue: 0.2},
		},
		quotas: []float64{50, 0}, zone: 1, fleetSize: 30, maxAttempts: 3, mayHedge: true, mayCancel: true,
		maxRetryAfter: 2 * second, dialTimeout: 200 * ms, hasLimitedBuffers: true,
		startCapacity: 0.2, warmUp: 9 * second, overloadMultiple: 2.5, overloadAfter: second,
		deadlineDrift: 500 * ms, startTimeError: 800 * ms, keyOrderDelay: ms / 2,
		cacheAside: true, originMachineType: 2, weightsFollowLoad: true,
		mayUseRemoved: true, mustSubscribe: true, pollInterval: 10 * second, drainGrace: 2500 * ms,
		reportFields: []string{"served_ps", "pending"}, reportsStrain: true,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Without permission to send Retry-After, a stated maximum has no effect. A pushed list needs no watch.
func TestSettingsThatDependOnOthers(t *testing.T) {
	if s := readSettings(map[string]any{"allowed.maxRetryAfter": 2000.0}); s.maxRetryAfter != 0 {
		t.Errorf("Retry-After of up to %d ns may be sent although it is not allowed", s.maxRetryAfter)
	}
	s := readSettings(map[string]any{"registryMode": "automatic", "report.fields": 1.0, "report.fields.0": "served_ps"})
	if s.mustSubscribe || !s.isListPushed || s.reportsStrain {
		t.Errorf("settings of a pushed list and a load report without strain: %+v", s)
	}
	if s = readSettings(map[string]any{"report.fields": 1.0, "report.fields.0": "cpu_share"}); !s.reportsStrain {
		t.Error("a load report with cpu_share does not count as reporting strain")
	}
}
