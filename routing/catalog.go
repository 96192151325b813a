package routing

import (
	"strconv"

	"hollylever/settings"
)

// Effects of workloads in the settings; all others may run any number of times.
const (
	effectSingleShot = "single_shot"
	effectIdempotent = "guarded"
)

// catalog maps the names in the settings to the indices that the policy uses for them. It is immutable after New.
type catalog struct {
	workloads         map[string]int
	expectedTimes     []int64      // latency objectives in ns, by workload
	isSingleShot      map[int]bool // workloads whose requests must not run twice
	hasEffect         map[int]bool // workloads whose requests may not run any number of times
	isWorthlessLate   map[int]bool // workloads whose answers have no value after the latency objective
	tenants           map[string]int
	machineTypes      map[string]int
	machineTypeNames  []string // by index
	zones             map[string]int
	zoneNames         []string       // by index
	reportFields      map[string]int // of load reports
	onlyDrainingBinds bool           // an endpoint removed without draining is used for removedRetention
}

// newCatalog builds the catalog from the settings.
func newCatalog(values map[string]any) catalog {
	c := catalog{
		workloads:    settings.NameIndices(values, "workloads", ".name"),
		isSingleShot: map[int]bool{},
		hasEffect:    map[int]bool{},

		isWorthlessLate: map[int]bool{},
		tenants:         settings.NameIndices(values, "tenants", ".name"),
		machineTypes:    settings.NameIndices(values, "hostTypes", ""),
		zones:           settings.NameIndices(values, "zones", ""),
		reportFields:    settings.NameIndices(values, "report.fields", ""),
	}
	c.machineTypeNames, c.zoneNames = namesByIndex(c.machineTypes), namesByIndex(c.zones)
	for _, w := range c.workloads {
		effect := values["workloads."+strconv.Itoa(w)+".effect"]
		c.isSingleShot[w] = effect == effectSingleShot
		c.hasEffect[w] = effect == effectSingleShot || effect == effectIdempotent
	}
	for w := range len(c.workloads) {
		c.isWorthlessLate[w] = settingNumber(values, "workloads."+strconv.Itoa(w)+".tardyValue") == 0
		c.expectedTimes = append(c.expectedTimes, int64(settingNumber(values, "workloads."+strconv.Itoa(w)+".expectedTime")*1e6))
	}
	c.onlyDrainingBinds, _ = values["invariants.onlyDrainingBinds"].(bool)
	return c
}

// machineType returns the index of a machine type. All types that are not in the settings share the next index.
func (c *catalog) machineType(name string) int {
	if index, isNamed := c.machineTypes[name]; isNamed {
		return index
	}
	return len(c.machineTypes)
}

// zone returns the index of a zone, or -1 if the settings do not have it.
func (c *catalog) zone(name string) int { return indexOrUnknown(c.zones, name) }

// tenant returns the index of a tenant, or -1 if the settings do not have it.
func (c *catalog) tenant(name string) int { return indexOrUnknown(c.tenants, name) }

func indexOrUnknown(indices map[string]int, name string) int {
	if index, isNamed := indices[name]; isNamed {
		return index
	}
	return -1
}

// settingNumber returns a numeric setting, or 0 if it is missing.
func settingNumber(settings map[string]any, name string) float64 {
	number, _ := settings[name].(float64)
	return number
}

// namesByIndex inverts a name table of the settings. It is computed once, as a search for the name of each endpoint
// would hold the lock for long.
func namesByIndex(indices map[string]int) []string {
	size := 0
	for _, index := range indices {
		size = max(size, index+1)
	}
	names := make([]string, size)
	for name, index := range indices {
		names[index] = name
	}
	return names
}

// nameAt returns the name at an index, or "" if the settings have none there.
func nameAt(names []string, index int) string {
	if index < 0 || index >= len(names) {
		return ""
	}
	return names[index]
}
