package simadapter

import (
	"encoding/base64"
	"strconv"

	"github.com/tidwall/gjson"

	"hollylever/policy"
	"hollylever/settings"
)

// requestSlot maps the index of a request to its id. It can be reused once the request has ended and none of its
// attempts is in flight.
type requestSlot struct {
	id       uint64
	inFlight int // attempts
	hasEnded bool
	class    int
}

// instance is one simulated balancer: its decision module and the tables that map names on the wire to indices.
type instance struct {
	name   string
	module *policy.Balancer
	reply  *writer

	endpoints map[string]int // by address
	addresses []string       // by index

	requests map[uint64]int // index of each open request, by id
	slots    []requestSlot
	indices  settings.IndexAllocator

	classes      map[string]int
	tenants      map[string]int
	machineTypes map[string]int
	zones        map[string]int
	reportFields map[string]int
	reportValues []float64 // of the last load report; reused

	peers *peers // nil if balancers do not exchange messages
}

// newInstance creates an instance that knows no endpoints yet. It returns nil if the event is malformed.
func newInstance(in *reader, reply *writer, name string, now int64) *instance {
	seed, _ := in.integer("randomSeed", true)
	env := in.text(textField)
	if in.err == nil && (!gjson.ValidBytes(env) || !gjson.ParseBytes(env).IsObject()) {
		in.fail(textField, "not a JSON object")
	}
	if in.err != nil {
		return nil
	}
	values := settings.Flatten(gjson.ParseBytes(env))
	n := &instance{
		name:         name,
		reply:        reply,
		endpoints:    map[string]int{},
		requests:     map[uint64]int{},
		classes:      settings.NameIndices(values, "workloads", ".name"),
		tenants:      settings.NameIndices(values, "tenants", ".name"),
		machineTypes: settings.NameIndices(values, "hostTypes", ""),
		zones:        settings.NameIndices(values, "zones", ""),
		reportFields: settings.NameIndices(values, "report.fields", ""),
	}
	n.reportValues = make([]float64, len(n.reportFields))
	n.module = policy.New(now, seed, values, n)
	n.peers = newPeers(now, values)
	return n
}

// openRequest allocates an index for a request.
func (n *instance) openRequest(id uint64) int {
	index := n.indices.Allocate()
	if index == len(n.slots) {
		n.slots = append(n.slots, requestSlot{})
	}
	n.slots[index] = requestSlot{id: id}
	n.requests[id] = index
	return index
}

// releaseIfFinished frees the index of a request that has ended and has no attempt in flight.
func (n *instance) releaseIfFinished(index int) {
	slot := &n.slots[index]
	if at, isOpen := n.requests[slot.id]; isOpen && at == index && slot.hasEnded && slot.inFlight == 0 {
		delete(n.requests, slot.id)
		n.indices.Free(index)
	}
}

// Send starts an attempt. Send and the methods up to WatchEndpoints implement policy.Executor.
func (n *instance) Send(request, endpoint int, until int64) {
	n.slots[request].inFlight++
	n.reportAttempt(endpoint)
	n.reply.begin("issue", n.name)
	n.reply.integer("id", n.slots[request].id)
	n.reply.text("host", n.addresses[endpoint])
	if until > 0 {
		n.reply.duration("until", until)
	}
	n.reply.end()
}

// Reject answers a request with an error that guarantees that the request had no effect.
func (n *instance) Reject(request int, _ policy.Reason, retryAfter int64) {
	n.reply.begin("push_back", n.name)
	n.reply.integer("id", n.slots[request].id)
	if retryAfter > 0 {
		n.reply.duration("coolDown", retryAfter)
	}
	n.reply.end()
	n.endRequest(request)
}

// Fail answers a request with an error. The request may have taken effect.
func (n *instance) Fail(request int, _ policy.Reason) {
	n.reply.begin("finish_error", n.name)
	n.reply.integer("id", n.slots[request].id)
	n.reply.end()
	n.endRequest(request)
}

// Cancel ends an attempt whose answer is no longer needed.
func (n *instance) Cancel(request, attempt int) {
	n.reply.begin("revoke", n.name)
	n.reply.integer("id", n.slots[request].id)
	n.reply.integer("leg", uint64(attempt))
	n.reply.end()
}

// SetTimer requests a timer event with the given tag after the given time.
func (n *instance) SetTimer(tag int, after int64) {
	n.reply.begin("schedule", n.name)
	n.reply.integer("tag", uint64(tag))
	n.reply.duration("offset", after)
	n.reply.end()
}

// WatchEndpoints subscribes to changes of the endpoint list.
func (n *instance) WatchEndpoints() {
	n.reply.begin("stream_changes", n.name)
	n.reply.text("on", "1")
	n.reply.end()
}

func (n *instance) endRequest(request int) {
	n.slots[request].hasEnded = true
	n.releaseIfFinished(request)
}

// endpoint reads the address of an event's endpoint and returns the endpoint's index.
func (n *instance) endpoint(in *reader) int { return in.index("host", n.endpoints, true) }

func readOutcome(in *reader) policy.Outcome {
	code, _ := in.integer("how", true)
	outcome, isKnown := outcomes[code]
	if !isKnown {
		in.fail("how", "unknown outcome")
	}
	return outcome
}

// handleEndpointUpdate passes an update of the endpoint list to the module, entry by entry.
func (n *instance) handleEndpointUpdate(in *reader, now int64) {
	kind, isKnown := updateKinds[string(in.text("scope"))]
	if !isKnown {
		in.failUnknown("scope")
	}
	hasList := kind != policy.UpdateFailed
	in.integer("rev", hasList)
	entries, _ := in.integer("lines", hasList)
	if in.err != nil {
		return
	}
	n.module.BeginEndpointUpdate(kind)
	for range entries {
		if in.next() != nil || in.message != listEntry {
			in.fail("lines", "fewer rows than announced")
			return
		}
		info := n.readEntry(in)
		if in.err != nil {
			return
		}
		n.module.UpdateEndpoint(now, n.endpointIndex(info.Address), info)
	}
	n.module.CommitEndpointUpdate(now)
	n.peers.setEndpoints(n.addresses)
}

func (n *instance) readEntry(in *reader) policy.EndpointInfo {
	address := string(in.text("host"))
	health, isKnown := healths[string(in.text("health"))]
	if !isKnown {
		in.failUnknown("health")
	}
	machineType := in.index("machine", n.machineTypes, false)
	zone := in.index("regionPart", n.zones, false)
	replicaGroup, _ := in.integer("stripe", false)
	return policy.EndpointInfo{
		Address:      address,
		Health:       health,
		StartedAt:    in.duration("bootTime", false),
		MachineType:  machineType,
		Zone:         zone,
		ReplicaGroup: int(replicaGroup),
		Weight:       in.number("heft", false),
	}
}

// endpointIndex returns the index of an address and assigns the next free one to a new address.
func (n *instance) endpointIndex(address string) int {
	index, isKnown := n.endpoints[address]
	if !isKnown {
		index = len(n.addresses)
		n.endpoints[address] = index
		n.addresses = append(n.addresses, address)
	}
	return index
}

func (n *instance) handleRequest(in *reader, now int64) {
	id, _ := in.integer("id", true)
	remaining := in.duration("patienceLeft", true)
	class := in.index("category", n.classes, true)
	tenant := in.index("owner", n.tenants, false)
	key, hasKey := in.integer("pathKey", false)
	isWrite, predicted := in.boolean("update"), in.duration("predicted", false)
	if in.err != nil {
		return
	}
	index := n.openRequest(id)
	n.runDetector(now)
	n.module.HandleRequest(now, index, policy.RequestInfo{
		Remaining:     remaining,
		Class:         class,
		Tenant:        tenant,
		Key:           key,
		HasKey:        hasKey,
		IsWrite:       isWrite,
		PredictedWork: predicted,
	})
	n.slots[index].class = class
	n.releaseIfFinished(index)
}

func (n *instance) handleTimer(in *reader, now int64) {
	if tag, _ := in.integer("tag", true); in.err == nil {
		n.module.HandleTimer(now, int(tag))
	}
}

// handleProbeResult passes on the load report of a probe. The module sends no probes, so the outcome and the duration
// are checked for their format only.
func (n *instance) handleProbeResult(in *reader, _ int64) {
	endpoint := n.endpoint(in)
	readOutcome(in)
	in.duration("took", true)
	if in.err == nil {
		n.handleLoadReport(in, endpoint)
	}
}

func (n *instance) handleResponseStarted(in *reader, _ int64) {
	id, _ := in.integer("id", true)
	attempt, _ := in.integer("leg", true)
	n.endpoint(in)
	if index, isOpen := n.requests[id]; isOpen && in.err == nil {
		n.module.HandleResponseStarted(index, int(attempt))
	}
}

func (n *instance) handleAttemptEnded(in *reader, now int64) {
	id, _ := in.integer("id", true)
	attempt, _ := in.integer("leg", true)
	endpoint, outcome := n.endpoint(in), readOutcome(in)
	cacheResult, _ := in.integer("info", false)
	latency, isAnswered := in.duration("took", true), in.boolean("noMore")
	index, isOpen := n.requests[id]
	if in.err != nil || !isOpen {
		return
	}
	n.handleLoadReport(in, endpoint)
	slot := &n.slots[index]
	slot.inFlight--
	slot.hasEnded = slot.hasEnded || isAnswered
	n.observeAttempt(now, endpoint, slot.class, outcome, latency)
	n.module.HandleAttemptEnded(now, index, policy.AttemptResult{
		Attempt:     int(attempt),
		Endpoint:    endpoint,
		CacheResult: int(cacheResult),
		Outcome:     outcome,
		Latency:     latency,
		IsAnswered:  isAnswered,
	})
	n.releaseIfFinished(index)
}

func (n *instance) handleClientCancelled(in *reader, now int64) {
	id, _ := in.integer("id", true)
	if index, isOpen := n.requests[id]; isOpen && in.err == nil {
		n.slots[index].hasEnded = true
		n.module.HandleClientCancelled(now, index)
		n.releaseIfFinished(index)
	}
}

func (n *instance) handlePeerMessage(in *reader, now int64) {
	from, _ := in.integer("from", true)
	blob := in.text("blob")
	if string(blob) == "-" {
		blob = nil
	}
	data, err := base64.StdEncoding.DecodeString(string(blob))
	if err != nil {
		in.fail("blob", "not base64: "+strconv.Quote(string(blob)))
	}
	if in.err == nil {
		n.receiveMessage(now, from, data)
	}
}

// handleLoadReport passes the load report of an event to the module. An absent or unreadable report is ignored.
func (n *instance) handleLoadReport(in *reader, endpoint int) {
	if settings.ParseReport(in.find("usage"), ":", n.reportFields, n.reportValues) {
		n.module.HandleLoadReport(endpoint, n.reportValues)
	}
}
