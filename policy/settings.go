package policy

import (
	"strconv"

	"hollylever/quota"
)

// readSettings takes what the module decides by from the settings, a plain map of dotted names to values.
func (b *Balancer) readSettings() {
	b.cacheAside, b.weightsFollowLoad = b.text("extra.mode") == "aside", b.text("weights") == "live"
	for i := range int(b.number("zones")) {
		if b.text("zones."+strconv.Itoa(i)) == b.text("zone") {
			b.zone = i
		}
	}
	b.maxAttempts = max(1, int(b.number("allowed.mostTrips")))
	b.mayHedge, b.mayCancel = b.yes("allowed.secondCopies"), b.yes("allowed.cancelling")
	b.startCapacity, b.warmUp = b.number("invariants.startCapacity"), b.span("invariants.warmUp")
	b.overloadMultiple, b.tipAfter = b.number("invariants.fallMultiple"), b.span("invariants.tipAfter")
	b.deadlineDrift, b.bootStampError = b.span("invariants.deadlineDrift"), b.span("invariants.bootStampError")
	b.hasFewBuffers = b.number("allowed.outBuffers") > 0
	b.onlyDrainingBinds, b.orderSettle = b.yes("invariants.onlyDrainingBinds"), b.span("invariants.orderSettle")
	b.fleetSize = max(1, b.number("balancers"))
	for i := range int(b.number("report.fields")) {
		name := b.text("report.fields." + strconv.Itoa(i))
		b.reportFields, b.reportsStrain = append(b.reportFields, name), b.reportsStrain || name == "cpu_share" || name == "pending"
	}
	b.originLimit = 2 + initialOriginLimit/b.fleetSize
	if b.yes("allowed.retryAfter") {
		b.maxRetryAfter = b.span("allowed.maxRetryAfter")
	}
	for i := range int(b.number("workloads")) {
		b.classes = append(b.classes, b.readRequestClass("workloads."+strconv.Itoa(i)+"."))
	}
	quotas := make([]float64, int(b.number("tenants")))
	for i := range quotas {
		quotas[i] = b.number("tenants." + strconv.Itoa(i) + ".quotaRps")
	}
	b.quotas = quota.New(quotas)
}

// requestClass reads one request class.
func (b *Balancer) readRequestClass(at string) requestClass {
	class := requestClass{dedupGroup: b.text(at + "group"), dedupWindow: b.span(at + "dedupWindow"),
		objective: b.span(at + "expectedTime"), objectiveStretch: b.number(at + "aimStretch"),
		lateValue: b.number(at + "tardyValue"), inOrder: b.yes(at + "keepOrder")}
	switch b.text(at + "effect") {
	case "guarded":
		class.effect = Idempotent
	case "single_shot":
		class.effect = NonIdempotent
	}
	return class
}

// A setting that is not there is 0, "" or false.

func (b *Balancer) number(name string) float64 { x, _ := b.values[name].(float64); return x }
func (b *Balancer) text(name string) string    { s, _ := b.values[name].(string); return s }
func (b *Balancer) yes(name string) bool       { y, _ := b.values[name].(bool); return y }
func (b *Balancer) span(name string) int64     { return int64(b.number(name) * 1e6) }
