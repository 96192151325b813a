package policy

import (
	"strconv"

	"hollylever/quota"
)

// readSettings takes what the module decides by from the settings, a plain map of dotted names to values.
func (b *Balancer) readSettings() {
	b.aside, b.moving = b.text("extra.mode") == "aside", b.text("weights") == "live"
	for i := range int(b.number("zones")) {
		if b.text("zones."+strconv.Itoa(i)) == b.text("zone") {
			b.zone = i
		}
	}
	b.maxAttempts = max(1, int(b.number("allowed.mostTrips")))
	b.copies, b.mayCancel = b.yes("allowed.secondCopies"), b.yes("allowed.cancelling")
	b.startPart, b.warmUp = b.number("invariants.startCapacity"), b.span("invariants.warmUp")
	b.multiple, b.tipAfter = b.number("invariants.fallMultiple"), b.span("invariants.tipAfter")
	b.drift, b.stampError = b.span("invariants.deadlineDrift"), b.span("invariants.bootStampError")
	b.buffers = b.number("allowed.outBuffers") > 0
	b.gone, b.settles = b.yes("invariants.onlyDrainingBinds"), b.span("invariants.orderSettle")
	b.balancers = max(1, b.number("balancers"))
	for i := range int(b.number("report.fields")) {
		name := b.text("report.fields." + strconv.Itoa(i))
		b.figures, b.tells = append(b.figures, name), b.tells || name == "cpu_share" || name == "pending"
	}
	b.room = 2 + firstRoom/b.balancers
	if b.yes("allowed.retryAfter") {
		b.comeBackMost = b.span("allowed.maxRetryAfter")
	}
	for i := range int(b.number("workloads")) {
		b.classes = append(b.classes, b.requestClass("workloads."+strconv.Itoa(i)+"."))
	}
	quotas := make([]float64, int(b.number("tenants")))
	for i := range quotas {
		quotas[i] = b.number("tenants." + strconv.Itoa(i) + ".quotaRps")
	}
	b.shares = quota.New(quotas)
}

// requestClass reads one request class.
func (b *Balancer) requestClass(at string) class {
	class := class{group: b.text(at + "group"), remembers: b.span(at + "dedupWindow"),
		expected: b.span(at + "expectedTime"), stretch: b.number(at + "aimStretch"),
		tardy: b.number(at + "tardyValue"), inOrder: b.yes(at + "keepOrder")}
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
