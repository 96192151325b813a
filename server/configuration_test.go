package server

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// A configuration or a variable has one mistake: the process ends with one line that names the field or variable.
func TestStartErrorNamesTheField(t *testing.T) {
	good := configurationFile(t, map[string]any{"known": json.RawMessage(endpointList(0, true))})
	for _, c := range []struct {
		change   map[string]any
		variable string
		want     string
	}{
		{nil, "LB_CONFIG=", "LB_CONFIG: not set"},
		{nil, "LB_CONFIG=/nowhere", "LB_CONFIG: open /nowhere"},
		{nil, "LB_LISTEN=here", `LB_LISTEN: "here" is not an address`},
		{nil, "LB_MGMT=up", `LB_MGMT: "up" is not an address`}, {map[string]any{"mgmt": "192.0.2.1:1"}, "", "mgmt: "},
		{map[string]any{"mgmt": ""}, "", `mgmt: "" is not an address`},
		{nil, "LB_LISTEN_FD=x", `LB_LISTEN_FD: "x" is not a descriptor`}, {nil, "LB_LISTEN_FD=2", "LB_LISTEN_FD: "},
		{nil, "LB_LISTEN_FD=77", "LB_LISTEN_FD: descriptor 77: "},
		{nil, "LB_DISCOVERY=there", `LB_DISCOVERY: "there" is not an address`},
		{map[string]any{"name": nil}, "", "name: missing"},
		{map[string]any{"listen": 5}, "", `listen: "5" is not an address`},
		{map[string]any{"listen": "192.0.2.1:1"}, "", "listen: "},
		{map[string]any{"seed": "none"}, "", "seed: not a hexadecimal number"},
		{map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 192}}, "", "limits.sockets: not a number"},
		{map[string]any{"limits": map[string]any{"cores": 1, "sockets": 1024}}, "", "limits.memory_mb: not a number"},
		{map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 11, "sockets": 64}}, "", "limits.memory_mb: not a number of at least 12"},
		{map[string]any{"limits": nil}, "", "limits.cores: not a number"},
		{map[string]any{"known": nil}, "", "known: not a list"},
		{map[string]any{"known": json.RawMessage(endpointList(0, true, listEntry("s", "127.0.0.1:1", "Fine")))}, "", "known: entry 0 of the list: bad status"},
		{map[string]any{"settings": nil}, "", "settings: not an object"},
		{map[string]any{"settings": map[string]any{}}, "", "settings.workloads: names no workload"},
		{map[string]any{"settings": json.RawMessage(strings.Replace(defaultSettings, `"mostTrips":3`, `"mostTrips":1e9`, 1))}, "",
			"settings.allowed.mostTrips: not a number from 1 to 1000"},
		{settingsWith(`"balancers":0`), "", "settings.balancers: not a number"}, {settingsWith(`"balancers":"many"`), "", "settings.balancers: not a number"},
		{settingsWith(`"invariants":{"deadlineDrift":-1}`), "", "settings.invariants.deadlineDrift: not milliseconds"},
		{settingsWith(`"invariants":{"orderSettle":"50"}`), "", "settings.invariants.orderSettle: not milliseconds"},
		{settingsWith(`"invariants":{"bootStampError":1e9}`), "", "settings.invariants.bootStampError: not milliseconds"},
		{settingsWith(`"invariants":{"onlyDrainingBinds":1}`), "", "settings.invariants.onlyDrainingBinds: neither"},
		{settingsWith(`"goal":{"missShare":2}`), "", "settings.goal.missShare: not a part"},
		{settingsWith(`"workloads":[{"name":"read","keepOrder":"yes"}]`), "", "settings.workloads.0.keepOrder: neither"},
		{settingsWith(`"workloads":[]`), "", "settings.workloads: names no workload"},
		{settingsWith(`"workloads":[{"name":"read","effect":"free","expectedTime":5,"hardStop":0}]`), "", "settings.workloads.0.hardStop: not milliseconds over 0"},
		{settingsWith(`"workloads":[{"name":"read","effect":"free","expectedTime":5,"hardStop":"5"}]`), "", "settings.workloads.0.hardStop: not milliseconds over 0"},
		{settingsWith(`"workloads":[{"name":"read","effect":"free","hardStop":5}]`), "", "settings.workloads.0.expectedTime: not milliseconds over 0"},
		{settingsWith(`"workloads":[{"name":"read","effect":"odd","expectedTime":5,"hardStop":5}]`), "", "settings.workloads.0.effect: none of"},
		{settingsWith(`"workloads":[{"name":"read","expectedTime":5,"hardStop":5}]`), "", "settings.workloads.0.effect: none of"},
		{settingsWith(`"workloads":[{"effect":"free","expectedTime":5,"hardStop":5}]`), "", "settings.workloads.0.name: not a name of its own"},
		{settingsWith(`"workloads":[{"name":"read","effect":"free","expectedTime":5,"hardStop":5},{"name":"read","effect":"free","expectedTime":5,"hardStop":5}]`), "",
			"settings.workloads.1.name: not a name of its own"},
		{settingsWith(`"workloads":[{"name":"read","effect":"guarded","dedupWindow":-1,"expectedTime":5,"hardStop":5}]`), "", "settings.workloads.0.dedupWindow: not"},
		{settingsWith(`"workloads":[{"name":"read","effect":"free","value":-1,"expectedTime":5,"hardStop":5}]`), "", "settings.workloads.0.value: not"},
		{settingsWith(`"tenants":[{"name":"acme","fraction":-0.1}]`), "", "settings.tenants.0.fraction: not a part"},
		{settingsWith(`"tenants":[{"name":"acme","quotaRps":-1}]`), "", "settings.tenants.0.quotaRps: not a number"},
		{settingsWith(`"tenants":[{"name":"acme"},{"name":"acme"}]`), "", "settings.tenants.1.name: not a name of its own"},
		{settingsWith(`"weights":"heavy"`), "", "settings.weights: none of"}, {settingsWith(`"weights":3`), "", "settings.weights: none of"},
		{settingsWith(`"zone":"nowhere"`), "", "settings.zone: none of settings.zones"},
		{settingsWith(`"registryMode":"pigeon"`), "", "settings.registryMode: neither"},
		{settingsWith(`"extra":{"mode":"aside","originKind":0}`), "", "settings.extra.mode: not through"},
		{settingsWith(`"report":{"source":"rumour"}`), "", "settings.report.source: none of"},
		{settingsWith(`"report":{"fields":["a","a"]}`), "", "settings.report.fields: not a list"},
		{settingsWith(`"report":{"fields":"pending"}`), "", "settings.report.fields: not a list"},
		{settingsWith(`"report":{"fields":[7]}`), "", "settings.report.fields: not a list"},
	} {
		file := good
		if c.change != nil {
			file = configurationFile(t, c.change)
		}
		cmd := programCommand(file)
		if c.variable != "" {
			cmd = programCommand(file, c.variable)
		}
		var out bytes.Buffer
		cmd.Stderr = &out
		stuck := time.AfterFunc(testTimeout, func() { cmd.Process.Kill() }) // It serves: no error was found.
		err := cmd.Run()
		stuck.Stop()
		text := out.String()
		if err == nil || !strings.Contains(text, c.want) || strings.Count(text, "\n") != 1 {
			t.Errorf("%v %s: %v, wrote %q, want %q", c.change, c.variable, err, text, c.want)
		}
	}
}
